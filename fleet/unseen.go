package fleet

import (
	"time"

	"lentilmux.example/lentilmux"
)

// loadAgeIntervals is the age of the loads that a VM knows of others, in digest
// intervals: on average half of one until the sender's digest and at each of two relays,
// and as long until the next digest arrives.
const loadAgeIntervals = 2

// unseenRequests returns how many requests of other VMs each upstream of a service is
// expected to have got since its load was known. The requests that arrive in the fleet
// meanwhile are spread over the copies of the model that the upstreams hold. It is the
// same for large and small upstreams, since all VMs see the same loads and choose the
// same upstream whatever its size.
func (t *Tables) unseenRequests(service string, model *lentilmux.ModelProfile, nodes []lentilmux.PathNode, now time.Time) (requests float64) {
	layers := 0
	for i := range nodes {
		layers += nodes[i].Layers.Len()
	}
	if layers == 0 {
		return 0
	}
	own, _ := t.RetryBudgets.GetOrCreate(service).totals(now, t.Limits.RetryWindow)
	all, _ := t.fleetCounts(service, own, 0, now)
	perSecond := float64(max(all-own, 0)) / t.Limits.RetryWindow.Seconds()
	copies := float64(layers) / float64(model.Layers)
	return perSecond * loadAgeIntervals * t.digestInterval().Seconds() / copies
}
