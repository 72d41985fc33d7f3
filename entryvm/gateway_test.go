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
	g := &Gateway{config: GatewayConfig{Limits: limits}}
	if members := g.pace(lentilmux.StreamMembers); limits.GatherFor < 2*members.Spacing {
		t.Errorf("upstreams are gathered for %s, but read every %s", limits.GatherFor, members.Spacing)
	}
	if rules := g.pace(lentilmux.StreamRules); 2*rules.Wait > limits.ReadyMost {
		t.Errorf("what is known is %s old before the next read is answered, ready up to %s", 2*rules.Wait, limits.ReadyMost)
	}
}
