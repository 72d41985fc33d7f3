package placement_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/placement"
)

// fleetModel returns the profile of a model with 80 layers on three kinds of
// accelerators.
func fleetModel() *lentilmux.ModelProfile {
	return &lentilmux.ModelProfile{
		Layers: 80, LayerBytes: 1750e6, CacheBytesPerToken: 918000, StepTime: 1020 * time.Microsecond, StepTimePerStream: 7140 * time.Nanosecond,
		StepTimePerContext: 9560 * time.Nanosecond, PrefillTokensPerSecond: 105000, TokensPerEvent: 3, TypicalPromptTokens: 774, TypicalAnswerTokens: 203,
		Accelerators: []lentilmux.Accelerator{
			{Name: "a100", MemoryBytes: 72e9, StepFactor: 2.4, PrefillFactor: 3.2}, {Name: "l40s", MemoryBytes: 43200e6, StepFactor: 5.6, PrefillFactor: 2.7},
			{Name: "l4", MemoryBytes: 21600e6, StepFactor: 16, PrefillFactor: 8.2},
		},
	}
}

// fleetNodes returns upstreams without layers. The counts are given by zone and
// by kind of accelerator.
func fleetNodes(model *lentilmux.ModelProfile, counts [][3]int) (nodes []lentilmux.RangeNode) {
	for zone, kinds := range counts {
		for kind, count := range kinds {
			for i := range count {
				nodes = append(nodes, lentilmux.RangeNode{Upstream: fmt.Sprintf("%d-%d-%d", zone, kind, i), Zone: zone, Accelerator: model.Accelerators[kind]})
			}
		}
	}
	return nodes
}

// currentFleet counts the upstreams of a production fleet: a100, l40s and l4,
// by zone.
var currentFleet = [][3]int{{1, 6, 5}, {2, 2, 5}, {1, 3, 8}}

// TestZoneBalancedGolden compares the placement of currentFleet with the golden
// file. Entry VMs place layers independently, so any change of the result has to
// be deliberate.
func TestZoneBalancedGolden(t *testing.T) {
	model := fleetModel()
	nodes := fleetNodes(model, currentFleet)
	var out strings.Builder
	for i, layers := range (placement.ZoneBalanced{}).Place(model, 3, nodes) {
		fmt.Fprintf(&out, "%s %s %d-%d\n", nodes[i].Upstream, nodes[i].Accelerator.Name, layers.First, layers.Last)
	}
	goldie.New(t).Assert(t, "ranges", []byte(out.String()))
}

// TestZoneBalancedSurvivesLoss checks that each zone holds every layer, and
// that all zones but one still do after the loss of any single upstream.
// Otherwise one failure would leave several zones unable to run the model.
func TestZoneBalancedSurvivesLoss(t *testing.T) {
	model := fleetModel()
	nodes := fleetNodes(model, currentFleet)
	ranges := placement.ZoneBalanced{}.Place(model, 3, nodes)
	for lost := -1; lost < len(nodes); lost++ {
		complete := 0
		for zone := range currentFleet {
			if zoneCovered(model, nodes, ranges, zone, lost) {
				complete++
			}
		}
		if lost < 0 && complete < len(currentFleet) || complete < len(currentFleet)-1 {
			t.Fatalf("without upstream %d only %d zones hold all layers", lost, complete)
		}
	}
}

// zoneCovered reports whether a zone holds all layers without the upstream
// lost.
func zoneCovered(model *lentilmux.ModelProfile, nodes []lentilmux.RangeNode, ranges []lentilmux.LayerRange, zone, lost int) bool {
	for layer := range model.Layers {
		if !layerHeld(nodes, ranges, zone, layer, lost) {
			return false
		}
	}
	return true
}

// layerHeld reports whether a zone holds a layer without the upstream lost.
func layerHeld(nodes []lentilmux.RangeNode, ranges []lentilmux.LayerRange, zone, layer, lost int) bool {
	for i, n := range nodes {
		if i != lost && n.Zone == zone && ranges[i].First <= layer && layer <= ranges[i].Last {
			return true
		}
	}
	return false
}

// grownFleet counts the upstreams of the same fleet after its growth.
var grownFleet = [][3]int{{2, 15, 12}, {4, 6, 14}, {2, 9, 22}}

// TestFirstLayerSlots compares with the golden file how many requests the
// upstreams with the first layers can run at once, by availability zone. 1,360
// requests are in flight in this fleet at its usual load. Too few slots in a
// zone make its requests queue or cross zones.
func TestFirstLayerSlots(t *testing.T) {
	model := fleetModel()
	nodes := fleetNodes(model, grownFleet)
	for i := range nodes {
		nodes[i].Slots = 192
	}
	var out strings.Builder
	ranges := placement.ZoneBalanced{}.Place(model, len(grownFleet), nodes)
	for zone := range grownFleet {
		slots := 0
		for i, n := range nodes {
			if n.Zone == zone && ranges[i].First == 0 {
				slots += n.Slots
			}
		}
		fmt.Fprintf(&out, "zone %d: %d\n", zone, slots)
	}
	goldie.New(t).Assert(t, "firsts", []byte(out.String()))
}

// TestZoneBalancedFitsMemory checks that no upstream gets more layers than its
// accelerator can hold, and that a pinned upstream keeps its layers.
func TestZoneBalancedFitsMemory(t *testing.T) {
	model := fleetModel()
	nodes := fleetNodes(model, currentFleet)
	nodes[0].Layers, nodes[0].Pinned = lentilmux.LayerRange{First: 40, Last: 49}, true
	for i, layers := range (placement.ZoneBalanced{}).Place(model, 3, nodes) {
		if layers.Len() < 1 || layers.Len() > model.MaxLayers(nodes[i].Accelerator) || layers.First < 0 || layers.Last >= model.Layers {
			t.Errorf("%s got layers %d-%d, which do not fit", nodes[i].Upstream, layers.First, layers.Last)
		}
		if nodes[i].Pinned && layers != nodes[i].Layers {
			t.Errorf("pinned %s holds %v but got %v", nodes[i].Upstream, nodes[i].Layers, layers)
		}
	}
}

// BenchmarkZoneBalanced measures the placement of currentFleet.
func BenchmarkZoneBalanced(b *testing.B) {
	model := fleetModel()
	nodes := fleetNodes(model, currentFleet)
	for b.Loop() {
		placement.ZoneBalanced{}.Place(model, 3, nodes)
	}
}
