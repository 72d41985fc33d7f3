package placement

import "lentilmux.example/lentilmux"

// EstimateZone returns the requests per second that a zone is estimated to serve.
func EstimateZone(model *lentilmux.ModelProfile, nodes []lentilmux.RangeNode, ranges []lentilmux.LayerRange, zone int) (requestsPerSecond float64) {
	var members []lentilmux.RangeNode
	var held []lentilmux.LayerRange
	for i, n := range nodes {
		if n.Zone == zone {
			members, held = append(members, n), append(held, ranges[i])
		}
	}
	return newZoneRate(model, members).estimate(held, noneLost)
}
