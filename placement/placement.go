// Package placement implements the policies that spread a model's layers over
// engines of different speed and memory, and computes the maximum throughput of
// a placement.
//
// [Balanced] is the default policy for pipelines whose stages do not overlap;
// [Equal] is a baseline to compare it with. [ZoneSearch] gives each upstream
// a layer range of its own, so that every availability zone can run the model;
// [ZoneBalanced] is the greedy placement that its search begins with.
// [MaxThroughput] returns the maximum number of tokens per second that engines
// with given ranges can generate.
//
// The policies do no I/O. The package is named after the interface
// [lentilmux.Placement].
//
// # Usage
//
//	stages := placement.Balanced{}.Place(32, nodes)
//	bound := placement.MaxThroughput(32, placement.HeldRanges(stages, nodes))
//
//	ranges := placement.ZoneSearch{}.Place(model, zones, rangeNodes)
package placement

import (
	"sort"

	"lentilmux.example/lentilmux"
)

const (
	// maxStages bounds the number of stages of a placement.
	maxStages = 16
	// nearBestFraction is the fraction of the best throughput that a placement
	// with fewer stages has to reach to be preferred.
	nearBestFraction = 0.95
	// maxMoves bounds the rounds in which stage boundaries are moved.
	maxMoves = 64
)

// Balanced chooses the number of stages, their boundaries and their engines to
// maximize the throughput of the slowest stage. Among placements close to the
// best it takes the one with the fewest stages, since each stage adds a hop to
// every token.
type Balanced struct{}

// Place implements [lentilmux.Placement]. The search is a heuristic: it does
// not try all placements.
func (Balanced) Place(layers int, nodes []lentilmux.PlacementNode) (stages []lentilmux.PlacedStage) {
	sorted := sortedBySpeed(nodes)
	maxCount := min(len(nodes), layers, maxStages)
	var plans []plan
	var best float64
	for count := 1; count <= maxCount; count++ {
		p := improve(equalLengths(layers, count), sorted)
		plans = append(plans, p)
		best = max(best, p.throughput)
	}
	for _, p := range plans {
		if p.throughput > 0 && p.throughput >= nearBestFraction*best {
			return p.stages()
		}
	}
	return nil
}

// sortedBySpeed returns a copy of the nodes, the fastest first. Nodes of equal
// speed are sorted by name, so that every VM gets the same order.
func sortedBySpeed(nodes []lentilmux.PlacementNode) []lentilmux.PlacementNode {
	sorted := append([]lentilmux.PlacementNode(nil), nodes...)
	sort.Slice(sorted, func(i, j int) bool {
		if sorted[i].LayerStepsPerSecond != sorted[j].LayerStepsPerSecond {
			return sorted[i].LayerStepsPerSecond > sorted[j].LayerStepsPerSecond
		}
		return sorted[i].Upstream < sorted[j].Upstream
	})
	return sorted
}

// plan is a split of the layers into stages and an assignment of nodes to them.
type plan struct {
	lengths    []int      // layers of each stage
	upstreams  [][]string // of each stage
	throughput float64    // tokens per second of the slowest stage
	slowest    int        // index of the slowest stage
}

// improve moves layers from the slowest stage to others while that raises the
// throughput.
func improve(lengths []int, sorted []lentilmux.PlacementNode) plan {
	best := assign(lengths, sorted)
	for range maxMoves {
		improved := false
		for _, next := range neighbours(best) {
			if p := assign(next, sorted); p.throughput > best.throughput {
				best, improved = p, true
			}
		}
		if !improved {
			return best
		}
	}
	return best
}

// neighbours returns the splits that move one layer from the slowest stage to
// another stage.
func neighbours(p plan) [][]int {
	var splits [][]int
	if p.lengths[p.slowest] == 1 {
		return nil
	}
	for i := range p.lengths {
		if i == p.slowest {
			continue
		}
		next := append([]int(nil), p.lengths...)
		next[p.slowest]--
		next[i]++
		splits = append(splits, next)
	}
	return splits
}

// assign adds each node, in the given order, to the slowest stage whose layers
// fit into its memory. A node that fits into no stage is left out.
func assign(lengths []int, sorted []lentilmux.PlacementNode) plan {
	p := plan{lengths: lengths, upstreams: make([][]string, len(lengths))}
	speeds := make([]float64, len(lengths))
	for _, n := range sorted {
		to := -1
		for s, length := range lengths {
			if length <= n.MaxLayers && (to < 0 || speeds[s] < speeds[to]) {
				to = s
			}
		}
		if to < 0 {
			continue
		}
		speeds[to] += float64(n.LayerStepsPerSecond) / float64(lengths[to])
		p.upstreams[to] = append(p.upstreams[to], n.Upstream)
	}
	p.throughput = speeds[0]
	for s, speed := range speeds {
		if speed < p.throughput {
			p.throughput, p.slowest = speed, s
		}
	}
	return p
}

// stages converts the plan to the result of a placement.
func (p plan) stages() []lentilmux.PlacedStage {
	stages := make([]lentilmux.PlacedStage, len(p.lengths))
	first := 0
	for i, length := range p.lengths {
		stages[i] = lentilmux.PlacedStage{
			Layers:    lentilmux.LayerRange{First: first, Last: first + length - 1},
			Upstreams: p.upstreams[i],
		}
		first += length
	}
	return stages
}

// equalLengths splits the layers into count stages whose lengths differ by one
// at most.
func equalLengths(layers, count int) []int {
	lengths := make([]int, count)
	for i := range lengths {
		lengths[i] = layers / count
		if i < layers%count {
			lengths[i]++
		}
	}
	return lengths
}

// Equal splits the layers evenly into as few stages as the nodes' memory allows
// and assigns the nodes to the stages in turn, regardless of their speed. It is
// a baseline for comparison.
type Equal struct{}

// Place implements [lentilmux.Placement].
func (Equal) Place(layers int, nodes []lentilmux.PlacementNode) (stages []lentilmux.PlacedStage) {
	for count := 1; count <= min(len(nodes), layers, maxStages); count++ {
		p := plan{lengths: equalLengths(layers, count), upstreams: make([][]string, count)}
		for i, n := range nodes {
			if to := i % count; p.lengths[to] <= n.MaxLayers {
				p.upstreams[to] = append(p.upstreams[to], n.Upstream)
			}
		}
		if noneEmpty(p.upstreams) {
			return p.stages()
		}
	}
	return nil
}

// noneEmpty reports whether every stage has an upstream.
func noneEmpty(stages [][]string) bool {
	for _, upstreams := range stages {
		if len(upstreams) == 0 {
			return false
		}
	}
	return true
}
