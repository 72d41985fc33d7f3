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

// fleetModel is a model of 80 layers on three kinds of card.
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

// fleetNodes are upstreams by zone and card, none with layers.
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

// today are the upstreams of one of our users: a100, l40s and l4 by zone.
var today = [][3]int{{1, 6, 5}, {2, 2, 5}, {1, 3, 8}}

// TestRanges compares a placement with the golden file.
func TestRanges(t *testing.T) {
	model := fleetModel()
	nodes := fleetNodes(model, today)
	var out strings.Builder
	for i, layers := range (placement.ZoneBalanced{}).Place(model, 3, nodes) {
		fmt.Fprintf(&out, "%s %s %d-%d\n", nodes[i].Upstream, nodes[i].Accelerator.Name, layers.First, layers.Last)
	}
	goldie.New(t).Assert(t, "ranges", []byte(out.String()))
}

// TestRangesCover checks that each zone holds every layer, and that two zones
// still do when any one upstream is lost.
func TestRangesCover(t *testing.T) {
	model := fleetModel()
	nodes := fleetNodes(model, today)
	ranges := placement.ZoneBalanced{}.Place(model, 3, nodes)
	for lost := -1; lost < len(nodes); lost++ {
		whole := 0
		for zone := range today {
			if covers(model, nodes, ranges, zone, lost) {
				whole++
			}
		}
		if lost < 0 && whole < len(today) || whole < len(today)-1 {
			t.Fatalf("without upstream %d only %d zones hold all layers", lost, whole)
		}
	}
}

// covers reports whether a zone holds all layers without one upstream.
func covers(model *lentilmux.ModelProfile, nodes []lentilmux.RangeNode, ranges []lentilmux.LayerRange, zone, lost int) bool {
	for layer := range model.Layers {
		if !held(nodes, ranges, zone, layer, lost) {
			return false
		}
	}
	return true
}

func held(nodes []lentilmux.RangeNode, ranges []lentilmux.LayerRange, zone, layer, lost int) bool {
	for i, n := range nodes {
		if i != lost && n.Zone == zone && ranges[i].First <= layer && layer <= ranges[i].Last {
			return true
		}
	}
	return false
}

// grown are the upstreams of one of our users after its growth.
var grown = [][3]int{{2, 15, 12}, {4, 6, 14}, {2, 9, 22}}

// TestFirstsTakeAll compares how many requests the upstreams with the first
// layers take at once, by availability zone, with the golden file. 1,360 are
// under way there at the usual load.
func TestFirstsTakeAll(t *testing.T) {
	model := fleetModel()
	nodes := fleetNodes(model, grown)
	for i := range nodes {
		nodes[i].Slots = 192
	}
	var out strings.Builder
	ranges := placement.ZoneBalanced{}.Place(model, len(grown), nodes)
	for zone := range grown {
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

// TestRangesFit checks that nobody is given more than its card holds, and that
// what is held stays.
func TestRangesFit(t *testing.T) {
	model := fleetModel()
	nodes := fleetNodes(model, today)
	nodes[0].Layers, nodes[0].Pinned = lentilmux.LayerRange{First: 40, Last: 49}, true
	for i, layers := range (placement.ZoneBalanced{}).Place(model, 3, nodes) {
		if layers.Len() < 1 || layers.Len() > model.MaxLayers(nodes[i].Accelerator) || layers.First < 0 || layers.Last >= model.Layers {
			t.Errorf("%s with %d-%d", nodes[i].Upstream, layers.First, layers.Last)
		}
		if nodes[i].Pinned && layers != nodes[i].Layers {
			t.Errorf("%s holds %v and was given %v", nodes[i].Upstream, nodes[i].Layers, layers)
		}
	}
}

// BenchmarkRanges places today's upstreams.
func BenchmarkRanges(b *testing.B) {
	model := fleetModel()
	nodes := fleetNodes(model, today)
	for b.Loop() {
		placement.ZoneBalanced{}.Place(model, 3, nodes)
	}
}
