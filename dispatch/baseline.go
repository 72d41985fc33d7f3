package dispatch

import "lentilmux.example/lentilmux"

// RoundRobin takes candidates in turn. It is a baseline.
type RoundRobin struct {
	next int
}

// Pick implements [lentilmux.Dispatch].
func (p *RoundRobin) Pick(candidates []lentilmux.Candidate) (index int) {
	p.next++
	return p.next % len(candidates)
}

// LeastReported takes the candidate that reported the least load. It is a
// baseline: VMs that see the same reports herd on one upstream.
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
