package placement

import (
	"math"
	"math/rand/v2"
	"slices"

	"lentilmux.example/lentilmux"
)

const (
	// maxCandidates and candidateWork bound the number of greedy placements that
	// are compared, the latter divided by the number of nodes.
	maxCandidates = 12
	candidateWork = 600
	// searchSeed makes the search repeatable, so that all entry VMs place alike.
	searchSeed = 1
	// trialWork is the number of trials of a refinement, times the zone's nodes.
	trialWork = 250_000
	// maxTrials bounds the trials in small zones, which find their best ranges
	// with fewer.
	maxTrials = 12_000
	// maxTemperature is the greatest fall of the value with which a change may
	// still be kept, times the zone's nodes. A change of one range matters less in a
	// large zone.
	maxTemperature = 0.6
	// maxShift is how many segments an end of a range is moved in a trial.
	maxShift = 2
)

// candidateWeights are the weights that the compared placements use in turn.
var candidateWeights = []weights{
	defaultWeights, {power: 1, residency: 2, loss: 0.15}, {power: 2, residency: 2, loss: 0.05}, {power: 1, residency: 4, loss: 0.05},
	{power: 3, residency: 2, loss: 0.02}, {power: 2, residency: 1, loss: 0.15},
}

// ZoneSearch spreads layers to maximize the requests per second of every
// availability zone, also after the loss of one or several of its upstreams, with
// short paths. It computes several greedy placements with [ZoneBalanced]'s rule,
// keeps for each zone the one of the greatest value, and then tries changes.
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
		if s.isSmall() {
			s.pickBestSmall(candidates)
			s.improveSmall()
		} else {
			s.pickBest(candidates)
			s.improve()
		}
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
	model     *lentilmux.ModelProfile
	random    *rand.Rand
	members   []int // indexes of the zone's nodes
	nodes     []lentilmux.RangeNode
	rate      *zoneRate
	values    *zoneValue
	best      []lentilmux.LayerRange
	bestValue float64 // of best; negative infinity if the zone cannot run the model
	bestRate  float64 // expected requests per second of best in a small zone
}

// newZoneSearch returns the search for the nodes of a zone.
func newZoneSearch(model *lentilmux.ModelProfile, zone int, nodes []lentilmux.RangeNode, random *rand.Rand) *zoneSearch {
	s := &zoneSearch{model: model, random: random, bestValue: math.Inf(-1)}
	for i, n := range nodes {
		if n.Zone == zone {
			s.members = append(s.members, i)
			s.nodes = append(s.nodes, n)
		}
	}
	s.rate = newZoneRate(model, s.nodes)
	if !s.isSmall() {
		s.values = newZoneValue(model, s.nodes, random)
	}
	return s
}

// pickBest starts with the ranges of the best candidate, or of the first one if
// the zone cannot run the model with any of them.
func (s *zoneSearch) pickBest(candidates [][]lentilmux.LayerRange) {
	for _, candidate := range candidates {
		ranges := s.rangesOf(candidate)
		if value := s.values.value(ranges, s.bestValue); s.best == nil || value > s.bestValue {
			s.best, s.bestValue = ranges, value
		}
	}
}

// rangesOf returns the zone's ranges of a candidate.
func (s *zoneSearch) rangesOf(candidate []lentilmux.LayerRange) (ranges []lentilmux.LayerRange) {
	ranges = make([]lentilmux.LayerRange, len(s.members))
	for i, member := range s.members {
		ranges[i] = candidate[member]
	}
	return ranges
}

// improve searches for better ranges by simulated annealing: each trial makes one
// of the moves of [zoneSearch.change]. A change that lowers the value a little may
// be kept as well, ever less so as the search goes on, since some better
// placements are reached only through worse ones.
func (s *zoneSearch) improve() {
	free := s.freeNodes()
	if len(free) == 0 || math.IsInf(s.bestValue, -1) {
		return
	}
	current, changed := slices.Clone(s.best), slices.Clone(s.best)
	currentValue := s.bestValue
	trials := min(trialWork/len(s.nodes), maxTrials)
	for trial := range trials {
		copy(changed, current)
		s.change(changed, free)
		temperature := maxTemperature / float64(len(s.nodes)) * float64(trials-trial) / float64(trials)
		threshold := currentValue - temperature*s.random.Float64()
		value := s.values.value(changed, threshold)
		if value < threshold {
			continue
		}
		current, changed, currentValue = changed, current, value
		if value > s.bestValue {
			copy(s.best, current)
			s.bestValue = value
		}
	}
}

// freeNodes returns the indexes of the nodes that are not pinned.
func (s *zoneSearch) freeNodes() (free []int) {
	for i, n := range s.nodes {
		if !n.Pinned {
			free = append(free, i)
		}
	}
	return free
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
