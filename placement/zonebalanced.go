package placement

import (
	"math"
	"slices"

	"lentilmux.example/lentilmux"
)

const (
	// maxSegments bounds the number of segments of equal length into which a
	// model's layers are divided. Ranges begin and end at segment boundaries.
	maxSegments = 40
	// maxRounds bounds how often the range of each upstream is chosen.
	maxRounds = 6
	// assumedBatch is the number of requests that a step is assumed to run as
	// one batch.
	assumedBatch = 24
	// queueingFactor is the time of a token divided by the time of its steps. It
	// is above 1 since a token waits at each upstream for the batch already
	// running there.
	queueingFactor = 2.5
	// otherZonesShare is the fraction of a layer's capacity in other availability
	// zones that counts as capacity of a zone, since it can serve the zone's
	// requests if the zone has little of its own.
	otherZonesShare = 0.08
	// minCapacity, in requests per second, is added to every capacity to keep the
	// cost of a layer that no upstream holds finite.
	minCapacity = 0.02
	// lossWeight weighs the cost of a layer after the loss of its largest holder
	// against its cost with all holders.
	lossWeight = 0.15
)

// weights are the parameters of a greedy placement.
type weights struct {
	power     int     // how steeply the cost of a layer rises as its capacity falls
	residency float64 // multiplies the time for which a request is expected to occupy the KV cache
	loss      float64 // of a layer's cost after the loss of its largest holder
}

// defaultWeights are the weights of [ZoneBalanced].
var defaultWeights = weights{power: 1, residency: 1, loss: lossWeight}

// ZoneBalanced spreads layers to maximize, in every availability zone, the
// requests per second that the layer with the least capacity can serve.
// Capacity depends on both the memory and the speed of the upstreams. Each
// upstream in turn takes the range that lowers the summed cost of all layers
// most; a layer costs more the less capacity it has.
type ZoneBalanced struct{}

// coverage is the state of one placement: the capacity of each segment in each
// zone.
type coverage struct {
	model         *lentilmux.ModelProfile
	weights       weights
	zones         int
	segments      int
	segmentLayers int       // layers per segment
	capacity      []float64 // requests per second, by zone and segment
	totalCapacity []float64 // requests per second in all zones, by segment
	largest       []float64 // requests per second of the largest holder, by zone and segment
	holdings      []holding
}

// holding is a layer range that an upstream holds, with the capacity that it
// adds.
type holding struct {
	zone             int
	layers           lentilmux.LayerRange
	requestRate      float64 // requests per second
	firstSegmentRate float64 // requests per second of the first segment
}

// rateAt returns the requests per second that the holding adds to a segment.
func (h holding) rateAt(segment int) float64 {
	if segment == 0 {
		return h.firstSegmentRate
	}
	return h.requestRate
}

// Place implements [lentilmux.RangePlacement]. Pinned nodes keep their layers.
func (ZoneBalanced) Place(model *lentilmux.ModelProfile, zones int, nodes []lentilmux.RangeNode) (ranges []lentilmux.LayerRange) {
	order := make([]int, len(nodes))
	for i := range order {
		order[i] = i
	}
	return placeInOrder(model, zones, nodes, order, defaultWeights)
}

// placeInOrder lets the nodes choose their ranges in turn, until none changes its
// choice or maxRounds have passed. Pinned nodes keep their layers.
func placeInOrder(model *lentilmux.ModelProfile, zones int, nodes []lentilmux.RangeNode, order []int, w weights) (ranges []lentilmux.LayerRange) {
	c := newCoverage(model, zones, w)
	ranges = make([]lentilmux.LayerRange, len(nodes))
	placed := make([]bool, len(nodes))
	for i, n := range nodes {
		if n.Pinned {
			ranges[i], placed[i] = n.Layers, true
			c.add(n, n.Layers)
		}
	}
	for round := range maxRounds {
		changed := false
		for _, i := range order {
			n := nodes[i]
			if n.Pinned {
				continue
			}
			if placed[i] {
				c.remove(n, ranges[i])
			}
			best := c.bestRange(n)
			changed = changed || !placed[i] || best != ranges[i]
			ranges[i], placed[i] = best, true
			c.add(n, best)
		}
		if round > 0 && !changed {
			break
		}
	}
	return ranges
}

// newCoverage returns the state of a placement without any holdings.
func newCoverage(model *lentilmux.ModelProfile, zones int, w weights) *coverage {
	length := segmentLength(model)
	count := (model.Layers + length - 1) / length
	return &coverage{
		model: model, weights: w, zones: max(zones, 1), segments: count, segmentLayers: length,
		capacity: make([]float64, max(zones, 1)*count), largest: make([]float64, max(zones, 1)*count), totalCapacity: make([]float64, count),
	}
}

// segmentLength returns the number of layers of a segment.
func segmentLength(model *lentilmux.ModelProfile) (layers int) {
	return max(1, (model.Layers+maxSegments-1)/maxSegments)
}

// requestRate returns the requests per second that an accelerator can serve
// with a range of the given number of layers. It combines two limits: the time
// for prefill and decode, and the requests that fit into the KV cache.
func (c *coverage) requestRate(accelerator lentilmux.Accelerator, layers int) float64 {
	model := c.model
	share := float64(layers) / float64(model.Layers)
	answer, prompt := float64(model.TypicalAnswerTokens), float64(model.TypicalPromptTokens)
	context := (prompt + answer/2) / 1000
	step := accelerator.StepFactor * (model.StepTime.Seconds()/assumedBatch + model.StepTimePerStream.Seconds() + model.StepTimePerContext.Seconds()*context)
	work := share * (answer*step + accelerator.PrefillFactor*prompt/model.PrefillTokensPerSecond)
	bySpeed := 1 / math.Max(work, 1e-9)
	tokens := float64(model.CacheCapacity(accelerator, layers)) / float64(layers)
	byMemory := tokens / math.Max((prompt+answer/2)*c.weights.residency*c.residencySeconds(), 1e-9)
	return 1 / (1/bySpeed + 1/math.Max(byMemory, 1e-9))
}

// residencySeconds returns how long a request occupies the KV cache: the time
// of the decode steps of its answer on accelerators of typical speed.
func (c *coverage) residencySeconds() float64 {
	model := c.model
	return float64(model.TypicalAnswerTokens) * c.typicalStepFactor() * (model.StepTime.Seconds() + assumedBatch*model.StepTimePerStream.Seconds())
}

// newHolding returns the holding of a node with a range. The rate of the first
// segment is lower if the node has slots, since slots bound the requests that a
// node runs at once as the first hop of a path.
func (c *coverage) newHolding(n lentilmux.RangeNode, layers lentilmux.LayerRange) (h holding) {
	h = holding{zone: n.Zone, layers: layers, requestRate: c.requestRate(n.Accelerator, layers.Len())}
	h.firstSegmentRate = h.requestRate
	if n.Slots > 0 {
		h.firstSegmentRate = 1 / (1/h.requestRate + queueingFactor*c.residencySeconds()/float64(n.Slots))
	}
	return h
}

// typicalStepFactor returns the geometric mean of the step factors of the
// model's accelerators.
func (c *coverage) typicalStepFactor() float64 {
	if len(c.model.Accelerators) == 0 {
		return 1
	}
	product := 1.0
	for _, accelerator := range c.model.Accelerators {
		product *= math.Max(accelerator.StepFactor, 1e-3)
	}
	return math.Pow(product, 1/float64(len(c.model.Accelerators)))
}

// add adds the capacity of a node with the given range.
func (c *coverage) add(n lentilmux.RangeNode, layers lentilmux.LayerRange) {
	h := c.newHolding(n, layers)
	c.holdings = append(c.holdings, h)
	for segment := layers.First / c.segmentLayers; segment <= layers.Last/c.segmentLayers && segment < c.segments; segment++ {
		index := n.Zone*c.segments + segment
		c.capacity[index] += h.rateAt(segment)
		c.totalCapacity[segment] += h.rateAt(segment)
		c.largest[index] = math.Max(c.largest[index], h.rateAt(segment))
	}
}

// remove subtracts the capacity of a node that was added with the given range.
func (c *coverage) remove(n lentilmux.RangeNode, layers lentilmux.LayerRange) {
	removed := c.newHolding(n, layers)
	i := slices.Index(c.holdings, removed)
	c.holdings = slices.Delete(c.holdings, i, i+1)
	for segment := layers.First / c.segmentLayers; segment <= layers.Last/c.segmentLayers && segment < c.segments; segment++ {
		index := n.Zone*c.segments + segment
		c.capacity[index] -= removed.rateAt(segment)
		c.totalCapacity[segment] -= removed.rateAt(segment)
		c.largest[index] = 0
		for _, h := range c.holdings {
			if h.zone == n.Zone && h.layers.First/c.segmentLayers <= segment && segment <= h.layers.Last/c.segmentLayers {
				c.largest[index] = math.Max(c.largest[index], h.rateAt(segment))
			}
		}
	}
}

// cost returns the cost of a segment in a zone if a further holder added extra
// requests per second. The cost falls with the capacity of the segment, both
// with all holders and without the largest one.
func (c *coverage) cost(zone, segment int, extra float64) float64 {
	index := zone*c.segments + segment
	local := c.capacity[index]
	others := otherZonesShare*(c.totalCapacity[segment]-local) + minCapacity
	withoutLargest := local + extra - math.Max(c.largest[index], extra)
	return c.steepen(1/(local+extra+others)) + c.weights.loss*c.steepen(1/(withoutLargest+others))
}

// steepen raises a cost to the power of the weights.
func (c *coverage) steepen(cost float64) (steep float64) {
	steep = cost
	for range c.weights.power - 1 {
		steep *= cost
	}
	return steep
}

// bestRange returns the range that lowers the cost most if the node holds it.
// It tries all ranges of whole segments that fit into the node's memory, and
// slides each length over the layers so that every step adds one segment and
// removes another.
func (c *coverage) bestRange(n lentilmux.RangeNode) (best lentilmux.LayerRange) {
	bestReduction := math.Inf(-1)
	maxCount := min(c.model.MaxLayers(n.Accelerator)/c.segmentLayers, c.segments)
	for count := 1; count <= maxCount; count++ {
		h := c.newHolding(n, lentilmux.LayerRange{Last: count*c.segmentLayers - 1})
		reduction := 0.0
		for segment := range c.segments {
			reduction += c.costReduction(n.Zone, segment, h.rateAt(segment))
			if segment >= count {
				reduction -= c.costReduction(n.Zone, segment-count, h.rateAt(segment-count))
			}
			if segment < count-1 || reduction <= bestReduction {
				continue
			}
			bestReduction = reduction
			best = lentilmux.LayerRange{First: (segment - count + 1) * c.segmentLayers, Last: min((segment+1)*c.segmentLayers, c.model.Layers) - 1}
		}
	}
	return best
}

// costReduction returns how much the cost of a segment in a zone falls if a
// further holder adds rate requests per second.
func (c *coverage) costReduction(zone, segment int, rate float64) float64 {
	return c.cost(zone, segment, 0) - c.cost(zone, segment, rate)
}
