package placement

import (
	"math/rand/v2"
	"slices"

	"lentilmux.example/lentilmux"
)

const (
	// maxCandidates and candidateWork bound the number of greedy placements that
	// are compared, the latter divided by the number of nodes.
	maxCandidates = 12
	candidateWork = 600
	// trialWork bounds the changes of single ranges that are tried in a zone. It is
	// divided by the square of the zone's nodes, since each trial estimates the
	// zone without each of them.
	trialWork = 700_000
	// minTrialsPerNode is the least number of changes tried for each free node, as
	// far as maxTrialWork allows, which is divided as trialWork is.
	minTrialsPerNode = 12
	maxTrialWork     = 1_500_000
	// maxTemperature is the greatest fraction of the rate by which a change may
	// lower it and still be kept.
	maxTemperature = 0.02
	// searchSeed makes the search repeatable, so that all entry VMs place alike.
	searchSeed = 1
	// maxShift is how many segments an end of a range is moved in a trial.
	maxShift = 2
)

// candidateWeights are the weights that the compared placements use in turn.
var candidateWeights = []weights{
	defaultWeights, {power: 1, residency: 2, loss: 0.15}, {power: 2, residency: 2, loss: 0.05}, {power: 1, residency: 4, loss: 0.05},
	{power: 3, residency: 2, loss: 0.02}, {power: 2, residency: 1, loss: 0.15},
}

// ZoneSearch spreads layers to maximize the requests per second of every
// availability zone, also after the loss of one of its upstreams. It computes
// several greedy placements with [ZoneBalanced]'s rule, keeps for each zone the
// one with the highest estimated rate, and then tries changes of single ranges.
//
// It takes up to a second, so it should not run on the control goroutine.
type ZoneSearch struct{}

// Place implements [lentilmux.RangePlacement]. Pinned nodes keep their layers.
func (ZoneSearch) Place(model *lentilmux.ModelProfile, zones int, nodes []lentilmux.RangeNode) (ranges []lentilmux.LayerRange) {
	random := rand.New(rand.NewPCG(searchSeed, searchSeed))
	candidates := greedyCandidates(model, zones, nodes, random)
	ranges = slices.Clone(candidates[0])
	for zone := range max(zones, 1) {
		s := newZoneSearch(model, zone, nodes, random)
		s.pickBest(candidates)
		s.improve()
		s.fillGap()
		for i, member := range s.members {
			ranges[member] = s.best[i]
		}
	}
	return ranges
}

// greedyCandidates returns greedy placements with different weights and orders
// of the nodes. The first one is that of [ZoneBalanced].
func greedyCandidates(model *lentilmux.ModelProfile, zones int, nodes []lentilmux.RangeNode, random *rand.Rand) (candidates [][]lentilmux.LayerRange) {
	order := make([]int, len(nodes))
	for i := range order {
		order[i] = i
	}
	for k := range min(max(candidateWork/max(len(nodes), 1), 1), maxCandidates) {
		candidates = append(candidates, placeInOrder(model, zones, nodes, order, candidateWeights[k%len(candidateWeights)]))
		random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	}
	return candidates
}

// zoneSearch is the search for the ranges of one zone.
type zoneSearch struct {
	model    *lentilmux.ModelProfile
	random   *rand.Rand
	members  []int // indexes of the zone's nodes
	nodes    []lentilmux.RangeNode
	rate     *zoneRate
	best     []lentilmux.LayerRange
	bestRate float64 // expected requests per second of best
}

// newZoneSearch returns the search for the nodes of a zone.
func newZoneSearch(model *lentilmux.ModelProfile, zone int, nodes []lentilmux.RangeNode, random *rand.Rand) *zoneSearch {
	s := &zoneSearch{model: model, random: random}
	for i, n := range nodes {
		if n.Zone == zone {
			s.members = append(s.members, i)
			s.nodes = append(s.nodes, n)
		}
	}
	s.rate = newZoneRate(model, s.nodes)
	return s
}

// pickBest starts with the ranges of the best candidate, or of the first one if
// the zone cannot run the model with any of them.
func (s *zoneSearch) pickBest(candidates [][]lentilmux.LayerRange) {
	for _, candidate := range candidates {
		ranges := make([]lentilmux.LayerRange, len(s.members))
		for i, member := range s.members {
			ranges[i] = candidate[member]
		}
		if rate := s.rate.expected(ranges, s.bestRate); s.best == nil || rate > s.bestRate {
			s.best, s.bestRate = ranges, rate
		}
	}
}

// improve searches for better ranges by simulated annealing: each trial changes
// the ranges of one or two nodes. A change that lowers the rate a little may be
// kept as well, ever less so as the search goes on, since some better placements
// are reached only through worse ones.
func (s *zoneSearch) improve() {
	var free []int // nodes that are not pinned
	for i, n := range s.nodes {
		if !n.Pinned {
			free = append(free, i)
		}
	}
	if len(free) == 0 || s.bestRate <= 0 {
		return
	}
	count := len(s.nodes)
	trials := max(trialWork*len(free)/(count*count*count), min(minTrialsPerNode*len(free), maxTrialWork/(count*count)))
	current, currentRate := slices.Clone(s.best), s.bestRate
	changed := slices.Clone(current)
	for trial := range trials {
		copy(changed, current)
		for range 1 + s.random.IntN(2) {
			i := free[s.random.IntN(len(free))]
			changed[i] = s.propose(s.nodes[i], changed[i])
		}
		temperature := maxTemperature * float64(trials-trial) / float64(trials)
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

// propose returns another range for a node: its own with both ends moved a
// little, or any range that fits into its memory.
func (s *zoneSearch) propose(n lentilmux.RangeNode, current lentilmux.LayerRange) (proposed lentilmux.LayerRange) {
	segment := segmentLength(s.model)
	maxLayers := s.model.MaxLayers(n.Accelerator)
	if s.random.IntN(2) == 0 {
		proposed.First = current.First + segment*(s.random.IntN(2*maxShift+1)-maxShift)
		proposed.Last = current.Last + segment*(s.random.IntN(2*maxShift+1)-maxShift)
	} else {
		proposed.First = segment * s.random.IntN((s.model.Layers+segment-1)/segment)
		proposed.Last = proposed.First + segment*(1+s.random.IntN(max(maxLayers/segment, 1))) - 1
	}
	proposed.First, proposed.Last = max(proposed.First, 0), min(proposed.Last, s.model.Layers-1)
	if proposed.Len() < 1 || proposed.Len() > maxLayers {
		return current
	}
	return proposed
}
