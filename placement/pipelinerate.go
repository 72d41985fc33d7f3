package placement

import (
	"math"

	"lentilmux.example/lentilmux"
)

// pipelineIterations is the number of iterations to the rate at which the requests
// in flight just fill the KV cache. Ten change the rate by less than 0.5% more.
const pipelineIterations = 5

// pipelineRate estimates the requests per second of a zone as [zoneRate] does, but
// counts in the batch of an upstream only the streams that are at it during a
// pass. With paths of ten hops, nine in ten streams of an upstream are elsewhere
// on their path at any time; counting them doubles the estimated time of a token.
type pipelineRate struct {
	*zoneRate
	hops       float64   // expected number of hops of a path
	from       []float64 // expected number of hops from a layer on
	weights    []float64 // sum of the weights of a layer's holders
	endingAt   []int     // first of the nodes whose range ends before a layer
	nextEnding []int     // next node whose range ends at the same layer
	batches    []float64 // streams that decode in one pass, by node
}

// newPipelineRate returns an estimator for the upstreams of a zone.
func newPipelineRate(model *lentilmux.ModelProfile, nodes []lentilmux.RangeNode) *pipelineRate {
	return &pipelineRate{
		zoneRate: newZoneRate(model, nodes), batches: make([]float64, len(nodes)), nextEnding: make([]int, len(nodes)),
		from: make([]float64, model.Layers+1), weights: make([]float64, model.Layers+1), endingAt: make([]int, model.Layers+1),
	}
}

// estimate returns the greatest rate of the zone in requests per second, with the
// seconds of a token at that rate. The rate is zero if some layer is not held.
func (p *pipelineRate) estimate(ranges []lentilmux.LayerRange) (requestsPerSecond, tokenSeconds float64) {
	requests := p.countRequests(ranges, noneLost)
	if requests <= 0 {
		return 0, math.Inf(1)
	}
	p.countHops(ranges)
	clear(p.batches)
	rate := 0.0
	for iteration := range pipelineIterations {
		token, prefill := p.times(ranges, requests, rate)
		next := requests / (float64(p.model.TypicalAnswerTokens)*token + prefill)
		if iteration > 0 {
			next = (rate + next) / 2
		}
		rate, tokenSeconds = next, token
	}
	return rate, tokenSeconds
}

// inFlightAt returns how many requests are in flight at a rate in requests per
// second, at most as many as fit, and the seconds of a token.
func (p *pipelineRate) inFlightAt(ranges []lentilmux.LayerRange, rate float64) (requests, tokenSeconds float64) {
	capacity := p.countRequests(ranges, noneLost)
	if capacity <= 0 {
		return 0, math.Inf(1)
	}
	p.countHops(ranges)
	clear(p.batches)
	for range 2 * rateIterations {
		token, prefill := p.times(ranges, requests, rate)
		tokenSeconds = token
		requests = min((requests+rate*(float64(p.model.TypicalAnswerTokens)*token+prefill))/2, capacity)
	}
	return requests, tokenSeconds
}

// times returns the seconds of a token over all hops, with waiting, and of the
// prefill of a prompt, with the given requests in flight and requests per second.
// It needs the shares of the nodes that countRequests sets. The batches are those
// of the previous call, so repeated calls converge.
func (p *pipelineRate) times(ranges []lentilmux.LayerRange, requests, rate float64) (token, prefill float64) {
	model := p.model
	prompt := float64(model.TypicalPromptTokens)
	perStream := model.StepTimePerStream.Seconds() + model.StepTimePerContext.Seconds()*(prompt+float64(model.TypicalAnswerTokens)/2)/1000
	token = p.hops * sameZoneHop.Seconds()
	stepSeconds, readSeconds := model.StepTime.Seconds(), prompt/model.PrefillTokensPerSecond
	for i := range p.nodes {
		if p.shares[i] <= 0 {
			continue
		}
		accelerator := &p.nodes[i].Accelerator
		layers := float64(ranges[i].Len()) / float64(model.Layers)
		reading := accelerator.PrefillFactor * layers * readSeconds
		free := 1 - min(rate*p.shares[i]*reading, maxPrefillShare)
		step := layers * accelerator.StepFactor * (stepSeconds + p.batches[i]*perStream) / free
		p.batches[i] = step // divided by the time of a token below
		token += p.shares[i] * (1 + passWaitFraction) * step
		prefill += p.shares[i] * reading / free
	}
	for i := range p.batches {
		p.batches[i] *= requests * p.shares[i] / token
	}
	return token, prefill
}

// countHops sets the expected number of hops of a path from each layer on. At the
// end of a range a stream goes to a holder of the next layer, the more probably
// the more cache the holder has and the more layers it runs from there. From the
// last layer down, each range adds to its layers once the hops after its end are
// known.
func (p *pipelineRate) countHops(ranges []lentilmux.LayerRange) {
	clear(p.from)
	clear(p.weights)
	for end := range p.endingAt {
		p.endingAt[end] = noNode
	}
	for i, held := range ranges {
		if p.shares[i] > 0 {
			p.nextEnding[i], p.endingAt[held.Last+1] = p.endingAt[held.Last+1], i
		}
	}
	for layer := p.model.Layers; layer >= 0; layer-- {
		if layer < p.model.Layers {
			p.from[layer] = 1 + p.from[layer]/max(p.weights[layer], 1e-9)
		}
		for i := p.endingAt[layer]; i != noNode; i = p.nextEnding[i] {
			length := 1.0
			for held := layer - 1; held >= ranges[i].First; held-- {
				weight := p.tokens[i] * length * length
				p.weights[held] += weight
				p.from[held] += weight * p.from[layer]
				length++
			}
		}
	}
	p.hops = p.from[0]
}

// noNode ends a list of node indexes.
const noNode = -1
