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
		members, rules := g.pace(lentilmux.StreamUpstreams), g.pace(lentilmux.StreamRules)
		if limits.PlacementQuietPeriod < time.Duration(2*hops)*members.MinInterval {
			t.Errorf("upstreams are gathered for %s, but read every %s over %d hops", limits.PlacementQuietPeriod, members.MinInterval, hops)
		}
		if late := time.Duration(hops) * members.MinInterval; late > limits.MinUpstreamsReadInterval {
			t.Errorf("entries are known %s late over %d hops, allowed %s", late, hops, limits.MinUpstreamsReadInterval)
		}
		if late := time.Duration(hops) * rules.MinInterval; late > limits.MinRulesReadInterval {
			t.Errorf("the configuration is known %s late over %d hops, allowed %s", late, hops, limits.MinRulesReadInterval)
		}
		// What a read told is as old as two waits of each hop before the next.
		if old := time.Duration(2*hops) * rules.MaxWait; old > limits.MaxReadyConfigAge {
			t.Errorf("what is known is %s old before the next read is answered over %d hops, ready up to %s", old, hops, limits.MaxReadyConfigAge)
		}
	}
}
