// Package admission implements policies that divide the capacity between
// workspaces, and between requests of different priority while there is too little.
//
// [FairShare] is the default for workspaces; [ArrivalOrder] is a baseline for
// comparison. [UrgentFirst] is the default for priorities.
//
// The package does no I/O; it is named for the policy it implements.
//
// # Usage
//
//	index := admission.FairShare{}.Next(loads)
package admission

import "lentilmux.example/lentilmux"

// FairShare picks the workspace with the lowest use relative to its share. A
// workspace below its fair share of the running requests precedes one that
// would exceed it. Among workspaces on the same side of their shares, priority
// decides first. A share that a workspace leaves unused is thus available to
// the others immediately, and returns to it with the next slots that become
// free.
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

// ranksBefore reports whether a precedes b while total requests are running.
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

// exceedsShare reports whether one more request would take the workspace over
// its share of the running requests.
func exceedsShare(l *lentilmux.WorkspaceLoad, total int) bool {
	return float64(l.Running) >= l.Share*float64(total+1)
}

// ArrivalOrder picks the first workspace. Since workspaces are listed in the
// order of their oldest requests, this is first come, first served. It is a
// baseline for comparison.
type ArrivalOrder struct{}

// Next implements [lentilmux.Admission].
func (ArrivalOrder) Next([]lentilmux.WorkspaceLoad) (index int) { return 0 }
