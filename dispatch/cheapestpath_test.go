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

// chainModel is a model of eight layers.
func chainModel(layers int) *lentilmux.ModelProfile {
	return &lentilmux.ModelProfile{
		Layers: layers, StepTime: time.Millisecond, StepTimePerStream: 10 * time.Microsecond, StepTimePerContext: 10 * time.Microsecond,
		PrefillTokensPerSecond: 100000, ActivationBytes: 45900, ZoneLinkBitRate: 18e9, TokensPerEvent: 3, TypicalPromptTokens: 700, TypicalAnswerTokens: 200,
	}
}

func node(zone, first, last int, pace float64) lentilmux.PathNode {
	return lentilmux.PathNode{Zone: zone, Layers: lentilmux.LayerRange{First: first, Last: last}, StepFactor: pace, PrefillFactor: pace, Capacity: 40000}
}

func with(n lentilmux.PathNode, change func(*lentilmux.PathNode)) lentilmux.PathNode {
	change(&n)
	return n
}

// TestChains compares the paths that are chosen with the golden file.
func TestChains(t *testing.T) {
	var out strings.Builder
	ask := lentilmux.PathRequest{Model: chainModel(8), Layers: lentilmux.LayerRange{Last: 7}, PromptTokens: 700, AnswerTokens: 200}
	show := func(what string, ask lentilmux.PathRequest, nodes ...lentilmux.PathNode) {
		path, pace, ok := dispatch.NewCheapestPath(1).Choose(ask, nodes, nil)
		fmt.Fprintf(&out, "%s: ", what)
		for _, part := range path {
			fmt.Fprintf(&out, "%d:%d-%d ", part.Node, part.Layers.First, part.Layers.Last)
		}
		fmt.Fprintf(&out, "found=%t first=%s gap=%s\n", ok, pace.TimeToFirstEvent.Round(time.Millisecond), pace.EventGap.Round(time.Millisecond))
	}
	fast, slow := node(0, 0, 3, 2), node(0, 0, 3, 8)
	tail := node(0, 4, 7, 2)
	show("the faster of two", ask, slow, fast, tail)
	show("the emptier of two alike", ask, with(fast, func(n *lentilmux.PathNode) { n.Reserved = 30000 }), fast, tail)
	show("the slower one when the faster is full", ask, slow, with(fast, func(n *lentilmux.PathNode) { n.Reserved = 39999 }), tail)
	show("nobody holds the last layers", ask, fast, slow)
	show("a part of what one holds", ask, node(0, 0, 5, 2), node(0, 3, 7, 2))
	show("the same zone, though slower", ask, node(0, 0, 3, 2), node(0, 4, 7, 3), node(1, 4, 7, 2))
	show("another zone as a whole", ask, slow, node(0, 4, 7, 8), node(1, 0, 3, 2), node(1, 4, 7, 2))
	show("another zone if there is no other way", ask, fast, node(1, 4, 7, 2))
	show("never back to one that was left", ask, node(0, 0, 7, 4), node(0, 2, 3, 1), node(0, 5, 5, 1))
	show("no first without a place", ask, with(fast, func(n *lentilmux.PathNode) { n.Full = true }), slow, tail)
	detour := ask
	detour.Layers, detour.HasPredecessor = lentilmux.LayerRange{First: 4, Last: 7}, true
	show("a detour for some layers", detour, fast, node(0, 2, 5, 2), tail, node(0, 6, 7, 1))
	long := ask
	long.PromptTokens = 20000
	show("too long for anyone", long, fast, tail)
	goldie.New(t).Assert(t, "chains", []byte(out.String()))
}

// TestZonesShare compares how a hundred requests spread over availability zones
// while what VMs know of one another's work does not change.
func TestZonesShare(t *testing.T) {
	var out strings.Builder
	ask := lentilmux.PathRequest{Model: chainModel(8), Layers: lentilmux.LayerRange{Last: 7}, PromptTokens: 700, AnswerTokens: 200, SingleZone: true}
	for _, busier := range []int{0, 2000, 10000, 100000} {
		counts := make([]int, 3)
		chains := dispatch.NewCheapestPath(1)
		var nodes []lentilmux.PathNode
		for zone := range counts {
			for _, n := range []lentilmux.PathNode{node(zone, 0, 3, 2), node(zone, 4, 7, 2)} {
				if zone == 0 {
					n.PendingPromptTokens = busier
				}
				nodes = append(nodes, n)
			}
		}
		for range 100 {
			path, _, _ := chains.Choose(ask, nodes, nil)
			counts[nodes[path[0].Node].Zone]++
		}
		fmt.Fprintf(&out, "%d more tokens wait in the first zone: %v\n", busier, counts)
	}
	goldie.New(t).Assert(t, "zones", []byte(out.String()))
}

// BenchmarkChains chooses paths at the size of today and at the size to come.
func BenchmarkChains(b *testing.B) {
	for _, count := range []int{33, 2400} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			nodes := make([]lentilmux.PathNode, count)
			for i := range nodes {
				first := i % 8 * 10
				nodes[i] = node(i%9, first, first+9, float64(2+i%3))
				nodes[i].Capacity = 400000
			}
			ask := lentilmux.PathRequest{Model: chainModel(80), Layers: lentilmux.LayerRange{Last: 79}, PromptTokens: 700, AnswerTokens: 200}
			chains := dispatch.NewCheapestPath(1)
			var path []lentilmux.PathHop
			b.ReportAllocs()
			for b.Loop() {
				path, _, _ = chains.Choose(ask, nodes, path[:0])
			}
		})
	}
}
