package placement

import (
	"slices"
	"time"

	"lentilmux.example/lentilmux"
)

const (
	// groupSize is the number of upstreams of a zone that an evaluation assumes to
	// fail together.
	groupSize = 3
	// routedPaths is the number of paths into which an evaluation divides the
	// requests of a zone.
	routedPaths = 200
)

// Evaluation describes a placement: what each zone carries, and how far that is
// from the bounds.
type Evaluation struct {
	Zones []ZoneEvaluation
	// Carried is the sum of what the zones carry of their demand, each with its own
	// upstreams, in requests per second.
	Carried float64
	// Bound is the greatest rate in requests per second that any placement can have,
	// by the memory and the speed of all accelerators.
	Bound float64
	// FlowBound is the number of requests in flight that the given ranges can hold:
	// the maximum flow over the ranges and caches, with as many requests between the
	// zones as the links carry.
	FlowBound float64
}

// ZoneEvaluation describes the placement of one zone.
type ZoneEvaluation struct {
	RequestsPerSecond float64       // estimated greatest rate
	Bound             float64       // greatest rate in requests per second with any ranges
	InFlight          float64       // requests in flight at the greatest rate
	FlowBound         float64       // requests in flight by the maximum flow over the zone's ranges
	LeastCache        float64       // tokens of KV cache at the layer with the least
	MiddleCache       float64       // tokens of KV cache at the median layer
	TokenTime         time.Duration // of one token over all hops at the demand, with waiting
	Hops              float64       // mean number of hops of the routed paths
	MaxHops           int           // of the longest routed path
	Replaceable       float64       // fraction of the hops whose layers another upstream of the zone holds as well
	MaxUse            float64       // fraction of KV cache in use at the fullest upstream at the demand
	Routed            float64       // fraction of the demand for which the zone has room
	SingleRate        float64       // greatest rate after the loss of one upstream, mean of all
	GroupHit          float64       // fraction of the zone's streams that the loss of a group hits, mean of all groups
	WorstGroupHit     float64       // of the group with the greatest fraction
	GroupRate         float64       // greatest rate after the loss of a group, mean of all groups
	GroupGaps         float64       // fraction of the groups without which the zone lacks some layer
}

// Evaluate describes the given ranges under a demand in requests per second by
// zone. It considers each group of three upstreams of a zone, so it is meant for
// tests and tools and not for the control goroutine.
func Evaluate(model *lentilmux.ModelProfile, zones int, nodes []lentilmux.RangeNode, ranges []lentilmux.LayerRange, demand []float64) (e Evaluation) {
	for zone := range zones {
		members, held := zoneMembers(nodes, ranges, zone)
		z := evaluateZone(model, members, held, demand[zone])
		e.Zones = append(e.Zones, z)
		e.Carried += min(z.RequestsPerSecond, demand[zone])
	}
	e.Bound = rateBound(model, nodes)
	e.FlowBound = fleetFlowBound(model, nodes, ranges, e.Zones)
	return e
}

// zoneMembers returns the nodes and ranges of a zone.
func zoneMembers(nodes []lentilmux.RangeNode, ranges []lentilmux.LayerRange, zone int) (members []lentilmux.RangeNode, held []lentilmux.LayerRange) {
	for i, n := range nodes {
		if n.Zone == zone {
			members, held = append(members, n), append(held, ranges[i])
		}
	}
	return members, held
}

// evaluateZone describes the ranges of one zone under a demand in requests per
// second.
func evaluateZone(model *lentilmux.ModelProfile, nodes []lentilmux.RangeNode, ranges []lentilmux.LayerRange, demand float64) (e ZoneEvaluation) {
	rate := newPipelineRate(model, nodes)
	e.RequestsPerSecond, _ = rate.estimate(ranges)
	e.InFlight = rate.countRequests(ranges, noneLost)
	cache := slices.Sorted(slices.Values(rate.cache))
	e.LeastCache, e.MiddleCache = cache[0], cache[len(cache)/2]
	e.Bound = rateBound(model, nodes)
	e.FlowBound = flowBound(model, nodes, ranges)
	requests, tokenSeconds := rate.inFlightAt(ranges, demand)
	e.TokenTime = time.Duration(tokenSeconds * float64(time.Second))
	router := newPathRouter(model, nodes, ranges)
	routed := router.route(requests, routedPaths)
	paths := pathNodes(routed)
	e.Routed = float64(len(paths)) / routedPaths
	e.MaxUse = router.maxUse()
	for _, path := range paths {
		e.Hops += float64(len(path)) / float64(len(paths))
		e.MaxHops = max(e.MaxHops, len(path))
	}
	e.Replaceable = replaceableShare(ranges, routed)
	e.evaluateGroups(rate, ranges, paths)
	return e
}

// evaluateGroups sets the figures for the loss of each upstream and of each group
// of a zone.
func (e *ZoneEvaluation) evaluateGroups(rate *pipelineRate, ranges []lentilmux.LayerRange, paths [][]int) {
	groups, count := 0.0, len(ranges)
	without := slices.Clone(ranges)
	for a := range count {
		without[a] = lentilmux.LayerRange{Last: -1}
		left, _ := rate.estimate(without)
		without[a] = ranges[a]
		e.SingleRate += left / float64(count)
		for b := a + 1; b < count; b++ {
			for c := b + 1; c < count; c++ {
				for _, lost := range [groupSize]int{a, b, c} {
					without[lost] = lentilmux.LayerRange{Last: -1}
				}
				left, _ := rate.estimate(without)
				for _, lost := range [groupSize]int{a, b, c} {
					without[lost] = ranges[lost]
				}
				hit := hitShare(paths, a, b, c)
				e.GroupHit += hit
				e.WorstGroupHit = max(e.WorstGroupHit, hit)
				e.GroupRate += left
				if left <= 0 {
					e.GroupGaps++
				}
				groups++
			}
		}
	}
	groups = max(groups, 1)
	e.GroupHit, e.GroupRate, e.GroupGaps = e.GroupHit/groups, e.GroupRate/groups, e.GroupGaps/groups
}

// pathNodes returns the nodes of each path.
func pathNodes(routed [][]lentilmux.PathHop) (paths [][]int) {
	for _, hops := range routed {
		path := make([]int, len(hops))
		for i, hop := range hops {
			path[i] = hop.Node
		}
		paths = append(paths, path)
	}
	return paths
}

// replaceableShare returns the fraction of the hops whose layers a single other
// node holds. A stream whose hop fails needs no longer path then.
func replaceableShare(ranges []lentilmux.LayerRange, routed [][]lentilmux.PathHop) (share float64) {
	hops, replaceable := 0, 0
	for _, path := range routed {
		for _, hop := range path {
			hops++
			for i, held := range ranges {
				if i != hop.Node && held.First <= hop.Layers.First && hop.Layers.Last <= held.Last {
					replaceable++
					break
				}
			}
		}
	}
	return float64(replaceable) / float64(max(hops, 1))
}

// hitShare returns the fraction of the paths that contain one of the nodes.
func hitShare(paths [][]int, lost ...int) (share float64) {
	for _, path := range paths {
		if slices.ContainsFunc(path, func(node int) bool { return slices.Contains(lost, node) }) {
			share += 1 / float64(len(paths))
		}
	}
	return share
}
