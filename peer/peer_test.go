package peer

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/peer/peerpb"
)

// TestDigestRoundTrip checks that no field of a digest is lost when it is
// converted to its message and back.
func TestDigestRoundTrip(t *testing.T) {
	want := lentilmux.Digest{
		VM: "entry-1", Zone: "kochi", Addr: netip.MustParseAddrPort("192.0.2.1:7080"), Incarnation: "one", Revision: 7,
		NextCallOffset: 9, CallsKnownSince: time.UnixMilli(1234), Draining: true, Leaving: []string{"worker-1"},
		InFlight: []lentilmux.UpstreamCount{{Upstream: "worker-2", Count: 3}},
		Usage:    []lentilmux.WorkspaceUsage{{Workspace: "counter", Running: 1, Queued: 2}},
	}
	got, err := digestFromProto(digestToProto(want))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v", got, err)
	}
}

// TestInvalidDigests checks that digests without a VM's name or a valid address
// are rejected.
func TestInvalidDigests(t *testing.T) {
	for _, m := range []*peerpb.Digest{{}, {Vm: "entry-1", Addr: "nowhere:1"}, {Addr: "192.0.2.1:7080"}} {
		if _, err := digestFromProto(m); err == nil {
			t.Errorf("invalid digest %v was accepted", m)
		}
	}
}
