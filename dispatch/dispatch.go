// Package dispatch holds the policies that pick an upstream for a request.
//
// [TwoChoices] is the one in use. [RoundRobin] and [LeastReported] are
// baselines to compare it with.
//
// The package speaks to no peer; it is named for the policy it implements.
//
// # Usage
//
//	policy := dispatch.NewTwoChoices(seed)
//	index := policy.Pick(candidates)
package dispatch

import (
	"math/rand/v2"

	"lentilmux.example/lentilmux"
)

const (
	// zoneCost is added to the score of an upstream in another availability
	// zone, in parts of its capacity.
	zoneCost = 0.15
	// cacheGain is taken off the score of an upstream that may hold the
	// prompt's prefix. It is bounded so that a busy upstream loses anyway.
	cacheGain = 0.25
	// reportFade is the age in seconds at which a load report counts half.
	reportFade = 1.0
)

// TwoChoices draws two candidates at random and takes the one with the lower
// score. Random draws keep VMs with the same stale reports from herding.
type TwoChoices struct {
	random *rand.Rand
}

// NewTwoChoices returns a policy whose draws follow from seed.
func NewTwoChoices(seed uint64) *TwoChoices {
	return &TwoChoices{random: rand.New(rand.NewPCG(seed, seed))}
}

// Pick implements [lentilmux.Dispatch]. A candidate that may hold the prefix
// joins the draw.
func (p *TwoChoices) Pick(candidates []lentilmux.Candidate) (index int) {
	best := p.random.IntN(len(candidates))
	best = better(candidates, best, p.random.IntN(len(candidates)))
	for i := range candidates {
		if candidates[i].Cached {
			best = better(candidates, best, i)
		}
	}
	return best
}

// better returns the index with the lower score, a when they are equal.
func better(candidates []lentilmux.Candidate, a, b int) int {
	if score(&candidates[b]) < score(&candidates[a]) {
		return b
	}
	return a
}

// score estimates how busy a candidate is, in parts of its capacity. What the VMs
// know they sent counts whole; a report counts less the older it is. The round
// trip to the candidate, which every token takes, is added.
func score(c *lentilmux.Candidate) float64 {
	known := float64(c.InFlight)
	if excess := float64(c.ReportedLoad) - known; excess > 0 {
		known += excess / (1 + c.ReportAge.Seconds()/reportFade)
	}
	s := (known + 1) / c.Capacity
	s += c.RelativeRTT
	if c.SlowStartWeight > 0 && c.SlowStartWeight < 1 {
		s /= c.SlowStartWeight
	}
	if !c.SameZone {
		s += zoneCost
	}
	if c.Cached {
		s -= cacheGain
	}
	return s
}
