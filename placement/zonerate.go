package placement

import (
	"math"
	"time"

	"lentilmux.example/lentilmux"
)

const (
	// sameZoneHop is the network delay of a token between two upstreams of one
	// availability zone.
	sameZoneHop = 200 * time.Microsecond
	// usableCacheFraction is the fraction of the KV cache that requests can fill
	// before some of them find no room.
	usableCacheFraction = 0.95
	// usableSlotFraction is the fraction of the slots of the first hops that requests
	// can fill before some of them queue: VMs learn late of each other's choices,
	// and a loss of one first hop sends its requests to the others.
	usableSlotFraction = 0.5
	// passWaitFraction is how long a token waits at an upstream for the pass in
	// progress, as a fraction of the duration of a pass.
	passWaitFraction = 0.5
	// maxPrefillShare bounds the fraction of an upstream's time that prefill is
	// assumed to take.
	maxPrefillShare = 0.95
	// rateIterations is the number of iterations to the request rate at which the
	// requests in flight just fill the KV cache.
	rateIterations = 6
)

// zoneRate estimates the requests per second that the upstreams of one
// availability zone can serve with given layer ranges. The layer with the least
// KV cache bounds the requests in flight; the time of a token over all layers
// and the time that prefill takes away say how long each of them stays.
type zoneRate struct {
	model  *lentilmux.ModelProfile
	nodes  []lentilmux.RangeNode // of the zone
	tokens []float64             // KV cache of each node, in tokens
	cache  []float64             // KV cache of each layer, in tokens
	shares []float64             // fraction of the zone's requests at each node, averaged over its layers
}

// newZoneRate returns an estimator for the upstreams of a zone.
func newZoneRate(model *lentilmux.ModelProfile, nodes []lentilmux.RangeNode) *zoneRate {
	return &zoneRate{model: model, nodes: nodes, tokens: make([]float64, len(nodes)), cache: make([]float64, model.Layers), shares: make([]float64, len(nodes))}
}

// noneLost stands for the upstream that is lost in [zoneRate.estimate].
const noneLost = -1

// expected returns the weighted geometric mean of the rate of the whole zone and
// of its rates without each of the upstreams in turn. A geometric mean values
// what is left after a loss more than a rate beyond the zone's load. It returns
// zero if the mean does not exceed threshold.
func (z *zoneRate) expected(ranges []lentilmux.LayerRange, threshold float64) (requestsPerSecond float64) {
	rate := z.estimate(ranges, noneLost)
	if rate <= threshold || len(z.nodes) == 0 {
		return 0 // the mean is below the rate of the whole zone
	}
	afterLoss := 0.0 // sum of logarithms
	for lost := range z.nodes {
		afterLoss += math.Log(min(max(z.estimate(ranges, lost), otherZonesRate*rate), rate))
	}
	mean := math.Exp((1-lossShare)*math.Log(rate) + lossShare*afterLoss/float64(len(z.nodes)))
	if mean <= threshold {
		return 0
	}
	return mean
}

const (
	// lossShare is the weight of the zone's rate after the loss of an upstream.
	lossShare = 0.7
	// otherZonesRate is what other zones can serve of a zone's requests when one
	// of its layers is not held, as a fraction of the zone's rate.
	otherZonesRate = 0.1
)

// estimate returns the rate without the node lost. It is zero if some layer is
// not held.
func (z *zoneRate) estimate(ranges []lentilmux.LayerRange, lost int) (requestsPerSecond float64) {
	maxRequests := z.countRequests(ranges, lost)
	if maxRequests <= 0 {
		return 0
	}
	prompt, answer := float64(z.model.TypicalPromptTokens), float64(z.model.TypicalAnswerTokens)
	rate := 0.0
	for range rateIterations {
		tokenTime, prefillTime := z.times(ranges, lost, maxRequests, rate*prompt/z.model.PrefillTokensPerSecond)
		rate = (rate + maxRequests/(answer*tokenTime+prefillTime)) / 2
	}
	return rate
}

// countRequests returns how many requests the zone can hold at once, and sets the
// shares of its nodes. Requests are spread over the holders of a layer by their
// KV cache.
func (z *zoneRate) countRequests(ranges []lentilmux.LayerRange, lost int) (requests float64) {
	clear(z.cache)
	slots, hasSlots := 0, true
	for i, n := range z.nodes {
		if i == lost || !z.fits(ranges[i]) {
			continue
		}
		z.tokens[i] = float64(z.model.CacheCapacity(n.Accelerator, ranges[i].Len())) / float64(ranges[i].Len())
		for layer := ranges[i].First; layer <= ranges[i].Last; layer++ {
			z.cache[layer] += z.tokens[i]
		}
		if ranges[i].First == 0 {
			slots += n.Slots
			hasSlots = hasSlots && n.Slots > 0
		}
	}
	least := math.Inf(1)
	for _, tokens := range z.cache {
		least = min(least, tokens)
	}
	if least <= 0 {
		return 0
	}
	for i := range z.nodes {
		z.shares[i] = 0
		if i == lost || !z.fits(ranges[i]) {
			continue
		}
		for layer := ranges[i].First; layer <= ranges[i].Last; layer++ {
			z.shares[i] += z.tokens[i] / z.cache[layer] / float64(ranges[i].Len())
		}
	}
	requests = usableCacheFraction * least / max(float64(z.model.TypicalPromptTokens)+float64(z.model.TypicalAnswerTokens)/2, 1)
	if hasSlots {
		requests = min(requests, usableSlotFraction*float64(slots))
	}
	return requests
}

// fits reports whether a range holds layers, and only layers of the model. A pinned
// range may be one that an upstream claims without having it.
func (z *zoneRate) fits(layers lentilmux.LayerRange) bool {
	return layers.Len() > 0 && layers.First >= 0 && layers.Last < z.model.Layers
}

// times returns the seconds that a token takes over all layers and that the
// prefill of a prompt takes, with the given number of requests in the zone and
// prompts of all layers arriving at the given load, in seconds per second.
func (z *zoneRate) times(ranges []lentilmux.LayerRange, lost int, requests, promptLoad float64) (token, prefill float64) {
	model := z.model
	context := (float64(model.TypicalPromptTokens) + float64(model.TypicalAnswerTokens)/2) / 1000
	perRequest := model.StepTimePerStream.Seconds() + model.StepTimePerContext.Seconds()*context
	for i, n := range z.nodes {
		if i == lost || z.shares[i] <= 0 {
			continue
		}
		layers := float64(ranges[i].Len()) / float64(model.Layers)
		prefillShare := min(promptLoad*z.shares[i]*layers*n.Accelerator.PrefillFactor, maxPrefillShare)
		step := layers * n.Accelerator.StepFactor * (model.StepTime.Seconds() + z.shares[i]*requests*perRequest) / (1 - prefillShare)
		token += z.shares[i] * ((1+passWaitFraction)*step + sameZoneHop.Seconds())
		prefill += z.shares[i] * layers * n.Accelerator.PrefillFactor * float64(model.TypicalPromptTokens) / model.PrefillTokensPerSecond / (1 - prefillShare)
	}
	return token, prefill
}
