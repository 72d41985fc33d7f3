package placement

import (
	"math"
	"slices"

	"lentilmux.example/lentilmux"
)

const (
	// hopSeconds is the time that a token is assumed to lose at each further hop
	// of a routed path: the delay of the network and the wait for the batch that
	// runs there, as the path selection of the entry VMs counts them.
	hopSeconds = 0.0017
	// maxRoutedUse and routedUseLimit treat full upstreams as the path selection of
	// the entry VMs does: none above the former, and costs divided by the latter
	// minus the fraction in use.
	maxRoutedUse   = 0.97
	routedUseLimit = 1.1
)

// pathRouter assigns paths to the requests of a zone, each time the one with the
// least time for a token. It stands in for the path selection of the entry VMs,
// without randomness and with exact knowledge of the load.
type pathRouter struct {
	model    *lentilmux.ModelProfile
	nodes    []lentilmux.RangeNode
	ranges   []lentilmux.LayerRange
	capacity []float64 // tokens times layers, by node
	used     []float64 // tokens times layers, by node
}

// newPathRouter returns a router over the nodes of a zone.
func newPathRouter(model *lentilmux.ModelProfile, nodes []lentilmux.RangeNode, ranges []lentilmux.LayerRange) *pathRouter {
	r := &pathRouter{model: model, nodes: nodes, ranges: ranges, capacity: make([]float64, len(nodes)), used: make([]float64, len(nodes))}
	for i, n := range nodes {
		r.capacity[i] = float64(model.CacheCapacity(n.Accelerator, ranges[i].Len()))
	}
	return r
}

// route divides requests into count paths and returns those for which there is
// room.
func (r *pathRouter) route(requests float64, count int) (paths [][]lentilmux.PathHop) {
	tokens := requests / float64(count) * (float64(r.model.TypicalPromptTokens) + float64(r.model.TypicalAnswerTokens)/2)
	for range count {
		if path := r.routeOne(tokens); path != nil {
			paths = append(paths, path)
		}
	}
	return paths
}

// routeOne returns the cheapest path for a request of the given tokens and
// occupies its cache. It returns nil if some layer has no room.
func (r *pathRouter) routeOne(tokens float64) (path []lentilmux.PathHop) {
	layers, count := r.model.Layers, len(r.nodes)
	costs := make([]float64, count) // seconds of the cheapest path that ends at a node
	from := make([]int, layers*count)
	layerCosts := make([]float64, count)
	for i := range r.nodes {
		layerCosts[i] = r.layerCost(i, tokens)
	}
	bestNode, bestCost := -1, 0.0 // of the previous layer
	for layer := range layers {
		nextNode, nextCost := -1, math.Inf(1)
		for i, held := range r.ranges {
			entry, previous := bestCost, bestNode
			if layer > 0 {
				entry += hopSeconds
			}
			if layer > held.First && costs[i] < entry {
				entry, previous = costs[i], i
			}
			costs[i] = math.Inf(1)
			if held.First <= layer && layer <= held.Last {
				costs[i] = entry + layerCosts[i]
			}
			from[layer*count+i] = previous
			if costs[i] < nextCost {
				nextNode, nextCost = i, costs[i]
			}
		}
		if nextNode < 0 {
			return nil
		}
		bestNode, bestCost = nextNode, nextCost
	}
	return r.occupy(from, bestNode, tokens)
}

// layerCost returns the seconds of a token at one layer of a node, or infinity
// without room for a request of the given tokens.
func (r *pathRouter) layerCost(node int, tokens float64) (seconds float64) {
	use := (r.used[node] + tokens*float64(r.ranges[node].Len())) / max(r.capacity[node], 1)
	if use > maxRoutedUse {
		return math.Inf(1)
	}
	return r.nodes[node].Accelerator.StepFactor * r.model.StepTime.Seconds() / float64(r.model.Layers) / (routedUseLimit - use)
}

// occupy follows a path back from its last node, occupies its cache, and
// returns its hops in order.
func (r *pathRouter) occupy(from []int, last int, tokens float64) (path []lentilmux.PathHop) {
	count := len(r.nodes)
	node := last
	for layer := r.model.Layers - 1; layer >= 0; layer-- {
		r.used[node] += tokens
		if len(path) == 0 || path[len(path)-1].Node != node {
			path = append(path, lentilmux.PathHop{Node: node, Layers: lentilmux.LayerRange{Last: layer}})
		}
		path[len(path)-1].Layers.First = layer
		node = from[layer*count+node]
	}
	slices.Reverse(path)
	return path
}

// maxUse returns the fraction of KV cache in use at the fullest node.
func (r *pathRouter) maxUse() (use float64) {
	for i, used := range r.used {
		use = max(use, used/max(r.capacity[i], 1))
	}
	return use
}
