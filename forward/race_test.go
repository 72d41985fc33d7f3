package forward_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/fleet"
	"lentilmux.example/lentilmux/forward"
)

const (
	// raceSeeds is the number of requests that TestRaces plays.
	raceSeeds = 2000
	// raceEvents is the number of events of a complete stream.
	raceEvents = 6
)

// raceFleet is a node with four upstreams that hold all layers. Their behavior is
// drawn from a seed: they fall silent, answer no probe, refuse or break off.
type raceFleet struct {
	t    *testing.T
	node *lentilmux.Node

	slowCaller bool // whether the caller takes long to read some events

	mu      sync.Mutex // guards the rest
	random  *rand.Rand
	living  []*raceResponse // responses that have not ended
	next    int             // number of the next event that the caller expects
	aborted bool
	log     strings.Builder
}

// logf logs a call.
func (f *raceFleet) logf(format string, values ...any) {
	fmt.Fprintf(&f.log, format+"\n", values...)
}

// chance returns true with the given probability.
func (f *raceFleet) chance(probability float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < probability
}

// pause returns how long an upstream takes to its next event.
func (f *raceFleet) pause() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.random.Float64() < 0.3 {
		return time.Duration(f.random.IntN(1500)) * time.Millisecond
	}
	return time.Duration(f.random.IntN(40)) * time.Millisecond
}

// delay lets messages to the node and its answers cross.
func (f *raceFleet) delay() {
	f.mu.Lock()
	delay := time.Duration(f.random.IntN(30)) * time.Millisecond
	f.mu.Unlock()
	time.Sleep(delay)
}

// Do implements [lentilmux.Effector]. Half of the probes are refused.
func (f *raceFleet) Do(effect lentilmux.Effect) {
	switch x := effect.(type) {
	case lentilmux.FetchReportEffect:
		refused := f.chance(0.5)
		go func() {
			time.Sleep(5 * time.Millisecond)
			msg := lentilmux.UpstreamReportMsg{Upstream: x.Upstream, Report: lentilmux.UpstreamReport{Layers: lentilmux.LayerRange{Last: 7}, HasLayers: true, Slowdown: 1}}
			if refused {
				msg.Err = &lentilmux.UpstreamError{Kind: lentilmux.FailureDial, Err: lentilmux.ErrNotListening}
			}
			_ = f.node.Send(f.t.Context(), msg)
		}()
	case lentilmux.ConnectEffect:
		go func() { _ = f.node.Send(f.t.Context(), lentilmux.ConnectResultMsg{Upstream: x.Upstream}) }()
	case lentilmux.DecisionEffect:
		f.mu.Lock()
		defer f.mu.Unlock()
		f.logf("decided %s %s %s", x.Decision.What, x.Decision.Chosen, x.Decision.Reason)
	}
}

// Send implements [lentilmux.NodeClient].
func (f *raceFleet) Send(ctx context.Context, msg lentilmux.Msg) (err error) {
	return f.node.Send(ctx, msg)
}

// Ask implements [lentilmux.NodeClient]. The node has to know each attempt that the
// relay reports.
func (f *raceFleet) Ask(ctx context.Context, msg lentilmux.Msg) (answer lentilmux.Answer, err error) {
	f.delay()
	answer, err = f.node.Ask(ctx, msg)
	f.delay()
	if refusal, ok := answer.(lentilmux.RefusalAnswer); ok && refusal.Refusal.Reason == lentilmux.ReasonOutcomeUnknown {
		f.t.Errorf("the node does not know the attempt of %#v", msg)
	}
	return answer, err
}

// raceSender sends attempts to the upstreams of a raceFleet.
type raceSender struct{ *raceFleet }

// Send implements [lentilmux.RequestSender].
func (s raceSender) Send(ctx context.Context, attempt lentilmux.Attempt, after int64) (response lentilmux.UpstreamResponse, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logf("attempt %d to %s after event %d", attempt.Epoch, attempt.Upstream, after)
	if s.random.Float64() < 0.1 {
		return nil, &lentilmux.UpstreamError{Kind: lentilmux.FailureDial, Err: errors.New("refused")}
	}
	if s.random.Float64() < 0.3 {
		return &raceResponse{fleet: s.raceFleet, verdict: lentilmux.VerdictNotRun}, nil
	}
	started := &raceResponse{fleet: s.raceFleet, ctx: ctx, epoch: attempt.Epoch, next: int(after + 1), verdict: lentilmux.VerdictSuccess}
	s.living = append(s.living, started)
	return started, nil
}

// raceResponse is the response to one attempt.
type raceResponse struct {
	fleet   *raceFleet
	ctx     context.Context
	epoch   lentilmux.Epoch
	next    int
	verdict lentilmux.Verdict
}

func (r *raceResponse) Verdict() lentilmux.Verdict                { return r.verdict }
func (r *raceResponse) RequestLimit() lentilmux.RequestLimit      { return lentilmux.RequestLimit{} }
func (r *raceResponse) PeerRefusal() *lentilmux.Refusal           { return nil }
func (r *raceResponse) Continues(lentilmux.UpstreamResponse) bool { return true }
func (r *raceResponse) AnnouncesDrain() bool                      { return false }
func (r *raceResponse) RetryAfter() lentilmux.RetryAfter          { return lentilmux.RetryAfter{} }
func (r *raceResponse) BlamedUpstream() netip.AddrPort            { return netip.AddrPort{} }
func (r *raceResponse) Body() (body []byte, err error)            { return nil, nil }
func (r *raceResponse) Close()                                    { r.end("closed") }

// end records that the response goes on no more.
func (r *raceResponse) end(how string) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if i := slices.Index(r.fleet.living, r); i >= 0 {
		r.fleet.living = slices.Delete(r.fleet.living, i, i+1)
		r.fleet.logf("attempt %d %s", r.epoch, how)
	}
}

func (r *raceResponse) Next() (event []byte, number int64, err error) {
	select {
	case <-time.After(r.fleet.pause()):
	case <-r.ctx.Done():
		r.end("canceled")
		return nil, 0, &lentilmux.UpstreamError{Kind: lentilmux.FailureTimeout, Err: r.ctx.Err()}
	}
	if r.fleet.chance(0.1) {
		r.end("broke off")
		return nil, 0, &lentilmux.UpstreamError{Kind: lentilmux.FailureCrash, Err: io.ErrUnexpectedEOF}
	}
	if r.next >= raceEvents {
		r.end("complete")
		return nil, 0, io.EOF
	}
	r.next++
	return fmt.Append(nil, r.next-1), int64(r.next - 1), nil
}

// raceSink is the caller.
type raceSink struct{ *raceFleet }

func (s raceSink) WriteHeader(lentilmux.UpstreamResponse) {}
func (s raceSink) WriteReply(lentilmux.UpstreamResponse, []byte) (status int) {
	s.t.Error("a reply that is no stream")
	return 200
}
func (s raceSink) Refuse(*lentilmux.Refusal) (status int) { return 503 }
func (s raceSink) WriteEvent(event []byte) (err error) {
	if s.slowCaller {
		time.Sleep(s.pause())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if string(event) != fmt.Sprint(s.next) {
		s.t.Errorf("event %s, want %d", event, s.next)
	}
	s.next++
	return nil
}

// Abort implements [lentilmux.Sink]. An answer is broken off only if no attempt is
// left that may go on.
func (s raceSink) Abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.aborted = true
	for _, response := range s.living {
		if response.ctx.Err() == nil {
			s.t.Errorf("broken off with attempt %d in flight", response.epoch)
		}
	}
}

// TestRaces plays requests whose attempts stall, race and fail at random against a
// node. It guards against answers that are broken off while an attempt may go on,
// against events that are lost or come twice, and against a relay and a node that
// disagree on which attempts are in flight.
func TestRaces(t *testing.T) {
	playRaces(t, false)
}

// TestRacesToSlowCaller plays such requests for a caller that is slow to read, so that
// an attempt stalls while an event of it is being written. It guards against a stream
// that hangs or is broken off since an event that is being written does not count as
// passed on.
func TestRacesToSlowCaller(t *testing.T) {
	playRaces(t, true)
}

// TestCallerLeavesDuringTakeover guards against requests that never end, and keep their
// reservations, since their caller leaves at the moment at which another attempt takes
// over.
func TestCallerLeavesDuringTakeover(t *testing.T) {
	const (
		requests   = 20000
		takesOver  = 300 * time.Millisecond
		firstEvent = 50 * time.Millisecond
		maxYields  = 16 // of the caller before it leaves, so that it does so at different steps
	)
	for i := range requests {
		synctest.Test(t, func(t *testing.T) {
			s := &script{kind: lentilmux.CallResumableStream, attempts: 2, replaceStalled: []bool{true}, started: time.Now(), steps: [][]step{
				append(events(firstEvent, 0), events(time.Second, 1)...), events(firstEvent, 1),
			}}
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(takesOver, func() {
				for range i % maxYields {
					runtime.Gosched()
				}
				cancel()
			})
			forward.NewRelay(s).Run(ctx, lentilmux.InboundRequest{ID: "r", ReceivedAt: s.started, Deadline: s.started.Add(2 * time.Second), ResumeAfter: -1}, sender{s}, s)
		})
	}
}

// playRaces plays raceSeeds requests.
func playRaces(t *testing.T, slowCaller bool) {
	t.Helper()
	races := 0
	for seed := range raceSeeds {
		synctest.Test(t, func(t *testing.T) { races += playRace(t, uint64(seed), slowCaller) })
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	if races < raceSeeds/10 {
		t.Errorf("%d requests had attempts that raced, want a tenth of %d", races, raceSeeds)
	}
}

// playRace plays one request. It returns 1 if attempts raced.
func playRace(t *testing.T, seed uint64, slowCaller bool) (raced int) {
	f := &raceFleet{t: t, slowCaller: slowCaller, random: rand.New(rand.NewPCG(seed, 0))}
	started := time.Now()
	model := fleet.New(fleet.Self{Name: "entry-1", Zone: "kochi", Incarnation: 1, Started: started}, fleet.DefaultLimits())
	f.node = lentilmux.NewNode(model, lentilmux.WithEffector(f))
	ctx, cancel := context.WithCancel(t.Context())
	go f.node.Run(ctx)
	f.configure(ctx, started)
	relay := forward.NewRelay(f)
	relay.Run(ctx, lentilmux.InboundRequest{ID: "r", Host: "desk", Path: "/llm/x", ReceivedAt: started, Deadline: started.Add(time.Minute), PromptTokens: 100, MaxTokens: 20, ResumeAfter: -1}, raceSender{f}, raceSink{f})
	synctest.Wait()
	if !f.aborted && f.next > 0 && f.next < raceEvents || len(f.living) > 0 {
		t.Errorf("%d events, %d attempts left", f.next, len(f.living))
	}
	for _, row := range model.Tables().Upstreams.Rows {
		if row.OwnLoad != (fleet.Load{}) {
			t.Errorf("upstream %s keeps load %+v", row.ID, row.OwnLoad)
		}
	}
	cancel()
	time.Sleep(time.Second) // lets the effects in flight end
	if t.Failed() {
		t.Log(f.log.String())
	}
	return min(strings.Count(f.log.String(), "attempt_replaced"), 1)
}

// configure sends the node a configuration and its upstreams.
func (f *raceFleet) configure(ctx context.Context, now time.Time) {
	engine := &lentilmux.ModelProfile{
		Layers: 8, LayerBytes: 1000, CacheBytesPerToken: 8, StepTime: time.Millisecond, PrefillTokensPerSecond: 100000, ActivationBytes: 100, ZoneLinkBitRate: 1e9,
		TokensPerEvent: 1, TypicalPromptTokens: 100, TypicalAnswerTokens: 20, Accelerators: []lentilmux.Accelerator{{Name: "large", MemoryBytes: 80000, StepFactor: 1, PrefillFactor: 1}},
	}
	rules := &lentilmux.Ruleset{
		Version: 1, Services: []lentilmux.ServiceRule{{Name: "llm", Engine: engine}},
		Routes: []lentilmux.RouteRule{{Name: "llm", Host: "desk", Prefix: "/llm/", Kind: lentilmux.CallResumableStream, Targets: []lentilmux.RouteTarget{{Service: "llm", Weight: 1}}, Timeout: 20 * time.Second, FirstByteTarget: 500 * time.Millisecond, MaxAttempts: 3, Anonymous: true}},
	}
	_ = f.node.Send(ctx, lentilmux.StreamUpdatesMsg{Stream: lentilmux.StreamRules, AsOf: now, Updates: []lentilmux.StreamUpdate{{Key: "config", Offset: 1, Rules: rules}}})
	for i := range 4 {
		record := &lentilmux.UpstreamRecord{
			ID: fmt.Sprint("u", i), Service: "llm", Zone: "kochi", Slots: 8, Accelerator: "large", Layers: lentilmux.LayerRange{Last: 7}, HasLayers: true,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		}
		_ = f.node.Send(ctx, lentilmux.StreamUpdatesMsg{Stream: lentilmux.StreamUpstreams, AsOf: now, Updates: []lentilmux.StreamUpdate{{Key: record.ID, Offset: uint64(i + 1), Upstream: record}}})
	}
}
