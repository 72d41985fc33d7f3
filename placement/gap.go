package placement

import (
	"slices"

	"lentilmux.example/lentilmux"
)

const (
	// maxGapMoves bounds how many nodes of a zone change their layers to fill a
	// gap.
	maxGapMoves = 4
	// changeFactor is the value of a zone's rate with one more changed node. A
	// node is of no use while it loads layers.
	changeFactor = 0.93
	// gapTrialWork bounds the changes of single ranges that are tried when a gap
	// is filled. It is divided by the number of the zone's nodes.
	gapTrialWork = 15_000
)

// gapChange is a change of one node's range that fills a part of a gap.
type gapChange struct {
	node    int
	layers  lentilmux.LayerRange
	missing int     // layers that the zone still lacks
	rate    float64 // requests per second; zero while layers are missing
}

// isBetterThan reports whether a change is preferable to another one.
func (g gapChange) isBetterThan(other gapChange) bool {
	if g.missing != other.missing {
		return g.missing < other.missing
	}
	return g.rate > other.rate
}

// gapFillSizes are the greatest lengths of the ranges that fill a gap, as
// fractions of what fits into a node. Short ranges leave room for requests but
// need more nodes.
var gapFillSizes = []float64{0.55, 0.7, 0.85, 1}

// fillGap changes the ranges of movable nodes until the zone holds all layers
// again. If that is not possible, it leaves them as they are.
func (s *zoneSearch) fillGap() {
	if missing := countMissing(s.countHolders()); missing == 0 || missing == s.model.Layers {
		return
	}
	original, best, bestValue := slices.Clone(s.best), s.best, 0.0
	for _, size := range gapFillSizes {
		s.best = slices.Clone(original)
		if !s.coverGap(size) {
			continue
		}
		if value := s.improveGapFill(original); value > bestValue {
			best, bestValue = s.best, value
		}
	}
	s.best = best
}

// coverGap changes one node after another until no layer is missing. It returns
// false if maxGapMoves changes are not enough.
func (s *zoneSearch) coverGap(size float64) (covered bool) {
	holders := s.countHolders()
	for range maxGapMoves {
		change, ok := s.bestGapChange(holders, size)
		if !ok {
			return false
		}
		addHolder(holders, s.best[change.node], -1)
		addHolder(holders, change.layers, 1)
		s.best[change.node] = change.layers
		if change.missing == 0 {
			return true
		}
	}
	return false
}

// improveGapFill tries further changes of movable nodes, at most maxGapMoves of
// them against the original ranges, and keeps those that raise the value.
func (s *zoneSearch) improveGapFill(original []lentilmux.LayerRange) (value float64) {
	var movable []int
	for i, n := range s.nodes {
		if n.Movable {
			movable = append(movable, i)
		}
	}
	value, _ = s.gapFillValue(original)
	for range gapTrialWork / len(s.nodes) {
		i := movable[s.random.IntN(len(movable))]
		previous := s.best[i]
		s.best[i] = s.propose(s.nodes[i], previous)
		if s.random.IntN(maxGapMoves) == 0 {
			s.best[i] = original[i]
		}
		if s.best[i] == previous {
			continue
		}
		if changed, ok := s.gapFillValue(original); ok && changed > value {
			value = changed
		} else {
			s.best[i] = previous
		}
	}
	return value
}

// gapFillValue returns the value of the zone's rate with the present ranges. It
// returns false if too many nodes differ from the original ranges.
func (s *zoneSearch) gapFillValue(original []lentilmux.LayerRange) (value float64, ok bool) {
	value, changes := 1.0, 0
	for i := range s.best {
		if s.best[i] != original[i] {
			value *= changeFactor
			changes++
		}
	}
	if changes > maxGapMoves {
		return 0, false
	}
	return value * s.rate.estimate(s.best, noneLost), true
}

// bestGapChange returns the best change of one movable node that leaves fewer
// layers without a holder, by a range of at most the given size. It returns false
// if there is none.
func (s *zoneSearch) bestGapChange(holders []int, size float64) (best gapChange, ok bool) {
	best.missing = countMissing(holders)
	segment := segmentLength(s.model)
	for i, n := range s.nodes {
		if !n.Movable {
			continue
		}
		current := s.best[i]
		addHolder(holders, current, -1)
		maxLayers := int(size * float64(s.model.MaxLayers(n.Accelerator)))
		for first := 0; first < len(holders); first += segment {
			for last := first + segment - 1; last-first < maxLayers && last < len(holders); last += segment {
				change := gapChange{node: i, layers: lentilmux.LayerRange{First: first, Last: last}}
				if change.missing = countMissingBeside(holders, change.layers); change.missing > best.missing {
					continue
				}
				if change.missing == 0 {
					if change.rate = s.rateWith(change, current); change.rate <= 0 {
						continue // no memory would be left for requests
					}
				}
				if change.isBetterThan(best) {
					best, ok = change, true
				}
			}
		}
		addHolder(holders, current, 1)
	}
	return best, ok
}

// rateWith returns the zone's rate with a change.
func (s *zoneSearch) rateWith(change gapChange, current lentilmux.LayerRange) (requestsPerSecond float64) {
	s.best[change.node] = change.layers
	requestsPerSecond = s.rate.estimate(s.best, noneLost)
	s.best[change.node] = current
	return requestsPerSecond
}

// countHolders returns the number of holders of each layer.
func (s *zoneSearch) countHolders() (holders []int) {
	holders = make([]int, s.model.Layers)
	for _, layers := range s.best {
		addHolder(holders, layers, 1)
	}
	return holders
}

// addHolder adds count holders of a range.
func addHolder(holders []int, layers lentilmux.LayerRange, count int) {
	for layer := max(layers.First, 0); layer <= min(layers.Last, len(holders)-1); layer++ {
		holders[layer] += count
	}
}

// countMissing returns the number of layers without a holder.
func countMissing(holders []int) (missing int) {
	return countMissingBeside(holders, lentilmux.LayerRange{Last: -1})
}

// countMissingBeside returns the number of layers without a holder outside a
// range.
func countMissingBeside(holders []int, layers lentilmux.LayerRange) (missing int) {
	for layer, count := range holders {
		if count == 0 && (layer < layers.First || layer > layers.Last) {
			missing++
		}
	}
	return missing
}
