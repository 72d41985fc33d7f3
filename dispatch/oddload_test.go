package dispatch_test

import (
	"math"
	"testing"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/dispatch"
)

// TestChooseWithOddLoads guards against a process that ends because an upstream
// reports a load or a speed that makes costs infinite or no number.
func TestChooseWithOddLoads(t *testing.T) {
	model := &lentilmux.ModelProfile{Layers: 8, StepTime: 1e6, StepTimePerStream: 1e4, PrefillTokensPerSecond: 1000, TokensPerEvent: 1}
	odd := []float64{0, -1, 1, 1e308, math.MaxFloat64, math.Inf(1), math.Inf(-1), math.NaN()}
	for _, step := range odd {
		for _, prefill := range odd {
			for i, prompt := range []int{0, 1, math.MaxInt, 0, 1, math.MaxInt} {
				nodes := []lentilmux.PathNode{
					{Layers: lentilmux.LayerRange{Last: 3}, StepFactor: 1, PrefillFactor: 1, Capacity: 1 << 40},
					{Layers: lentilmux.LayerRange{First: 2, Last: 7}, StepFactor: step, PrefillFactor: prefill, Capacity: 1 << 40, Streams: math.MaxInt - 1, Reserved: math.MinInt64},
					{Layers: lentilmux.LayerRange{First: 4, Last: 7}, StepFactor: step, PrefillFactor: prefill, Capacity: 1 << 40, PendingPromptTokens: math.MaxInt},
				}
				if i > 2 {
					nodes[0].StepFactor, nodes[0].PrefillFactor = step, prefill
				}
				request := lentilmux.PathRequest{Model: model, Layers: lentilmux.LayerRange{Last: 7}, PromptTokens: prompt, AnswerTokens: 1}
				hops, _, ok := dispatch.NewCheapestPath(1).Choose(request, nodes, nil)
				next := 0
				for _, hop := range hops {
					if hop.Layers.First != next || hop.Layers.Last > nodes[hop.Node].Layers.Last || hop.Layers.First < nodes[hop.Node].Layers.First {
						t.Fatalf("step factor %v, prefill factor %v: path %+v", step, prefill, hops)
					}
					next = hop.Layers.Last + 1
				}
				if ok && next != 8 {
					t.Fatalf("step factor %v, prefill factor %v: path %+v ends before the last layer", step, prefill, hops)
				}
			}
		}
	}
}
