package placement_test

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/placement"
)

// TestMain fixes the seed of property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(m.Run())
}

// drawNodes draws up to twelve unlike engines.
func drawNodes(t *rapid.T) (nodes []lentilmux.PlacementNode) {
	for i := range rapid.IntRange(1, 12).Draw(t, "nodes") {
		nodes = append(nodes, lentilmux.PlacementNode{
			Upstream:  fmt.Sprint("worker-", i),
			MaxLayers: rapid.IntRange(1, 40).Draw(t, "layers"),
			Rate:      rapid.IntRange(100, 10000).Draw(t, "rate"),
		})
	}
	return nodes
}

// TestPlacementCoversTheModel checks that stages follow one another from the
// first layer to the last, that each has engines and each engine can hold its
// part, and that the same input gives the same stages.
func TestPlacementCoversTheModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := drawNodes(t)
		layers := rapid.IntRange(1, 40).Draw(t, "model")
		stages := placement.Balanced{}.Place(layers, nodes)
		if !reflect.DeepEqual(stages, (placement.Balanced{}).Place(layers, nodes)) {
			t.Fatal("two placements of the same nodes differ")
		}
		if stages == nil {
			return
		}
		most := make(map[string]int)
		for _, n := range nodes {
			most[n.Upstream] = n.MaxLayers
		}
		next := 0
		for _, stage := range stages {
			if stage.Layers.First != next || stage.Layers.Len() < 1 || len(stage.Upstreams) == 0 {
				t.Fatalf("stages %+v", stages)
			}
			for _, name := range stage.Upstreams {
				if most[name] < stage.Layers.Len() {
					t.Fatalf("%s cannot hold %+v", name, stage.Layers)
				}
			}
			next = stage.Layers.Last + 1
		}
		if next != layers {
			t.Fatalf("the stages end at layer %d of %d", next, layers)
		}
	})
}

// TestBoundIsTheSlowestStage checks the maximum flow against the plain rule for
// stages that do not overlap, and that no placement beats all rates together.
func TestBoundIsTheSlowestStage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := drawNodes(t)
		layers := rapid.IntRange(1, 40).Draw(t, "model")
		stages := placement.Balanced{}.Place(layers, nodes)
		if stages == nil {
			return
		}
		rates, all := make(map[string]float64), 0.0
		for _, n := range nodes {
			rates[n.Upstream] = float64(n.Rate)
			all += float64(n.Rate)
		}
		slowest := -1.0
		for _, stage := range stages {
			speed := 0.0
			for _, name := range stage.Upstreams {
				speed += rates[name] / float64(stage.Layers.Len())
			}
			if slowest < 0 || speed < slowest {
				slowest = speed
			}
		}
		bound := placement.MaxThroughput(layers, placement.HeldRanges(stages, nodes))
		const rounding = 1e-6
		if bound > slowest+rounding || bound < slowest-rounding || bound > all/float64(layers)+rounding {
			t.Fatalf("bound %f, slowest stage %f, all rates %f", bound, slowest, all/float64(layers))
		}
	})
}

func TestBoundOfOverlappingRanges(t *testing.T) {
	holds := []placement.HeldRange{
		{Layers: lentilmux.LayerRange{First: 0, Last: 3}, Rate: 400}, // 100 tokens/s over all
		{Layers: lentilmux.LayerRange{First: 0, Last: 1}, Rate: 100}, // 50 over the first half
		{Layers: lentilmux.LayerRange{First: 2, Last: 3}, Rate: 60},  // 30 over the second
		{Layers: lentilmux.LayerRange{First: 1, Last: 2}, Rate: 999}, // leads nowhere
	}
	if bound := placement.MaxThroughput(4, holds); bound != 130 {
		t.Errorf("bound %f", bound)
	}
}
