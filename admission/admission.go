// Package admission holds the policies that share the budget out between
// workspaces.
//
// [FairShare] is the one in use; [ArrivalOrder] is a baseline to compare it with.
//
// The package speaks to no peer; it is named for the policy it implements.
//
// # Usage
//
//	index := admission.Shares{}.Next(loads)
package admission

import "lentilmux.example/lentilmux"

// FairShare takes the workspace that uses the least of its share. A workspace
// whose use is below its part of the running work goes before one that
// borrows; within each group priority decides first. What a workspace leaves
// unused is so lent at once and taken back with the next free slot.
type FairShare struct{}

// Next implements [lentilmux.Admission].
func (FairShare) Next(loads []lentilmux.WorkspaceLoad) (index int) {
	total := 0
	for i := range loads {
		total += loads[i].Running
	}
	for i := 1; i < len(loads); i++ {
		if ranksBefore(&loads[i], &loads[index], total) {
			index = i
		}
	}
	return index
}

// ranksBefore reports whether a goes before b when total requests run.
func ranksBefore(a, b *lentilmux.WorkspaceLoad, total int) bool {
	exceedsA, exceedsB := exceedsShare(a, total), exceedsShare(b, total)
	if exceedsA != exceedsB {
		return exceedsB
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return float64(a.Running)*b.Share < float64(b.Running)*a.Share
}

// exceedsShare reports whether one more request would take the workspace over its
// share of the running work.
func exceedsShare(l *lentilmux.WorkspaceLoad, total int) bool {
	return float64(l.Running) >= l.Share*float64(total+1)
}

// ArrivalOrder takes the workspaces in the order in which they are given, which is
// that of their oldest requests. It is a baseline.
type ArrivalOrder struct{}

// Next implements [lentilmux.Admission].
func (ArrivalOrder) Next([]lentilmux.WorkspaceLoad) (index int) { return 0 }
