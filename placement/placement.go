// Package placement holds the policies that spread a model's layers over
// unlike engines, and the bound on what a placement can carry.
//
// [Balanced] is the one in use; [Equal] is a baseline to compare it with.
// [MaxThroughput] gives the most tokens a second that engines with given ranges can
// make.
//
// The package speaks to no peer; it is named for the policy it implements.
//
// # Usage
//
//	stages := placement.Balanced{}.Place(32, nodes)
//	bound := placement.Bound(32, placement.Holds(stages, nodes))
package placement

import (
	"sort"

	"lentilmux.example/lentilmux"
)

const (
	// stagesMost bounds the stages that are tried.
	stagesMost = 16
	// closeEnough is the part of the best throughput for which a placement
	// with fewer stages is taken.
	closeEnough = 0.95
	// movesMost bounds the search over stage boundaries.
	movesMost = 64
)

// Balanced chooses the number of stages, their boundaries and their engines so
// that the slowest stage is as fast as it can make it. Among placements that
// are close to the best it takes the one with the fewest stages, since each
// stage costs a hop for every token.
type Balanced struct{}

// Place implements [lentilmux.Placement].
func (Balanced) Place(layers int, nodes []lentilmux.PlacementNode) (stages []lentilmux.PlacedStage) {
	sorted := byRate(nodes)
	most := min(len(nodes), layers, stagesMost)
	var plans []plan
	var best float64
	for count := 1; count <= most; count++ {
		p := search(equalLengths(layers, count), sorted)
		plans = append(plans, p)
		best = max(best, p.throughput)
	}
	for _, p := range plans {
		if p.throughput > 0 && p.throughput >= closeEnough*best {
			return p.stages()
		}
	}
	return nil
}

// byRate returns the nodes, the fastest first and equal ones by name.
func byRate(nodes []lentilmux.PlacementNode) []lentilmux.PlacementNode {
	sorted := append([]lentilmux.PlacementNode(nil), nodes...)
	sort.Slice(sorted, func(i, j int) bool {
		if sorted[i].Rate != sorted[j].Rate {
			return sorted[i].Rate > sorted[j].Rate
		}
		return sorted[i].Upstream < sorted[j].Upstream
	})
	return sorted
}

// plan is one way to split the layers and to share the nodes out.
type plan struct {
	lengths    []int
	members    [][]string
	throughput float64 // tokens a second of the slowest stage
	slowest    int
}

// search moves layers away from the slowest stage while that helps.
func search(lengths []int, sorted []lentilmux.PlacementNode) plan {
	best := assign(lengths, sorted)
	for range movesMost {
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

// neighbours returns the splits in which the slowest stage gives one layer to
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

// assign gives each node, the fastest first, to the slowest stage that it can
// hold.
func assign(lengths []int, sorted []lentilmux.PlacementNode) plan {
	p := plan{lengths: lengths, members: make([][]string, len(lengths))}
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
		speeds[to] += float64(n.Rate) / float64(lengths[to])
		p.members[to] = append(p.members[to], n.Upstream)
	}
	p.throughput = speeds[0]
	for s, speed := range speeds {
		if speed < p.throughput {
			p.throughput, p.slowest = speed, s
		}
	}
	return p
}

func (p plan) stages() []lentilmux.PlacedStage {
	stages := make([]lentilmux.PlacedStage, len(p.lengths))
	first := 0
	for i, length := range p.lengths {
		stages[i] = lentilmux.PlacedStage{
			Layers:    lentilmux.LayerRange{First: first, Last: first + length - 1},
			Upstreams: p.members[i],
		}
		first += length
	}
	return stages
}

// equalLengths splits layers into count parts that differ by one at most.
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

// Equal splits the layers evenly into as few stages as fit and deals the nodes
// out in turn, whatever their rates. It is a baseline.
type Equal struct{}

// Place implements [lentilmux.Placement].
func (Equal) Place(layers int, nodes []lentilmux.PlacementNode) (stages []lentilmux.PlacedStage) {
	for count := 1; count <= min(len(nodes), layers, stagesMost); count++ {
		p := plan{lengths: equalLengths(layers, count), members: make([][]string, count)}
		for i, n := range nodes {
			if to := i % count; p.lengths[to] <= n.MaxLayers {
				p.members[to] = append(p.members[to], n.Upstream)
			}
		}
		if filled(p.members) {
			return p.stages()
		}
	}
	return nil
}

func filled(members [][]string) bool {
	for _, m := range members {
		if len(m) == 0 {
			return false
		}
	}
	return true
}
