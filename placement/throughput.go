package placement

import (
	"math"

	"lentilmux.example/lentilmux"
)

// HeldRange is an engine's range of layers and its rate in layer steps a second.
type HeldRange struct {
	Layers lentilmux.LayerRange
	Rate   int
}

// HeldRanges returns what the nodes of the stages would hold.
func HeldRanges(stages []lentilmux.PlacedStage, nodes []lentilmux.PlacementNode) (holds []HeldRange) {
	rates := make(map[string]int, len(nodes))
	for _, n := range nodes {
		rates[n.Upstream] = n.Rate
	}
	for _, s := range stages {
		for _, name := range s.Upstreams {
			holds = append(holds, HeldRange{Layers: s.Layers, Rate: rates[name]})
		}
	}
	return holds
}

// MaxThroughput returns the most tokens a second that the holds can make of a model.
// It is the maximum flow from the first layer to the end, where an engine is
// an edge over its range that carries its rate divided by the range's length.
func MaxThroughput(layers int, holds []HeldRange) (tokens float64) {
	capacity := make([][]float64, layers+1)
	for i := range capacity {
		capacity[i] = make([]float64, layers+1)
	}
	for _, h := range holds {
		if h.Layers.First < 0 || h.Layers.Last >= layers || h.Layers.Len() < 1 {
			continue
		}
		capacity[h.Layers.First][h.Layers.Last+1] += float64(h.Rate) / float64(h.Layers.Len())
	}
	for {
		path := shortestPath(capacity)
		if path == nil {
			return tokens
		}
		tokens += augment(capacity, path)
	}
}

// shortestPath returns the vertices from the first to the last with capacity
// left between them, found breadth first, or nil.
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

// augment sends what the path can take along it and returns the amount.
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
