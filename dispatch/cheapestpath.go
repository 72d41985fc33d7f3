package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lentilmux.example/lentilmux"
)

const (
	// sameZoneDelay is the network delay of a token between two upstreams of
	// the same availability zone.
	sameZoneDelay = 200 * time.Microsecond
	// batchWait is how long a token waits at each hop after the first for the
	// batch already running there to finish.
	batchWait = 1500 * time.Microsecond
	// zoneLinkShare is the fraction of the bandwidth between two availability
	// zones that one request is assumed to get.
	zoneLinkShare = 0.01
	// crossZoneEntrySeconds is the cost of a first hop outside the entry VM's
	// availability zone. It is small since only the request and its events
	// cross zones there, not the activations.
	crossZoneEntrySeconds = 0.02
	// maxMemoryUse is the fraction of an upstream's KV cache that its requests
	// may be expected to fill. Paths avoid upstreams above it.
	maxMemoryUse = 1.0
	// maxOvercommit is added to maxMemoryUse at an upstream with overcommitStreams
	// requests or more, and in proportion at one with fewer: what is reserved for
	// many requests exceeds what they hold by a tenth, while few that end late
	// together would fill it.
	maxOvercommit     = 0.08
	overcommitStreams = 60
	// memoryUseLimit sets how steeply the cost of an upstream rises as its KV
	// cache fills: costs are divided by this limit minus the fraction in use.
	memoryUseLimit = 1.15
	// answerCacheFraction is the fraction of the completion tokens that counts
	// as KV cache in use. It is below 1 since a completion grows while the
	// request runs.
	answerCacheFraction = 0.75
	// pendingPrefillFraction is the fraction of an upstream's pending prompt
	// tokens that counts. Load digests are older than the time that prefill
	// takes, so counting all pending tokens would make every VM switch back and
	// forth between the same zones.
	pendingPrefillFraction = 0.25
	// streamWeight weighs the time that a request adds to each step of the
	// requests already running at an upstream.
	streamWeight = 4
	// costJitter is the largest relative increase that is drawn at random for a
	// cost. It keeps VMs with the same load data from all picking the same path.
	costJitter = 0.06
)

// CacheTokens returns the number of tokens that a request is expected to hold
// in the KV cache of each layer, given the tokens of its prompt and of its
// answer.
func CacheTokens(prompt, answer int) int64 {
	return int64(prompt) + int64(answerCacheFraction*float64(answer))
}

// CheapestPath implements [lentilmux.PathSelector]. It picks the path that adds
// the least time to all requests, by dynamic programming: it splits the layers
// into intervals at the range boundaries of the upstreams and computes,
// interval by interval, the cheapest path that ends at each upstream holding
// that interval.
//
// It reuses its slices between calls, so it must not be used concurrently.
type CheapestPath struct {
	random       *rand.Rand
	groups       groupTable
	boundaries   []int     // first layers of the intervals, and the layer after the last
	layerCosts   []float64 // seconds for one layer, by node; infinite without room in the KV cache
	pathCosts    []float64 // seconds of the cheapest path that ends at a node, by interval and node
	predecessors []int     // node that runs the previous interval, by interval and node; -1 for none
	candidates   []int     // nodes with room, the cheapest of each group
	memoryUse    []float64 // fraction of a node's KV cache in use, including the request
	zoneFactors  []float64 // random factor of the costs in each zone
	zoneBest     []int     // cheapest node of each zone in the latest interval; -1 for none
}

// NewCheapestPath returns a policy whose random numbers are derived from seed.
func NewCheapestPath(seed uint64) *CheapestPath {
	return &CheapestPath{random: rand.New(rand.NewPCG(seed, seed))}
}

// Choose implements [lentilmux.PathSelector]. It returns false if some layer of
// the request has no upstream with room.
func (c *CheapestPath) Choose(request lentilmux.PathRequest, nodes []lentilmux.PathNode, path []lentilmux.PathHop) (chosen []lentilmux.PathHop, estimate lentilmux.PathEstimate, ok bool) {
	c.computeLayerCosts(request, nodes)
	last := c.computePathCosts(request, nodes)
	if last < 0 {
		return path, estimate, false
	}
	chosen = c.appendHops(nodes, path, last)
	estimate = estimatePath(request, nodes, chosen[len(path):])
	for _, hop := range chosen[len(path):] {
		estimate.MaxMemoryUse = max(estimate.MaxMemoryUse, c.memoryUse[hop.Node])
	}
	return chosen, estimate, true
}

// computeLayerCosts sets the cost of one layer at each node, the candidates,
// and the boundaries of the intervals.
func (c *CheapestPath) computeLayerCosts(request lentilmux.PathRequest, nodes []lentilmux.PathNode) {
	model := request.Model
	cacheTokens := CacheTokens(request.PromptTokens, request.AnswerTokens)
	context := float64(model.TypicalPromptTokens) + float64(model.TypicalAnswerTokens)/2
	perStream := model.StepTimePerStream.Seconds() + model.StepTimePerContext.Seconds()*context/1000
	c.layerCosts, c.memoryUse = c.layerCosts[:0], c.memoryUse[:0]
	c.boundaries = append(c.boundaries[:0], request.Layers.First, request.Layers.Last+1)
	c.candidates, c.zoneFactors = c.candidates[:0], c.zoneFactors[:0]
	c.groups.reset(len(nodes))
	for i := range nodes {
		node := &nodes[i]
		use := math.Inf(1)
		if node.Capacity > 0 && node.StepFactor > 0 {
			use = (float64(node.Reserved) + cacheOf(node, request, cacheTokens)) / float64(node.Capacity)
		}
		c.memoryUse = append(c.memoryUse, use)
		step := node.StepFactor * (model.StepTime.Seconds() + streamWeight*float64(node.Streams+1)*perStream)
		prefill := node.PrefillFactor * (float64(request.PromptTokens) + pendingPrefillFraction*float64(node.PendingPromptTokens)) / model.PrefillTokensPerSecond
		unseen := request.UnseenRequests * cacheOf(node, request, cacheTokens) / float64(max(node.Capacity, 1))
		cost := (float64(request.AnswerTokens)*step + prefill) / float64(model.Layers) / memoryHeadroom(use+unseen) * learnedFactor(node)
		if use > memoryUseBound(node) || !isFinite(cost) {
			c.layerCosts = append(c.layerCosts, math.Inf(1))
			continue
		}
		c.layerCosts = append(c.layerCosts, cost*c.zoneFactor(node.Zone)*c.costFactor(request))
		c.addCandidate(nodes, i)
	}
	for _, i := range c.candidates {
		for _, boundary := range [2]int{nodes[i].Layers.First, nodes[i].Layers.Last + 1} {
			if boundary > request.Layers.First && boundary <= request.Layers.Last {
				c.boundaries = append(c.boundaries, boundary)
			}
		}
	}
	slices.Sort(c.boundaries)
	c.boundaries = slices.Compact(c.boundaries)
}

// cacheOf returns the KV cache that a request is expected to hold at a node, in tokens
// times layers, if it uses all layers of the node that it can.
func cacheOf(node *lentilmux.PathNode, request lentilmux.PathRequest, cacheTokens int64) float64 {
	return float64(cacheTokens) * float64(min(node.Layers.Len(), request.Layers.Len()))
}

// memoryHeadroom returns the divisor of a node's cost, which falls as the KV cache
// fills. It stays positive beyond a full cache: requests that the loads do not show
// make a node expensive, but do not exclude it, since in a burst they would exclude
// all.
func memoryHeadroom(use float64) (headroom float64) {
	if use <= 1 {
		return memoryUseLimit - use
	}
	return (memoryUseLimit - 1) / (use * use)
}

// memoryUseBound returns the fraction of a node's KV cache that may be expected to be
// in use with a request.
func memoryUseBound(node *lentilmux.PathNode) (use float64) {
	return maxMemoryUse + maxOvercommit*min(float64(node.Streams)/overcommitStreams, 1)
}

// isFinite reports whether a cost can be added and compared. A node with another
// one, which takes an impossible speed or load, runs nothing.
func isFinite(cost float64) bool { return cost >= 0 && cost < math.MaxFloat64/math.MaxInt32 }

// zoneFactor returns the random factor of a zone's costs for this request. VMs
// learn late of each other's choices. The factor therefore spreads requests
// over zones in proportion to the inverse square of their costs, rather than
// sending all of them to the cheapest zone.
func (c *CheapestPath) zoneFactor(zone int) float64 {
	for zone >= len(c.zoneFactors) {
		c.zoneFactors = append(c.zoneFactors, math.Sqrt(c.random.ExpFloat64()))
	}
	return c.zoneFactors[zone]
}

// costFactor returns the random factor of a node's cost. A part of a path is replaced
// when an upstream has crashed, and all VMs do that within some milliseconds: the
// factor then spreads their requests over the nodes in inverse proportion to their
// costs, so that the lost layers are computed by all that hold them.
func (c *CheapestPath) costFactor(request lentilmux.PathRequest) (factor float64) {
	if request.HasPredecessor {
		return c.random.ExpFloat64()
	}
	return 1 + costJitter*c.random.Float64()
}

// addCandidate makes a node a candidate unless its group has a cheaper one. A
// group is formed by zone and layer range; nodes that cannot be the first hop
// are grouped separately.
func (c *CheapestPath) addCandidate(nodes []lentilmux.PathNode, i int) {
	group := c.groups.find(&nodes[i])
	if *group < 0 {
		*group = len(c.candidates)
		c.candidates = append(c.candidates, i)
		return
	}
	if c.layerCosts[i] < c.layerCosts[c.candidates[*group]] {
		c.candidates[*group] = i
	}
}

// computePathCosts fills pathCosts and predecessors interval by interval. It
// returns the cheapest node of the last interval, or -1 if some layer is held by
// no node with room.
func (c *CheapestPath) computePathCosts(request lentilmux.PathRequest, nodes []lentilmux.PathNode) (last int) {
	intervals := len(c.boundaries) - 1
	size := intervals * len(nodes)
	c.pathCosts = slices.Grow(c.pathCosts[:0], size)[:size]
	c.predecessors = slices.Grow(c.predecessors[:0], size)[:size]
	c.zoneBest = c.zoneBest[:0]
	for i := range intervals {
		row := i * len(nodes)
		length := float64(c.boundaries[i+1] - c.boundaries[i])
		for _, node := range c.candidates {
			n := &nodes[node]
			c.pathCosts[row+node] = math.Inf(1)
			if n.Layers.First > c.boundaries[i] || n.Layers.Last < c.boundaries[i+1]-1 {
				continue
			}
			entryCost, from := c.cheapestPredecessor(request, nodes, i, node)
			c.pathCosts[row+node] = entryCost + length*c.layerCosts[node]
			c.predecessors[row+node] = from
		}
		if !c.recordZoneBest(nodes, row) {
			return -1
		}
	}
	row := (intervals - 1) * len(nodes)
	last = -1
	for _, node := range c.zoneBest {
		if node >= 0 && (last < 0 || c.pathCosts[row+node] < c.pathCosts[row+last]) {
			last = node
		}
	}
	return last
}

// cheapestPredecessor returns the node that should run the previous interval if
// the given node runs this one, and the cost of the path up to this interval.
// The node is -1 for the first interval.
func (c *CheapestPath) cheapestPredecessor(request lentilmux.PathRequest, nodes []lentilmux.PathNode, interval, node int) (cost float64, from int) {
	if interval == 0 {
		if request.HasPredecessor {
			if request.SingleZone && request.SourceZone != nodes[node].Zone {
				return math.Inf(1), -1
			}
			return hopCost(request, request.SourceZone != nodes[node].Zone, request.PromptTokens), -1
		}
		if nodes[node].Full {
			return math.Inf(1), -1
		}
		if request.SourceZone != nodes[node].Zone {
			return crossZoneEntrySeconds, -1
		}
		return 0, -1
	}
	row := (interval - 1) * len(nodes)
	cost, from = math.Inf(1), -1
	if n := &nodes[node]; n.Layers.First < c.boundaries[interval] {
		cost, from = c.pathCosts[row+node], node
	}
	for _, other := range c.zoneBest {
		if other < 0 || other == node || request.SingleZone && nodes[other].Zone != nodes[node].Zone {
			continue
		}
		if viaOther := c.pathCosts[row+other] + hopCost(request, nodes[other].Zone != nodes[node].Zone, request.PromptTokens); viaOther < cost {
			cost, from = viaOther, other
		}
	}
	return cost, from
}

// recordZoneBest sets the cheapest node of each zone for the interval that
// begins at row. It returns false if no node can run the interval.
func (c *CheapestPath) recordZoneBest(nodes []lentilmux.PathNode, row int) (found bool) {
	for i := range c.zoneBest {
		c.zoneBest[i] = -1
	}
	for _, node := range c.candidates {
		if math.IsInf(c.pathCosts[row+node], 1) {
			continue
		}
		zone := nodes[node].Zone
		for zone >= len(c.zoneBest) {
			c.zoneBest = append(c.zoneBest, -1)
		}
		if best := c.zoneBest[zone]; best < 0 || c.pathCosts[row+node] < c.pathCosts[row+best] {
			c.zoneBest[zone] = node
		}
		found = true
	}
	return found
}

// hopCost returns the seconds that a further hop adds to a request: the delay
// of each token and, across zones, the transfer of the prompt's activations. The
// delay of the first pair in ZoneDelays stands for all pairs of zones.
func hopCost(request lentilmux.PathRequest, crossesZones bool, promptTokens int) float64 {
	if !crossesZones {
		return float64(request.AnswerTokens) * (sameZoneDelay + batchWait).Seconds()
	}
	delay := sameZoneDelay
	if len(request.Model.ZoneDelays) > 0 {
		delay = request.Model.ZoneDelays[0].Delay
	}
	cost := float64(request.AnswerTokens) * (max(delay, sameZoneDelay) + batchWait).Seconds()
	if request.Model.ZoneLinkBitRate > 0 {
		cost += float64(promptTokens) * float64(request.Model.ActivationBytes) * 8 / (request.Model.ZoneLinkBitRate * zoneLinkShare)
	}
	return cost
}

// appendHops appends the hops of the cheapest path that ends at the node last.
func (c *CheapestPath) appendHops(nodes []lentilmux.PathNode, path []lentilmux.PathHop, last int) []lentilmux.PathHop {
	start := len(path)
	node := last
	for i := len(c.boundaries) - 2; i >= 0; i-- {
		layers := lentilmux.LayerRange{First: c.boundaries[i], Last: c.boundaries[i+1] - 1}
		if prev := len(path) - 1; prev >= start && path[prev].Node == node {
			path[prev].Layers.First = layers.First
		} else {
			path = append(path, lentilmux.PathHop{Node: node, Layers: layers})
		}
		node = c.predecessors[i*len(nodes)+node]
	}
	slices.Reverse(path[start:])
	return path[:start+removeRevisits(path[start:])]
}

// removeRevisits keeps a path from returning to a node that it has left. The
// node runs the layers in between as well; it holds them since its range is
// contiguous. It returns the number of remaining hops.
func removeRevisits(path []lentilmux.PathHop) (count int) {
	for _, hop := range path {
		for i := range count {
			if path[i].Node == hop.Node {
				hop.Layers.First = path[i].Layers.First
				count = i
				break
			}
		}
		path[count] = hop
		count++
	}
	return count
}

// estimatePath estimates the time to the first event and the gap between
// events.
func estimatePath(request lentilmux.PathRequest, nodes []lentilmux.PathNode, path []lentilmux.PathHop) (estimate lentilmux.PathEstimate) {
	model := request.Model
	var prefill, eventGap float64 // seconds
	for i, hop := range path {
		node := &nodes[hop.Node]
		share := float64(hop.Layers.Len()) / float64(model.Layers)
		prefill += share * node.PrefillFactor * float64(request.PromptTokens+node.PendingPromptTokens) / model.PrefillTokensPerSecond
		eventGap += share * node.StepFactor * float64(max(model.TokensPerEvent, 1)) * (model.StepTime.Seconds() + float64(node.Streams)*model.StepTimePerStream.Seconds())
		if i > 0 {
			prefill += float64(request.PromptTokens) * float64(model.ActivationBytes) * 8 / max(model.ZoneLinkBitRate, 1) * zoneCrossings(nodes, path, i)
		}
		eventGap += sameZoneDelay.Seconds() * float64(max(model.TokensPerEvent, 1))
	}
	estimate.EventGap = time.Duration(eventGap * float64(time.Second))
	estimate.TimeToFirstEvent = time.Duration(prefill*float64(time.Second)) + estimate.EventGap
	return estimate
}

// zoneCrossings returns 1 if hop i is in another zone than the previous hop,
// else 0.
func zoneCrossings(nodes []lentilmux.PathNode, path []lentilmux.PathHop, i int) float64 {
	if nodes[path[i].Node].Zone != nodes[path[i-1].Node].Zone {
		return 1
	}
	return 0
}
