package peer_test

import (
	"context"
	"net"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/peer"
	"lentilmux.example/lentilmux/peer/peerpb"
)

// inbox is a node that passes on the load digests it receives.
type inbox chan lentilmux.LoadDigest

func (i inbox) Send(_ context.Context, msg lentilmux.Msg) error {
	i <- msg.(lentilmux.LoadDigestMsg).Digest
	return nil
}

func (i inbox) Ask(context.Context, lentilmux.Msg) (lentilmux.Answer, error) { return nil, nil }

// TestLoadDigestRoundTrip sends an invalid datagram and then a digest over
// loopback. It checks that the invalid one is reported and does not stop the
// receiver, and that no field of the digest is lost.
func TestLoadDigestRoundTrip(t *testing.T) {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	receiver, err := peer.ListenLoadDigests(loopback)
	if err != nil {
		t.Fatal(err)
	}
	sender, err := peer.ListenLoadDigests(loopback)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = sender.Close() }()
	digests, failures := make(inbox, 1), make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		receiver.Run(ctx, digests, func(_ netip.AddrPort, err error) { failures <- err })
	}()
	stray, err := net.Dial("udp4", receiver.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := stray.Write([]byte("\xff\xffno digest")); err != nil {
		t.Fatal(err)
	}
	_ = stray.Close()
	digest := lentilmux.LoadDigest{
		Scope: lentilmux.ScopeZone, VMCount: 4, VM: "entry-1", Zone: "kochi", Addr: sender.Addr(), Incarnation: 7, Sequence: 3, Draining: true, Stale: true,
		Loads:       []lentilmux.UpstreamLoad{{Upstream: lentilmux.HashUpstream("w1"), Streams: 2, PendingPromptTokens: 700, Reserved: 1_000_000_000_000, Slowdown: 3, WorkLeft: 1200 * time.Millisecond, WorkKnown: true, Speed: lentilmux.UpstreamSpeed{Step: 2.48, Prefill: 0.48, Pauses: 0.25, Weight: 40}}, {Upstream: 9, Streams: 1}},
		Parts:       []lentilmux.PartSuspicion{{Part: 1<<63 + 5, Position: 2, Clears: 1, Round: 3, Crashes: []lentilmux.CrashID{7, 1 << 31}, Held: true, Age: 1500 * time.Millisecond, Own: true}},
		Limits:      []lentilmux.UpstreamLimit{{Upstream: lentilmux.HashUpstream("w1"), Named: true, PerSecond: 6.9, Age: 250 * time.Millisecond}},
		Drains:      []lentilmux.UpstreamDrain{{Upstream: lentilmux.HashUpstream("w1"), StartedAt: time.UnixMilli(1_790_000_000_123), Age: 70 * time.Millisecond}},
		BackOffs:    []lentilmux.BackOffHint{{Upstream: lentilmux.HashUpstream("w3"), Remaining: 2500 * time.Millisecond}},
		IsolatedVMs: []lentilmux.VMHash{lentilmux.HashVM("entry-1"), 1 << 31},
		Shortages:   []lentilmux.ServiceShortage{{Service: 1 << 31, Priority: 2, Age: 250 * time.Millisecond}},
		Refused:     []lentilmux.RefusedRequest{{Request: 1 << 31, Remaining: 2500 * time.Millisecond}},
		Counts:      []lentilmux.AnswerCounts{{Key: 1 << 63, Answers: buckets(20, 7.25), Bounds: buckets(30, 0.5)}, {Key: 2, Answers: buckets(0, 0), Bounds: buckets(0, 0)}},
		Slices:      8,
		Slice:       5,
		Rules:       1 << 40,
		Suspects:    []string{"w2"},
		RetryCounts: []lentilmux.RetryCounts{{Service: "desk-llm", Requests: 40, Retries: 3}},
	}
	if err := sender.Send(digest, []netip.AddrPort{receiver.Addr()}); err != nil {
		t.Fatal(err)
	}
	select {
	case received := <-digests:
		if !reflect.DeepEqual(received, digest) {
			t.Errorf("received a digest other than the one sent: %+v", received)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("no digest received within 5 s")
	}
	if err := <-failures; err == nil {
		t.Error("the invalid datagram gave no error")
	}
	cancel()
	<-stopped
}

// TestLoadDigestWithUnequalColumns sends a digest whose columns have different
// lengths, as a faulty or newer peer may. It must be reported and ignored; read by
// index, it would end the process.
func TestLoadDigestWithUnequalColumns(t *testing.T) {
	message := &peerpb.LoadDigest{Vm: "entry-1", Addr: "10.0.0.1:7000", Loads: &peerpb.UpstreamLoads{Upstream: []uint32{1, 2}, Streams: []uint32{3}}}
	data, err := proto.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	receiver, err := peer.ListenLoadDigests(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	digests, failures := make(inbox, 1), make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go receiver.Run(ctx, digests, func(_ netip.AddrPort, err error) { failures <- err })
	sender, err := net.Dial("udp4", receiver.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = sender.Close() }()
	if _, err := sender.Write(data); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-failures:
		if err == nil {
			t.Error("no error is reported")
		}
	case digest := <-digests:
		t.Errorf("the digest was accepted: %+v", digest)
	case <-time.After(5 * time.Second):
		t.Error("nothing was received within 5 s")
	}
}

// buckets returns the weights of answer counts with one bucket that is not empty.
func buckets(index int, weight float32) (weights []float32) {
	weights = make([]float32, 49)
	weights[index] = weight
	return weights
}
