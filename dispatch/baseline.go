package dispatch

import "lentilmux.example/lentilmux"

// RoundRobin picks candidates in turn. It is a baseline for comparison.
type RoundRobin struct {
	next int
}

// Pick implements [lentilmux.Dispatch].
func (r *RoundRobin) Pick(candidates []lentilmux.Candidate) (index int) {
	r.next++
	return r.next % len(candidates)
}

// LeastReported picks the candidate that reported the least load. It is a
// baseline for comparison: VMs that see the same reports all pick the same
// upstream.
type LeastReported struct{}

// Pick implements [lentilmux.Dispatch].
func (LeastReported) Pick(candidates []lentilmux.Candidate) (index int) {
	for i := range candidates {
		if candidates[i].ReportedLoad < candidates[index].ReportedLoad {
			index = i
		}
	}
	return index
}
