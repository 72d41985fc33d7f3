package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/fleet"
)

// TestRefusedCallersReturnSpread has a hundred VMs refuse callers at the same moment. It
// guards against callers that return together: no tenth of the time over which they
// return may get more than twice its share of them. None may be told more than a quarter
// of the time that it has left, since callers give up on longer ones.
func TestRefusedCallersReturnSpread(t *testing.T) {
	const vms, callers, tenths = 100, 20, 10
	random := rand.New(rand.NewPCG(1, 0))
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	counts := make([]int, tenths)
	for vm := range vms {
		model := newFullVM(fmt.Sprintf("entry-%d", vm+1), now)
		for i := range callers {
			inbound := inboundRequest(fmt.Sprintf("r%d", i), map[string]string{"path": "/llm/x", "key": "k1", "prompt": "100000", "answer": "100"}, now)
			left := 13*time.Second + time.Duration(random.Int64N(int64(7*time.Second)))
			if i%2 == 0 { // a caller with little time left
				left = time.Duration(random.Int64N(int64(4 * time.Second)))
			}
			inbound.Deadline = now.Add(left)
			retryAfter := refusedFor(t, model, now, inbound)
			if retryAfter > left/4 {
				t.Errorf("caller with %s left may retry after %s", left, retryAfter)
			}
			if i%2 == 1 { // from 1 s to 3 s: the default, since no stream was measured
				tenth := int((retryAfter - time.Second) * tenths / (2 * time.Second))
				counts[min(max(tenth, 0), tenths-1)]++
			}
		}
	}
	for tenth, count := range counts {
		if share := vms * callers / 2 / tenths; count > 2*share {
			t.Errorf("%d callers return in tenth %d, more than twice the share of %d", count, tenth, share)
		}
	}
}

// newFullVM returns a VM that knows its upstreams, which have room for small requests
// only.
func newFullVM(name string, now time.Time) *fleet.Schedule {
	model := fleet.New(fleet.Self{Name: name, Zone: "kochi", Incarnation: 1, Started: now}, fleet.DefaultLimits())
	rules := testRuleset(map[string]string{"version": "1", "keys": "k1"})
	upstream := upstreamRecord("a", map[string]string{"accelerator": "large", "layers": "0-7"})
	model.Tick(now, []lentilmux.Envelope{
		{Msg: lentilmux.StreamUpdatesMsg{Stream: lentilmux.StreamRules, AsOf: now, Updates: []lentilmux.StreamUpdate{{Key: "config", Offset: 1, Rules: rules}}}},
		{Msg: lentilmux.StreamUpdatesMsg{Stream: lentilmux.StreamUpstreams, AsOf: now, Updates: []lentilmux.StreamUpdate{{Key: "a", Offset: 2, Upstream: upstream}}}},
	})
	return model
}

// refusedFor sends a request that no VM has room for, and returns when its caller may
// retry.
func refusedFor(t *testing.T, model *fleet.Schedule, now time.Time, inbound lentilmux.InboundRequest) (retryAfter time.Duration) {
	t.Helper()
	effects, _ := model.Tick(now, []lentilmux.Envelope{{Msg: lentilmux.ForwardMsg{Inbound: inbound}, CorrelationID: 1}})
	for _, effect := range effects {
		if answer, ok := effect.(lentilmux.AnswerEffect); ok {
			if refusal, ok := answer.Answer.(lentilmux.RefusalAnswer); ok && refusal.Refusal.Reason == lentilmux.ReasonNoUpstream {
				return refusal.Refusal.RetryAfter
			}
		}
	}
	t.Fatalf("%s was not refused for want of room", inbound.ID)
	return 0
}
