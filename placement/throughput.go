package placement

import (
	"math"

	"lentilmux.example/lentilmux"
)

// HeldRange is the layer range that an engine holds and the engine's speed.
type HeldRange struct {
	Layers              lentilmux.LayerRange
	LayerStepsPerSecond int
}

// HeldRanges returns the layer ranges that the nodes hold under the given
// stages.
func HeldRanges(stages []lentilmux.PlacedStage, nodes []lentilmux.PlacementNode) (ranges []HeldRange) {
	layerStepsPerSecond := make(map[string]int, len(nodes))
	for _, n := range nodes {
		layerStepsPerSecond[n.Upstream] = n.LayerStepsPerSecond
	}
	for _, s := range stages {
		for _, name := range s.Upstreams {
			ranges = append(ranges, HeldRange{Layers: s.Layers, LayerStepsPerSecond: layerStepsPerSecond[name]})
		}
	}
	return ranges
}

// MaxThroughput returns the maximum number of tokens per second that engines
// with the given ranges can generate with a model of the given number of
// layers. It computes the maximum flow from the first layer to the last. An
// engine is an edge over its range; the capacity of the edge is the engine's
// layer steps per second divided by the length of the range.
func MaxThroughput(layers int, ranges []HeldRange) (tokens float64) {
	capacity := make([][]float64, layers+1)
	for i := range capacity {
		capacity[i] = make([]float64, layers+1)
	}
	for _, h := range ranges {
		if h.Layers.First < 0 || h.Layers.Last >= layers || h.Layers.Len() < 1 {
			continue
		}
		capacity[h.Layers.First][h.Layers.Last+1] += float64(h.LayerStepsPerSecond) / float64(h.Layers.Len())
	}
	for {
		path := shortestPath(capacity)
		if path == nil {
			return tokens
		}
		tokens += augment(capacity, path)
	}
}

// shortestPath returns the vertices of a shortest path with spare capacity from
// the first vertex to the last, found by breadth-first search, or nil if there
// is none.
func shortestPath(capacity [][]float64) []int {
	last := len(capacity) - 1
	from := make([]int, len(capacity))
	for i := range from {
		from[i] = -1
	}
	from[0] = 0
	queue := []int{0}
	for len(queue) > 0 && from[last] < 0 {
		v := queue[0]
		queue = queue[1:]
		for w, c := range capacity[v] {
			if c > 0 && from[w] < 0 {
				from[w] = v
				queue = append(queue, w)
			}
		}
	}
	if from[last] < 0 {
		return nil
	}
	path := []int{last}
	for v := last; v != 0; v = from[v] {
		path = append([]int{from[v]}, path...)
	}
	return path
}

// augment sends as much flow along the path as it can carry and returns the
// amount.
func augment(capacity [][]float64, path []int) float64 {
	flow := math.Inf(1)
	for i := 1; i < len(path); i++ {
		flow = min(flow, capacity[path[i-1]][path[i]])
	}
	for i := 1; i < len(path); i++ {
		capacity[path[i-1]][path[i]] -= flow
		capacity[path[i]][path[i-1]] += flow
	}
	return flow
}
