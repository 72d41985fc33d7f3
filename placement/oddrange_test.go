package placement_test

import (
	"math"
	"testing"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/placement"
)

// TestPlaceWithRangesBeyondModel guards against a process that ends because an
// upstream claims layers that the model does not have: the range is an index, and
// its length goes into the size of the KV cache.
func TestPlaceWithRangesBeyondModel(t *testing.T) {
	model := fleetModel()
	for _, odd := range []lentilmux.LayerRange{
		{First: 0, Last: model.Layers},
		{First: model.Layers - 1, Last: model.Layers + 5},
		{First: model.Layers, Last: 2 * model.Layers},
		{First: 0, Last: math.MaxInt - 1},
		{First: math.MaxInt - 2, Last: math.MaxInt - 1},
	} {
		nodes := fleetNodes(model, [][3]int{{1, 5, 6}})
		nodes[0].Pinned, nodes[0].Layers = true, odd
		for name, place := range map[string]lentilmux.RangePlacement{"balanced": placement.ZoneBalanced{}, "search": placement.ZoneSearch{}} {
			ranges := place.Place(model, 1, nodes)
			if ranges[0] != odd {
				t.Errorf("%s: pinned range %v became %v", name, odd, ranges[0])
			}
			for i, layers := range ranges[1:] {
				if layers.First < 0 || layers.Last >= model.Layers || layers.Len() < 1 {
					t.Errorf("%s, beside %v: node %d got %v", name, odd, i+1, layers)
				}
			}
		}
	}
}
