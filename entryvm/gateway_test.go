package entryvm

import (
	"testing"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/fleet"
)

// TestReadsKeepUpWithTheLimits checks the pace of reads against the limits that
// depend on it: a first plan must not miss upstreams that the next read tells
// of, and one lost read must not make a VM turn not ready.
func TestReadsKeepUpWithTheLimits(t *testing.T) {
	limits := fleet.DefaultLimits().Within(fleet.Bounds{RevokeWithin: 5 * time.Second, ApplyWithin: 3 * time.Second, LeaveWithin: 3 * time.Second})
	g := &Gateway{}
	g.limits.Store(&limits)
	for _, hops := range []int{1, 2} {
		// With two, a relay reads the store and another VM reads at the relay.
		g.shared.Store(hops == 2)
		members, rules := g.pace(lentilmux.StreamMembers), g.pace(lentilmux.StreamRules)
		if limits.GatherFor < time.Duration(2*hops)*members.Spacing {
			t.Errorf("upstreams are gathered for %s, but read every %s over %d hops", limits.GatherFor, members.Spacing, hops)
		}
		if late := time.Duration(hops) * members.Spacing; late > limits.MembersSpacing {
			t.Errorf("entries are known %s late over %d hops, allowed %s", late, hops, limits.MembersSpacing)
		}
		if late := time.Duration(hops) * rules.Spacing; late > limits.RulesSpacing {
			t.Errorf("the configuration is known %s late over %d hops, allowed %s", late, hops, limits.RulesSpacing)
		}
		// What a read told is as old as two waits of each hop before the next.
		if old := time.Duration(2*hops) * rules.Wait; old > limits.ReadyMost {
			t.Errorf("what is known is %s old before the next read is answered over %d hops, ready up to %s", old, hops, limits.ReadyMost)
		}
	}
}
