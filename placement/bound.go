package placement

import (
	"cmp"
	"math"
	"slices"

	"lentilmux.example/lentilmux"
)

// boundSteps is the number of halvings in the search for the greatest flow.
const boundSteps = 24

// rateBound returns a rate in requests per second that no ranges of the nodes
// exceed. It counts the weights of a single copy of the model, lets requests use
// the cache of all nodes without fragments, and counts neither hops nor waiting.
// Slow nodes add room but make each request stay longer, so the bound is the
// greatest rate with any number of the fastest nodes.
func rateBound(model *lentilmux.ModelProfile, nodes []lentilmux.RangeNode) (requestsPerSecond float64) {
	prompt, answer := float64(model.TypicalPromptTokens), float64(model.TypicalAnswerTokens)
	perRequest := float64(model.CacheBytesPerToken) * max(prompt+answer/2, 1)
	free := -float64(model.LayerBytes) * float64(model.Layers)
	for _, n := range nodes {
		free += float64(n.Accelerator.MemoryBytes)
	}
	fastest := slices.SortedFunc(slices.Values(nodes), func(a, b lentilmux.RangeNode) int {
		return cmp.Compare(requestSeconds(model, a.Accelerator), requestSeconds(model, b.Accelerator))
	})
	requests, seconds := 0.0, 0.0 // the latter summed over requests
	for _, n := range fastest {
		added := min(float64(n.Accelerator.MemoryBytes), max(free, 0)) / perRequest
		free -= float64(n.Accelerator.MemoryBytes)
		requests += added
		seconds += added * requestSeconds(model, n.Accelerator)
		requestsPerSecond = max(requestsPerSecond, requests*requests/max(seconds, 1e-9))
	}
	return min(requestsPerSecond, speedBound(model, nodes))
}

// requestSeconds returns how long a request takes on accelerators of one type
// without other requests, hops and waiting.
func requestSeconds(model *lentilmux.ModelProfile, accelerator lentilmux.Accelerator) float64 {
	return float64(model.TypicalAnswerTokens)*accelerator.StepFactor*model.StepTime.Seconds() + accelerator.PrefillFactor*float64(model.TypicalPromptTokens)/model.PrefillTokensPerSecond
}

// speedBound returns the requests per second that the nodes can compute if none
// is ever idle: the prefill of the prompt, and the part of each decode step that
// grows with the number of streams.
func speedBound(model *lentilmux.ModelProfile, nodes []lentilmux.RangeNode) (requestsPerSecond float64) {
	prompt, answer := float64(model.TypicalPromptTokens), float64(model.TypicalAnswerTokens)
	perToken := model.StepTimePerStream.Seconds() + model.StepTimePerContext.Seconds()*(prompt+answer/2)/1000
	for _, n := range nodes {
		work := n.Accelerator.PrefillFactor*prompt/model.PrefillTokensPerSecond + n.Accelerator.StepFactor*answer*perToken
		requestsPerSecond += 1 / math.Max(work, 1e-9)
	}
	return requestsPerSecond
}

// flowBound returns how many requests in flight the ranges can hold if each is
// divided over them as it fits best, also within a range: the greatest number
// for which a flow from the caches over the held layers serves every layer.
func flowBound(model *lentilmux.ModelProfile, nodes []lentilmux.RangeNode, ranges []lentilmux.LayerRange) (requests float64) {
	size := float64(model.TypicalPromptTokens) + float64(model.TypicalAnswerTokens)/2
	low, high := 0.0, 0.0
	for i, n := range nodes {
		high += float64(model.CacheCapacity(n.Accelerator, ranges[i].Len())) / float64(model.Layers) / size
	}
	for range boundSteps {
		middle := (low + high) / 2
		if canHold(model, nodes, ranges, middle*size) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// canHold reports whether a flow serves the given tokens at every layer. Each
// layer takes from the cache of its holders in the order in which their ranges
// end; this is exact since all ranges are contiguous.
func canHold(model *lentilmux.ModelProfile, nodes []lentilmux.RangeNode, ranges []lentilmux.LayerRange, tokens float64) bool {
	left := make([]float64, len(nodes))
	for i, n := range nodes {
		left[i] = float64(model.CacheCapacity(n.Accelerator, ranges[i].Len()))
	}
	for layer := range model.Layers {
		for need := tokens; need > 1e-6; {
			next := -1
			for i, held := range ranges {
				if held.First <= layer && layer <= held.Last && left[i] > 0 && (next < 0 || held.Last < ranges[next].Last) {
					next = i
				}
			}
			if next < 0 {
				return false
			}
			taken := min(need, left[next])
			need, left[next] = need-taken, left[next]-taken
		}
	}
	return true
}

// fleetFlowBound returns how many requests in flight all zones can hold: the flow
// over all ranges, or the sum of the zones' own flows with what the links between
// zones carry, whichever is less.
func fleetFlowBound(model *lentilmux.ModelProfile, nodes []lentilmux.RangeNode, ranges []lentilmux.LayerRange, zones []ZoneEvaluation) (requests float64) {
	requests = flowBound(model, nodes, ranges)
	own, seconds := 0.0, 0.0
	for _, z := range zones {
		own += z.FlowBound
		seconds = max(seconds, float64(model.TypicalAnswerTokens)*z.TokenTime.Seconds())
	}
	promptBits := float64(model.TypicalPromptTokens) * float64(model.ActivationBytes) * 8
	if promptBits <= 0 || model.ZoneLinkBitRate <= 0 {
		return requests
	}
	links := float64(len(zones)*(len(zones)-1)) / 2
	return min(requests, own+links*model.ZoneLinkBitRate/promptBits*seconds)
}
