package dispatch_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/dispatch"
)

// testModel returns the profile of a model with the given number of layers.
func testModel(layers int) *lentilmux.ModelProfile {
	return &lentilmux.ModelProfile{
		Layers: layers, StepTime: time.Millisecond, StepTimePerStream: 10 * time.Microsecond, StepTimePerContext: 10 * time.Microsecond,
		PrefillTokensPerSecond: 100000, ActivationBytes: 45900, ZoneLinkBitRate: 18e9, TokensPerEvent: 3, TypicalPromptTokens: 700, TypicalAnswerTokens: 200,
	}
}

// node returns an upstream that is slowdown times slower than the reference and
// holds the layers first to last.
func node(zone, first, last int, slowdown float64) lentilmux.PathNode {
	return lentilmux.PathNode{Zone: zone, Layers: lentilmux.LayerRange{First: first, Last: last}, StepFactor: slowdown, PrefillFactor: slowdown, Capacity: 40000}
}

// modified returns a copy of a node with a change applied.
func modified(n lentilmux.PathNode, change func(*lentilmux.PathNode)) lentilmux.PathNode {
	change(&n)
	return n
}

// TestCheapestPathGolden compares chosen paths with the golden file. It guards
// against paths that have gaps, revisit an upstream, begin at a full one, or
// use slow, full or remote upstreams without need.
func TestCheapestPathGolden(t *testing.T) {
	var out strings.Builder
	request := lentilmux.PathRequest{Model: testModel(8), Layers: lentilmux.LayerRange{Last: 7}, PromptTokens: 700, AnswerTokens: 200}
	show := func(name string, request lentilmux.PathRequest, nodes ...lentilmux.PathNode) {
		path, estimate, ok := dispatch.NewCheapestPath(1).Choose(request, nodes, nil)
		fmt.Fprintf(&out, "%s: ", name)
		for _, hop := range path {
			fmt.Fprintf(&out, "%d:%d-%d ", hop.Node, hop.Layers.First, hop.Layers.Last)
		}
		fmt.Fprintf(&out, "found=%t first=%s gap=%s\n", ok, estimate.TimeToFirstEvent.Round(time.Millisecond), estimate.EventGap.Round(time.Millisecond))
	}
	fast, slow := node(0, 0, 3, 2), node(0, 0, 3, 8)
	tail := node(0, 4, 7, 2)
	show("the faster of two upstreams", request, slow, fast, tail)
	show("the less loaded of two equally fast upstreams", request, modified(fast, func(n *lentilmux.PathNode) { n.Reserved = 30000 }), fast, tail)
	show("the slower upstream if the faster one has no memory left", request, slow, modified(fast, func(n *lentilmux.PathNode) { n.Reserved = 39999 }), tail)
	show("no upstream holds the last layers", request, fast, slow)
	show("a part of a layer range", request, node(0, 0, 5, 2), node(0, 3, 7, 2))
	show("the same zone, although slower", request, node(0, 0, 3, 2), node(0, 4, 7, 3), node(1, 4, 7, 2))
	show("the complete path in another zone", request, slow, node(0, 4, 7, 8), node(1, 0, 3, 2), node(1, 4, 7, 2))
	show("crossing zones if the zone does not hold all layers", request, fast, node(1, 4, 7, 2))
	show("no return to an upstream that was left", request, node(0, 0, 7, 4), node(0, 2, 3, 1), node(0, 5, 5, 1))
	show("no first hop at a full upstream", request, modified(fast, func(n *lentilmux.PathNode) { n.Full = true }), slow, tail)
	replacement := request
	replacement.Layers, replacement.HasPredecessor = lentilmux.LayerRange{First: 4, Last: 7}, true
	show("a replacement path for some layers", replacement, fast, node(0, 2, 5, 2), tail, node(0, 6, 7, 1))
	longPrompt := request
	longPrompt.PromptTokens = 20000
	show("a prompt too long for every upstream", longPrompt, fast, tail)
	goldie.New(t).Assert(t, "chains", []byte(out.String()))
}

// TestCheapestPathSpreadsOverZones compares with the golden file how 100
// requests spread over availability zones while the load data does not change.
// It guards against sending all requests to the zone that seems cheapest, which
// happens when the choices of other VMs are not known yet.
func TestCheapestPathSpreadsOverZones(t *testing.T) {
	var out strings.Builder
	request := lentilmux.PathRequest{Model: testModel(8), Layers: lentilmux.LayerRange{Last: 7}, PromptTokens: 700, AnswerTokens: 200, SingleZone: true}
	for _, pending := range []int{0, 2000, 10000, 100000} {
		counts := make([]int, 3)
		selector := dispatch.NewCheapestPath(1)
		var nodes []lentilmux.PathNode
		for zone := range counts {
			for _, n := range []lentilmux.PathNode{node(zone, 0, 3, 2), node(zone, 4, 7, 2)} {
				if zone == 0 {
					n.PendingPromptTokens = pending
				}
				nodes = append(nodes, n)
			}
		}
		for range 100 {
			path, _, _ := selector.Choose(request, nodes, nil)
			counts[nodes[path[0].Node].Zone]++
		}
		fmt.Fprintf(&out, "%d more pending tokens in the first zone: %v\n", pending, counts)
	}
	goldie.New(t).Assert(t, "zones", []byte(out.String()))
}

// BenchmarkCheapestPath chooses paths over 33 upstreams, the present fleet
// size, and over 2,400, the planned one.
func BenchmarkCheapestPath(b *testing.B) {
	for _, count := range []int{33, 2400} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			nodes := make([]lentilmux.PathNode, count)
			for i := range nodes {
				first := i % 8 * 10
				nodes[i] = node(i%9, first, first+9, float64(2+i%3))
				nodes[i].Capacity = 400000
			}
			request := lentilmux.PathRequest{Model: testModel(80), Layers: lentilmux.LayerRange{Last: 79}, PromptTokens: 700, AnswerTokens: 200}
			selector := dispatch.NewCheapestPath(1)
			var path []lentilmux.PathHop
			b.ReportAllocs()
			for b.Loop() {
				path, _, _ = selector.Choose(request, nodes, path[:0])
			}
		})
	}
}
