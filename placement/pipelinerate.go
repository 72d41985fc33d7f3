package placement

import (
	"math"

	"lentilmux.example/lentilmux"
)

// pipelineRate estimates the requests per second of a zone as [zoneRate] does, but
// counts in the batch of an upstream only the streams that are at it during a
// pass. With paths of ten hops, nine in ten streams of an upstream are elsewhere
// on their path at any time; counting them doubles the estimated time of a token.
type pipelineRate struct {
	*zoneRate
	hops    float64   // expected number of hops of a path
	from    []float64 // expected number of hops from a layer on
	batches []float64 // streams that decode in one pass, by node
}

// newPipelineRate returns an estimator for the upstreams of a zone.
func newPipelineRate(model *lentilmux.ModelProfile, nodes []lentilmux.RangeNode) *pipelineRate {
	return &pipelineRate{zoneRate: newZoneRate(model, nodes), from: make([]float64, model.Layers+1), batches: make([]float64, len(nodes))}
}

// estimate returns the greatest rate of the zone in requests per second, with the
// seconds of a token at that rate. The rate is zero if some layer is not held.
func (p *pipelineRate) estimate(ranges []lentilmux.LayerRange) (requestsPerSecond, tokenSeconds float64) {
	requests := p.countRequests(ranges, noneLost)
	if requests <= 0 {
		return 0, math.Inf(1)
	}
	p.countHops(ranges)
	rate := 0.0
	for range rateIterations {
		token, prefill := p.times(ranges, requests, rate)
		tokenSeconds = token
		rate = (rate + requests/(float64(p.model.TypicalAnswerTokens)*token+prefill)) / 2
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
	for i, n := range p.nodes {
		if p.shares[i] <= 0 {
			continue
		}
		layers := float64(ranges[i].Len()) / float64(model.Layers)
		reading := n.Accelerator.PrefillFactor * layers * prompt / model.PrefillTokensPerSecond
		free := 1 - min(rate*p.shares[i]*reading, maxPrefillShare)
		step := layers * n.Accelerator.StepFactor * (model.StepTime.Seconds() + p.batches[i]*perStream) / free
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
// the more cache the holder has and the more layers it runs from there.
func (p *pipelineRate) countHops(ranges []lentilmux.LayerRange) {
	p.from[p.model.Layers] = 0
	for layer := p.model.Layers - 1; layer >= 0; layer-- {
		weights, hops := 0.0, 0.0
		for i, held := range ranges {
			if held.First <= layer && layer <= held.Last && p.shares[i] > 0 {
				length := float64(held.Last + 1 - layer)
				weight := p.tokens[i] * length * length
				weights += weight
				hops += weight * p.from[held.Last+1]
			}
		}
		p.from[layer] = 1 + hops/max(weights, 1e-9)
	}
	p.hops = p.from[0]
}
