package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lentilmux.example/lentilmux"
)

const (
	// localDelay is the time that a token takes between two upstreams of one
	// availability zone.
	localDelay = 200 * time.Microsecond
	// passWait is how long a token waits at each further upstream for the pass
	// under way there.
	passWait = 1500 * time.Microsecond
	// pipeShare is the part of a pipe between availability zones that one
	// request may count on.
	pipeShare = 0.01
	// entryCost is what a first upstream in another availability zone adds, in
	// seconds of one request; only the request and its events cross.
	entryCost = 0.02
	// fillMost is how full an upstream's memory may get by what is expected
	// of its requests, before a path avoids it altogether.
	fillMost = 0.97
	// fillEdge sets how steeply memory that fills up makes a part dearer.
	fillEdge = 1.1
	// writtenPart is the part of an answer that counts as memory, since it
	// grows while the request runs.
	writtenPart = 0.75
	// waitingPart is the part of the prompts waiting elsewhere that counts. What
	// a VM knows of them is older than the time it takes to read them, so all of
	// it would send everybody from one zone to the other by turns.
	waitingPart = 0.25
	// streamWeight weighs the time that a request adds to each of those that
	// run already.
	streamWeight = 4
	// jitter varies costs so that VMs with the same knowledge do not all pick
	// the same path.
	jitter = 0.06
)

// CacheTokens returns the tokens for which a request needs memory in each layer.
func CacheTokens(prompt, answer int) int64 {
	return int64(prompt) + int64(writtenPart*float64(answer))
}

// CheapestPath picks the path that adds least to the time of all requests. It walks
// over the layers and keeps, for every upstream that holds the next ones, the
// cheapest way to get there. Its slices are kept between calls.
type CheapestPath struct {
	random *rand.Rand
	groups groups
	cuts   []int
	layer  []float64 // cost of a layer, by node; infinite if there is no room
	cost   []float64 // of the way to a node, by interval and node
	from   []int     // the node of the interval before, by interval and node
	open   []int     // nodes with room, the cheapest of each zone and range
	fill   []float64 // of a node's memory with the request
	vary   []float64 // factor of a zone's costs
	zones  []int     // cheapest node of each zone in the last interval
}

// NewCheapestPath returns a policy whose draws follow from seed.
func NewCheapestPath(seed uint64) *CheapestPath {
	return &CheapestPath{random: rand.New(rand.NewPCG(seed, seed))}
}

// Choose implements [lentilmux.PathSelector].
func (c *CheapestPath) Choose(ask lentilmux.PathRequest, nodes []lentilmux.PathNode, path []lentilmux.PathHop) (chosen []lentilmux.PathHop, pace lentilmux.PathEstimate, ok bool) {
	c.weigh(ask, nodes)
	last := c.walk(ask, nodes)
	if last < 0 {
		return path, pace, false
	}
	chosen = c.trace(nodes, path, last)
	pace = paceOf(ask, nodes, chosen[len(path):])
	for _, part := range chosen[len(path):] {
		pace.MaxMemoryUse = max(pace.MaxMemoryUse, c.fill[part.Node])
	}
	return chosen, pace, true
}

// weigh computes what a layer costs at each node, and the cuts between ranges.
func (c *CheapestPath) weigh(ask lentilmux.PathRequest, nodes []lentilmux.PathNode) {
	m := ask.Model
	need := CacheTokens(ask.PromptTokens, ask.AnswerTokens)
	context := float64(m.TypicalPromptTokens) + float64(m.TypicalAnswerTokens)/2
	perStream := m.StepTimePerStream.Seconds() + m.StepTimePerContext.Seconds()*context/1000
	c.layer, c.fill = c.layer[:0], c.fill[:0]
	c.cuts = append(c.cuts[:0], ask.Layers.First, ask.Layers.Last+1)
	c.open, c.vary = c.open[:0], c.vary[:0]
	c.groups.reset(len(nodes))
	for i := range nodes {
		n := &nodes[i]
		fill := math.Inf(1)
		if n.Capacity > 0 && n.StepFactor > 0 {
			fill = (float64(n.Reserved) + float64(need)*float64(min(n.Layers.Len(), ask.Layers.Len()))) / float64(n.Capacity)
		}
		c.fill = append(c.fill, fill)
		if fill > fillMost {
			c.layer = append(c.layer, math.Inf(1))
			continue
		}
		step := n.StepFactor * (m.StepTime.Seconds() + streamWeight*float64(n.Streams+1)*perStream)
		read := n.PrefillFactor * (float64(ask.PromptTokens) + waitingPart*float64(n.PendingPromptTokens)) / m.PrefillTokensPerSecond
		cost := (float64(ask.AnswerTokens)*step + read) / float64(m.Layers) / (fillEdge - fill)
		c.layer = append(c.layer, cost*c.varied(n.Zone)*(1+jitter*c.random.Float64()))
		c.admit(nodes, i)
	}
	for _, i := range c.open {
		for _, cut := range [2]int{nodes[i].Layers.First, nodes[i].Layers.Last + 1} {
			if cut > ask.Layers.First && cut <= ask.Layers.Last {
				c.cuts = append(c.cuts, cut)
			}
		}
	}
	slices.Sort(c.cuts)
	c.cuts = slices.Compact(c.cuts)
}

// varied returns the factor of a zone's costs for this request. VMs learn of one
// another's choices late, so zones share the requests by the inverse square of
// their costs instead of all going to the cheapest.
func (c *CheapestPath) varied(zone int) float64 {
	for zone >= len(c.vary) {
		c.vary = append(c.vary, math.Sqrt(c.random.ExpFloat64()))
	}
	return c.vary[zone]
}

// admit lists a node unless one of the same zone and range is cheaper. Nodes
// that may not be the first of a path are a group of their own.
func (c *CheapestPath) admit(nodes []lentilmux.PathNode, i int) {
	slot := c.groups.find(&nodes[i])
	if *slot < 0 {
		*slot = len(c.open)
		c.open = append(c.open, i)
		return
	}
	if c.layer[i] < c.layer[c.open[*slot]] {
		c.open[*slot] = i
	}
}

// walk fills the costs interval by interval and returns the cheapest node of
// the last one, or -1 if a layer is held by no node with room.
func (c *CheapestPath) walk(ask lentilmux.PathRequest, nodes []lentilmux.PathNode) (last int) {
	intervals := len(c.cuts) - 1
	size := intervals * len(nodes)
	c.cost = slices.Grow(c.cost[:0], size)[:size]
	c.from = slices.Grow(c.from[:0], size)[:size]
	c.zones = c.zones[:0]
	for i := range intervals {
		row := i * len(nodes)
		length := float64(c.cuts[i+1] - c.cuts[i])
		for _, node := range c.open {
			n := &nodes[node]
			c.cost[row+node] = math.Inf(1)
			if n.Layers.First > c.cuts[i] || n.Layers.Last < c.cuts[i+1]-1 {
				continue
			}
			before, from := c.enter(ask, nodes, i, node)
			c.cost[row+node] = before + length*c.layer[node]
			c.from[row+node] = from
		}
		if !c.settle(nodes, row) {
			return -1
		}
	}
	row := (intervals - 1) * len(nodes)
	last = -1
	for _, node := range c.zones {
		if node >= 0 && (last < 0 || c.cost[row+node] < c.cost[row+last]) {
			last = node
		}
	}
	return last
}

// enter returns the cheapest way to run an interval's first layer at a node,
// and the node of the interval before.
func (c *CheapestPath) enter(ask lentilmux.PathRequest, nodes []lentilmux.PathNode, interval, node int) (cost float64, from int) {
	if interval == 0 {
		if ask.HasPredecessor {
			return hopCost(ask, ask.SourceZone != nodes[node].Zone, ask.PromptTokens), -1
		}
		if nodes[node].Full {
			return math.Inf(1), -1
		}
		if ask.SourceZone != nodes[node].Zone {
			return entryCost, -1
		}
		return 0, -1
	}
	row := (interval - 1) * len(nodes)
	cost, from = math.Inf(1), -1
	if n := &nodes[node]; n.Layers.First < c.cuts[interval] {
		cost, from = c.cost[row+node], node
	}
	for _, other := range c.zones {
		if other < 0 || other == node || ask.SingleZone && nodes[other].Zone != nodes[node].Zone {
			continue
		}
		if by := c.cost[row+other] + hopCost(ask, nodes[other].Zone != nodes[node].Zone, ask.PromptTokens); by < cost {
			cost, from = by, other
		}
	}
	return cost, from
}

// settle notes the cheapest node of each zone. It returns false if no node can
// run the interval.
func (c *CheapestPath) settle(nodes []lentilmux.PathNode, row int) (found bool) {
	for i := range c.zones {
		c.zones[i] = -1
	}
	for _, node := range c.open {
		if math.IsInf(c.cost[row+node], 1) {
			continue
		}
		zone := nodes[node].Zone
		for zone >= len(c.zones) {
			c.zones = append(c.zones, -1)
		}
		if best := c.zones[zone]; best < 0 || c.cost[row+node] < c.cost[row+best] {
			c.zones[zone] = node
		}
		found = true
	}
	return found
}

// hopCost is what a change of upstream adds, in seconds of one request.
func hopCost(ask lentilmux.PathRequest, crossing bool, prompt int) float64 {
	if !crossing {
		return float64(ask.AnswerTokens) * (localDelay + passWait).Seconds()
	}
	delay := localDelay
	if len(ask.Model.ZoneDelays) > 0 {
		delay = ask.Model.ZoneDelays[0].Delay
	}
	cost := float64(ask.AnswerTokens) * (max(delay, localDelay) + passWait).Seconds()
	if ask.Model.ZoneLinkBitRate > 0 {
		cost += float64(prompt) * float64(ask.Model.ActivationBytes) * 8 / (ask.Model.ZoneLinkBitRate * pipeShare)
	}
	return cost
}

// trace appends the parts of the way that ends at the node last.
func (c *CheapestPath) trace(nodes []lentilmux.PathNode, path []lentilmux.PathHop, last int) []lentilmux.PathHop {
	start := len(path)
	node := last
	for i := len(c.cuts) - 2; i >= 0; i-- {
		layers := lentilmux.LayerRange{First: c.cuts[i], Last: c.cuts[i+1] - 1}
		if end := len(path) - 1; end >= start && path[end].Node == node {
			path[end].Layers.First = layers.First
		} else {
			path = append(path, lentilmux.PathHop{Node: node, Layers: layers})
		}
		node = c.from[i*len(nodes)+node]
	}
	slices.Reverse(path[start:])
	return path[:start+once(path[start:])]
}

// once keeps a path from coming back to a node that it has left: the node runs
// what lies between as well, which it holds since its layers are contiguous. It
// returns how many parts are left.
func once(path []lentilmux.PathHop) (count int) {
	for _, part := range path {
		for i := range count {
			if path[i].Node == part.Node {
				part.Layers.First = path[i].Layers.First
				count = i
				break
			}
		}
		path[count] = part
		count++
	}
	return count
}

// paceOf estimates how fast a path is.
func paceOf(ask lentilmux.PathRequest, nodes []lentilmux.PathNode, path []lentilmux.PathHop) (pace lentilmux.PathEstimate) {
	m := ask.Model
	var read, event float64 // seconds
	for i, part := range path {
		n := &nodes[part.Node]
		share := float64(part.Layers.Len()) / float64(m.Layers)
		read += share * n.PrefillFactor * float64(ask.PromptTokens+n.PendingPromptTokens) / m.PrefillTokensPerSecond
		event += share * n.StepFactor * float64(max(m.TokensPerEvent, 1)) * (m.StepTime.Seconds() + float64(n.Streams)*m.StepTimePerStream.Seconds())
		if i > 0 {
			read += float64(ask.PromptTokens) * float64(m.ActivationBytes) * 8 / max(m.ZoneLinkBitRate, 1) * crossed(nodes, path, i)
		}
		event += localDelay.Seconds() * float64(max(m.TokensPerEvent, 1))
	}
	pace.EventGap = time.Duration(event * float64(time.Second))
	pace.TimeToFirstEvent = time.Duration(read*float64(time.Second)) + pace.EventGap
	return pace
}

// crossed is 1 if a part of a path is in another zone than the one before.
func crossed(nodes []lentilmux.PathNode, path []lentilmux.PathHop, i int) float64 {
	if nodes[path[i].Node].Zone != nodes[path[i-1].Node].Zone {
		return 1
	}
	return 0
}
