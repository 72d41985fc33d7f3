package placement

import (
	"lentilmux.example/lentilmux"
)

// change changes some ranges of the free nodes by one of the moves.
func (s *zoneSearch) change(ranges []lentilmux.LayerRange, free []int) {
	i := free[s.random.IntN(len(free))]
	switch s.random.IntN(6) {
	case 0:
		s.shiftBoundary(ranges, free, i)
	case 1:
		s.swap(ranges, i, free[s.random.IntN(len(free))])
	case 2:
		s.lengthen(ranges, i)
	case 3:
		s.align(ranges, i)
	case 4:
		ranges[i] = s.fitted(i, ranges[s.random.IntN(len(ranges))])
	default:
		for range 1 + s.random.IntN(2) {
			i := free[s.random.IntN(len(free))]
			ranges[i] = s.propose(s.nodes[i], ranges[i])
		}
	}
}

// shiftBoundary moves the end of a node's range, together with all free ranges
// that end or begin there. Moving one of them at a time would open a gap or
// lengthen paths in between, which the search rarely accepts.
func (s *zoneSearch) shiftBoundary(ranges []lentilmux.LayerRange, free []int, node int) {
	boundary := ranges[node].Last + 1
	if boundary >= s.model.Layers {
		boundary = ranges[node].First
	}
	step := segmentLength(s.model) * (1 + s.random.IntN(maxShift))
	if s.random.IntN(2) == 0 {
		step = -step
	}
	for _, i := range free {
		moved := ranges[i]
		if moved.First == boundary {
			moved.First += step
		}
		if moved.Last == boundary-1 {
			moved.Last += step
		}
		if moved != ranges[i] && s.isAllowed(i, moved) {
			ranges[i] = moved
		}
	}
}

// swap exchanges the ranges of two nodes. A node with too little memory takes as
// many layers of the other's range as fit.
func (s *zoneSearch) swap(ranges []lentilmux.LayerRange, a, b int) {
	ranges[a], ranges[b] = s.fitted(a, ranges[b]), s.fitted(b, ranges[a])
}

// lengthen moves one end of a node's range into its neighbor, and the nodes that
// hold the neighboring layers keep them, so paths get shorter.
func (s *zoneSearch) lengthen(ranges []lentilmux.LayerRange, node int) {
	longer := ranges[node]
	step := segmentLength(s.model) * (1 + s.random.IntN(maxShift))
	if s.random.IntN(2) == 0 {
		longer.First = max(longer.First-step, 0)
	} else {
		longer.Last = min(longer.Last+step, s.model.Layers-1)
	}
	if s.isAllowed(node, longer) {
		ranges[node] = longer
	}
}

// align moves a node's range so that it begins where another one ends, or ends
// where another one begins.
func (s *zoneSearch) align(ranges []lentilmux.LayerRange, node int) {
	other := ranges[s.random.IntN(len(ranges))]
	aligned := ranges[node]
	length := aligned.Len()
	if s.random.IntN(2) == 0 {
		aligned.First = other.Last + 1
		aligned.Last = min(aligned.First+length, s.model.Layers) - 1
	} else {
		aligned.Last = other.First - 1
		aligned.First = max(aligned.Last-length+1, 0)
	}
	if s.isAllowed(node, aligned) {
		ranges[node] = aligned
	}
}

// fitted returns as much of a range as fits into a node, from either end.
func (s *zoneSearch) fitted(node int, layers lentilmux.LayerRange) (fitting lentilmux.LayerRange) {
	fitting = layers
	segment := segmentLength(s.model)
	if maxLayers := s.model.MaxLayers(s.nodes[node].Accelerator) / segment * segment; fitting.Len() > maxLayers {
		if s.random.IntN(2) == 0 {
			fitting.Last = fitting.First + maxLayers - 1
		} else {
			fitting.First = fitting.Last - maxLayers + 1
		}
	}
	if !s.isAllowed(node, fitting) {
		return s.best[node]
	}
	return fitting
}

// isAllowed reports whether a range is one of the model's and fits into a node.
func (s *zoneSearch) isAllowed(node int, layers lentilmux.LayerRange) bool {
	return layers.First >= 0 && layers.Last < s.model.Layers && layers.Len() >= 1 && layers.Len() <= s.model.MaxLayers(s.nodes[node].Accelerator)
}
