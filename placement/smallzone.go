package placement

import (
	"slices"

	"lentilmux.example/lentilmux"
)

const (
	// minGroupZone is the number of upstreams from which the search considers the
	// loss of a group. A smaller zone can rarely hold all layers without three of its
	// upstreams, so there the loss of one counts.
	minGroupZone = 20
	// smallTrialWork bounds the changes of single ranges that are tried in a small
	// zone. It is divided by the square of the zone's nodes, since each trial
	// estimates the zone without each of them.
	smallTrialWork = 700_000
	// minSmallTrials is the least number of changes tried for each free node, as far
	// as maxSmallTrialWork allows, which is divided as smallTrialWork is.
	minSmallTrials    = 12
	maxSmallTrialWork = 1_500_000
	// maxSmallTemperature is the greatest fraction of the rate by which a change may
	// lower it and still be kept.
	maxSmallTemperature = 0.02
)

// isSmall reports whether the zone is one of which the loss of a single upstream
// counts: it has too few nodes to survive the loss of a group, or its accelerators
// are large enough for short paths.
func (s *zoneSearch) isSmall() bool {
	return len(s.nodes) < minGroupZone || s.meanMaxLayers()*usualHops >= float64(s.model.Layers)
}

// meanMaxLayers returns the mean of the layers that fit into the zone's nodes.
func (s *zoneSearch) meanMaxLayers() (layers float64) {
	for _, n := range s.nodes {
		layers += float64(s.model.MaxLayers(n.Accelerator))
	}
	return layers / float64(max(len(s.nodes), 1))
}

// pickBestSmall starts with the ranges of the candidate of the highest rate, or of
// the first one if the zone cannot run the model with any of them.
func (s *zoneSearch) pickBestSmall(candidates [][]lentilmux.LayerRange) {
	for _, candidate := range candidates {
		ranges := s.rangesOf(candidate)
		if rate := s.rate.expected(ranges, s.bestRate); s.best == nil || rate > s.bestRate {
			s.best, s.bestRate = ranges, rate
		}
	}
}

// improveSmall searches for better ranges of a small zone by simulated annealing:
// each trial changes the ranges of one or two nodes, and counts the rate without
// each node in turn. A change that lowers the rate a little may be
// kept as well, ever less so as the search goes on, since some better placements
// are reached only through worse ones.
func (s *zoneSearch) improveSmall() {
	free := s.freeNodes()
	if len(free) == 0 || s.bestRate <= 0 {
		return
	}
	count := len(s.nodes)
	trials := max(smallTrialWork*len(free)/(count*count*count), min(minSmallTrials*len(free), maxSmallTrialWork/(count*count)))
	current, currentRate := slices.Clone(s.best), s.bestRate
	changed := slices.Clone(current)
	for trial := range trials {
		copy(changed, current)
		for range 1 + s.random.IntN(2) {
			i := free[s.random.IntN(len(free))]
			changed[i] = s.propose(s.nodes[i], changed[i])
		}
		temperature := maxSmallTemperature * float64(trials-trial) / float64(trials)
		rate := s.rate.expected(changed, currentRate*(1-temperature*s.random.Float64()))
		if rate <= 0 {
			continue
		}
		current, changed, currentRate = changed, current, rate
		if rate > s.bestRate {
			copy(s.best, current)
			s.bestRate = rate
		}
	}
}
