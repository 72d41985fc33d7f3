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

// TestMain fixes the seed of the property tests, so that failures are
// reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(m.Run())
}

// drawNodes draws 1 to 12 engines of different memory and speed.
func drawNodes(t *rapid.T) (nodes []lentilmux.PlacementNode) {
	for i := range rapid.IntRange(1, 12).Draw(t, "nodes") {
		nodes = append(nodes, lentilmux.PlacementNode{
			Upstream:            fmt.Sprint("worker-", i),
			MaxLayers:           rapid.IntRange(1, 40).Draw(t, "layers"),
			LayerStepsPerSecond: rapid.IntRange(100, 10000).Draw(t, "layer steps per second"),
		})
	}
	return nodes
}

// TestBalancedCoversAllLayers checks that the stages cover all layers in order
// without gaps, that each stage has engines whose memory can hold it, and that
// the same input gives the same stages. Entry VMs place layers independently,
// so an unstable result would make them give conflicting orders.
func TestBalancedCoversAllLayers(t *testing.T) {
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
		maxLayers := make(map[string]int)
		for _, n := range nodes {
			maxLayers[n.Upstream] = n.MaxLayers
		}
		next := 0
		for _, stage := range stages {
			if stage.Layers.First != next || stage.Layers.Len() < 1 || len(stage.Upstreams) == 0 {
				t.Fatalf("want contiguous stages with engines, got %+v", stages)
			}
			for _, name := range stage.Upstreams {
				if maxLayers[name] < stage.Layers.Len() {
					t.Fatalf("engine %s has too little memory for layers %+v", name, stage.Layers)
				}
			}
			next = stage.Layers.Last + 1
		}
		if next != layers {
			t.Fatalf("stages cover %d of %d layers", next, layers)
		}
	})
}

// TestMaxThroughputIsSlowestStage checks the maximum flow against two simpler
// bounds. For stages that do not overlap it equals the throughput of the
// slowest stage, and it never exceeds the sum of all engines' layer steps per
// second divided by the number of layers.
func TestMaxThroughputIsSlowestStage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := drawNodes(t)
		layers := rapid.IntRange(1, 40).Draw(t, "model")
		stages := placement.Balanced{}.Place(layers, nodes)
		if stages == nil {
			return
		}
		layerStepsPerSecond, all := make(map[string]float64), 0.0
		for _, n := range nodes {
			layerStepsPerSecond[n.Upstream] = float64(n.LayerStepsPerSecond)
			all += float64(n.LayerStepsPerSecond)
		}
		slowest := -1.0
		for _, stage := range stages {
			speed := 0.0
			for _, name := range stage.Upstreams {
				speed += layerStepsPerSecond[name] / float64(stage.Layers.Len())
			}
			if slowest < 0 || speed < slowest {
				slowest = speed
			}
		}
		bound := placement.MaxThroughput(layers, placement.HeldRanges(stages, nodes))
		const rounding = 1e-6
		if bound > slowest+rounding || bound < slowest-rounding || bound > all/float64(layers)+rounding {
			t.Fatalf("maximum throughput %f, slowest stage %f, bound by the sum of all engines %f", bound, slowest, all/float64(layers))
		}
	})
}

// TestMaxThroughputOfOverlappingRanges checks that ranges which overlap add up
// along every usable path, and that a range without a successor adds nothing.
func TestMaxThroughputOfOverlappingRanges(t *testing.T) {
	ranges := []placement.HeldRange{
		{Layers: lentilmux.LayerRange{First: 0, Last: 3}, LayerStepsPerSecond: 400}, // 100 tokens/s over all layers
		{Layers: lentilmux.LayerRange{First: 0, Last: 1}, LayerStepsPerSecond: 100}, // 50 tokens/s over the first half
		{Layers: lentilmux.LayerRange{First: 2, Last: 3}, LayerStepsPerSecond: 60},  // 30 tokens/s over the second half
		{Layers: lentilmux.LayerRange{First: 1, Last: 2}, LayerStepsPerSecond: 999}, // no path through it begins at layer 0
	}
	if bound := placement.MaxThroughput(4, ranges); bound != 130 {
		t.Errorf("maximum throughput %f, want 130", bound)
	}
}
