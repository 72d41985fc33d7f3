package placement_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/placement"
)

// largeFleet counts the upstreams of a fleet in five zones, like currentFleet.
var largeFleet = [][3]int{{2, 19, 17}, {6, 8, 21}, {3, 12, 31}, {2, 19, 17}, {5, 8, 20}}

// TestZoneSearchRates compares with the golden file the requests per second that
// each zone of three fleets can serve, with the greedy placement and with the
// search. The pattern is memory that is full all day: the layer with the least
// KV cache decides how many streams a zone holds.
func TestZoneSearchRates(t *testing.T) {
	model := fleetModel()
	var out strings.Builder
	for _, fleet := range []struct {
		name   string
		counts [][3]int
	}{{"current", currentFleet}, {"grown", grownFleet}, {"large", largeFleet}} {
		nodes := fleetNodes(model, fleet.counts)
		greedy := placement.ZoneBalanced{}.Place(model, len(fleet.counts), nodes)
		searched := placement.ZoneSearch{}.Place(model, len(fleet.counts), nodes)
		for zone := range fleet.counts {
			fmt.Fprintf(&out, "%s zone %d: greedy %.1f, search %.1f requests/s\n", fleet.name, zone,
				placement.EstimateZone(model, nodes, greedy, zone), placement.EstimateZone(model, nodes, searched, zone))
		}
	}
	goldie.New(t).Assert(t, "search_rates", []byte(out.String()))
}

// TestZoneSearchFirstSlots compares with the golden file how many requests the
// upstreams with the first layers of each zone can run at once. The pattern is a
// fleet with KV cache to spare whose first hops are full: requests queue there,
// and first events come late.
func TestZoneSearchFirstSlots(t *testing.T) {
	model := fleetModel()
	nodes := fleetNodes(model, grownFleet)
	for i := range nodes {
		nodes[i].Slots = 192
	}
	var out strings.Builder
	ranges := placement.ZoneSearch{}.Place(model, len(grownFleet), nodes)
	for zone := range grownFleet {
		slots := 0
		for i, n := range nodes {
			if n.Zone == zone && ranges[i].First == 0 {
				slots += n.Slots
			}
		}
		fmt.Fprintf(&out, "zone %d: %d slots, %.1f requests/s\n", zone, slots, placement.EstimateZone(model, nodes, ranges, zone))
	}
	goldie.New(t).Assert(t, "search_firsts", []byte(out.String()))
}

// TestZoneSearchFillsGaps compares with the golden file what becomes of a zone
// that loses its largest upstream for good. The pattern is a fleet without spare
// upstreams: the zone has to hold the lost layers with what is left, and as few
// upstreams as possible should change their layers.
func TestZoneSearchFillsGaps(t *testing.T) {
	model := fleetModel()
	var out strings.Builder
	for zone, counts := range currentFleet {
		nodes := fleetNodes(model, [][3]int{counts})
		ranges := placement.ZoneSearch{}.Place(model, 1, nodes)
		fmt.Fprintf(&out, "zone %d: %.1f requests/s\n", zone, placement.EstimateZone(model, nodes, ranges, 0))
		left, heldBefore := withoutNode(nodes, ranges, 0)
		after := placement.ZoneSearch{}.Place(model, 1, left)
		fmt.Fprintf(&out, "  without %v of %s: %.1f, then %.1f requests/s\n", ranges[0], nodes[0].Upstream,
			placement.EstimateZone(model, left, heldBefore, 0), placement.EstimateZone(model, left, after, 0))
		for i := range left {
			if after[i] != heldBefore[i] {
				fmt.Fprintf(&out, "  %s %s: %v to %v\n", left[i].Upstream, left[i].Accelerator.Name, heldBefore[i], after[i])
			}
		}
	}
	goldie.New(t).Assert(t, "gap_fills", []byte(out.String()))
}

// withoutNode returns the nodes and ranges without one node. The others are
// pinned to their ranges, but movable.
func withoutNode(nodes []lentilmux.RangeNode, ranges []lentilmux.LayerRange, lost int) (left []lentilmux.RangeNode, held []lentilmux.LayerRange) {
	for i, n := range nodes {
		if i != lost {
			n.Layers, n.Pinned, n.Movable = ranges[i], true, true
			left, held = append(left, n), append(held, ranges[i])
		}
	}
	return left, held
}

// TestZoneSearchProperties checks placements of random fleets: every range fits
// into the memory of its upstream, the result repeats, no zone can serve less
// than with the greedy placement, and pinned upstreams that are not movable keep
// their layers. Entry VMs that disagree would send contradicting orders, and an
// upstream that is ordered to hold too much crashes.
func TestZoneSearchProperties(t *testing.T) {
	model := fleetModel()
	rapid.Check(t, func(t *rapid.T) {
		var counts [][3]int
		for range rapid.IntRange(1, 3).Draw(t, "zones") {
			counts = append(counts, [3]int{rapid.IntRange(0, 3).Draw(t, "a100"), rapid.IntRange(0, 5).Draw(t, "l40s"), rapid.IntRange(0, 6).Draw(t, "l4")})
		}
		nodes := fleetNodes(model, counts)
		for i := range nodes {
			nodes[i].Slots = rapid.SampledFrom([]int{0, 8, 192}).Draw(t, "slots")
			if rapid.IntRange(0, 3).Draw(t, "pinned") == 0 {
				first := rapid.IntRange(0, 70).Draw(t, "first")
				nodes[i].Pinned, nodes[i].Layers = true, lentilmux.LayerRange{First: first, Last: first + 5}
			}
		}
		ranges := placement.ZoneSearch{}.Place(model, len(counts), nodes)
		if again := (placement.ZoneSearch{}).Place(model, len(counts), nodes); !slices.Equal(ranges, again) {
			t.Fatalf("placement does not repeat: %v, then %v", ranges, again)
		}
		greedy := placement.ZoneBalanced{}.Place(model, len(counts), nodes)
		for zone := range counts {
			was, is := placement.EstimateZone(model, nodes, greedy, zone), placement.EstimateZone(model, nodes, ranges, zone)
			if was > 0 && is <= 0 {
				t.Fatalf("zone %d serves nothing, but %.2f requests/s with the greedy placement", zone, was)
			}
		}
		for i, n := range nodes {
			switch layers := ranges[i]; {
			case n.Pinned && layers != n.Layers:
				t.Fatalf("pinned %s holds %v but got %v", n.Upstream, n.Layers, layers)
			case !n.Pinned && (layers.Len() < 1 || layers.Len() > model.MaxLayers(n.Accelerator) || layers.First < 0 || layers.Last >= model.Layers):
				t.Fatalf("%s got layers %v, which do not fit", n.Upstream, layers)
			}
		}
	})
}

// hugeFleet counts 2,400 upstreams in nine zones, like currentFleet.
var hugeFleet = [][3]int{{24, 90, 153}, {24, 90, 153}, {24, 90, 153}, {24, 90, 153}, {24, 90, 153}, {24, 90, 153}, {24, 90, 153}, {24, 90, 152}, {24, 90, 151}}

// BenchmarkZoneSearch measures the first placement of fleets, which runs beside
// the control goroutine.
func BenchmarkZoneSearch(b *testing.B) {
	model := fleetModel()
	for _, counts := range [][][3]int{currentFleet, grownFleet, largeFleet, hugeFleet} {
		nodes := fleetNodes(model, counts)
		b.Run(fmt.Sprint(len(nodes)), func(b *testing.B) {
			for b.Loop() {
				placement.ZoneSearch{}.Place(model, len(counts), nodes)
			}
		})
	}
}
