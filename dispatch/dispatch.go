// Package dispatch implements the policies that pick the upstreams of a
// request.
//
// [TwoChoices] is the default policy for requests that one upstream runs alone.
// [RoundRobin] and [LeastReported] are baselines to compare it with.
// [CheapestPath] picks a path over upstreams that each hold a range of a
// model's layers.
//
// The policies do no I/O. The package is named after the interface
// [lentilmux.Dispatch].
//
// # Usage
//
//	policy := dispatch.NewTwoChoices(seed)
//	index := policy.Pick(candidates)
//
//	selector := dispatch.NewCheapestPath(seed)
//	path, estimate, ok := selector.Choose(request, nodes, nil)
package dispatch

import (
	"math/rand/v2"

	"lentilmux.example/lentilmux"
)

const (
	// crossZonePenalty is added to the score of an upstream in another
	// availability zone, as a fraction of its capacity.
	crossZonePenalty = 0.15
	// prefixCacheBonus is subtracted from the score of an upstream that may have
	// the prompt's prefix in its KV cache, as a fraction of its capacity. It is
	// small enough for a busy upstream to lose nevertheless.
	prefixCacheBonus = 0.25
	// reportHalfWeightSeconds is the age at which a load report has half its
	// weight.
	reportHalfWeightSeconds = 1.0
)

// TwoChoices draws two candidates at random and picks the one with the lower
// score (power of two choices). The random draw keeps VMs with the same stale
// load reports from all picking the same upstream.
type TwoChoices struct {
	random *rand.Rand
}

// NewTwoChoices returns a policy whose random numbers are derived from seed.
func NewTwoChoices(seed uint64) *TwoChoices {
	return &TwoChoices{random: rand.New(rand.NewPCG(seed, seed))}
}

// Pick implements [lentilmux.Dispatch]. Candidates that may have the prompt's
// prefix in their KV cache are compared in addition to the two drawn.
func (t *TwoChoices) Pick(candidates []lentilmux.Candidate) (index int) {
	best := t.random.IntN(len(candidates))
	best = lowerScore(candidates, best, t.random.IntN(len(candidates)))
	for i := range candidates {
		if candidates[i].Cached {
			best = lowerScore(candidates, best, i)
		}
	}
	return best
}

// lowerScore returns the index of the candidate with the lower score, or a if
// the scores are equal.
func lowerScore(candidates []lentilmux.Candidate, a, b int) int {
	if score(&candidates[b]) < score(&candidates[a]) {
		return b
	}
	return a
}

// score estimates how busy a candidate is, as a fraction of its capacity.
// Requests that the VMs know to be in flight count fully; load that only the
// candidate reported counts less the older the report is. The round-trip time
// is added, since every token takes it.
func score(c *lentilmux.Candidate) float64 {
	load := float64(c.InFlight)
	if excess := float64(c.ReportedLoad) - load; excess > 0 {
		load += excess / (1 + c.ReportAge.Seconds()/reportHalfWeightSeconds)
	}
	total := (load + 1) / c.Capacity
	total += c.RelativeRTT
	if c.SlowStartWeight > 0 && c.SlowStartWeight < 1 {
		total /= c.SlowStartWeight
	}
	if !c.SameZone {
		total += crossZonePenalty
	}
	if c.Cached {
		total -= prefixCacheBonus
	}
	return total
}
