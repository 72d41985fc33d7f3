package admission_test

import (
	"testing"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/admission"
)

// TestFairShareFollowsConfiguredShares guards against slots that are not
// divided by the shares, and against slots that stay unused. It fills slots one
// by one: workspaces that always have queued requests reach their shares, and
// the share of an idle workspace goes to the others.
func TestFairShareFollowsConfiguredShares(t *testing.T) {
	loads := []lentilmux.WorkspaceLoad{
		{Workspace: "large", Share: 0.6}, {Workspace: "urgent", Share: 0.2}, {Workspace: "small", Share: 0.2, Priority: 1},
	}
	for range 100 {
		loads[admission.FairShare{}.Next(loads)].Running++
	}
	for _, l := range loads {
		if want := int(l.Share * 100); l.Running < want-1 || l.Running > want+1 {
			t.Errorf("%s runs %d of 100 requests with a share of %.1f", l.Workspace, l.Running, l.Share)
		}
	}
	active := loads[:2]
	for range 100 {
		active[admission.FairShare{}.Next(active)].Running++
	}
	if active[0].Running+active[1].Running < 180 {
		t.Errorf("the share of the idle workspace was not given to the others: %+v", active)
	}
}

// TestFairSharePrefersPriorityBelowShare guards against an urgent workspace that
// waits while it is below its share: it precedes one of lower priority, even if
// that one uses less of its share.
func TestFairSharePrefersPriorityBelowShare(t *testing.T) {
	loads := []lentilmux.WorkspaceLoad{
		{Workspace: "later", Share: 0.5, Priority: 1, Running: 1}, {Workspace: "urgent", Share: 0.5, Priority: 0, Running: 2}, {Workspace: "other", Share: 0.5, Priority: 1, Running: 9},
	}
	if next := (admission.FairShare{}).Next(loads); loads[next].Workspace != "urgent" {
		t.Errorf("%s is picked first, want urgent", loads[next].Workspace)
	}
}
