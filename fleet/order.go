package fleet

import (
	"time"

	"lentilmux.example/lentilmux"
)

// SendOrders orders upstreams to load their target layers. An order names the
// number of orders that the upstream has accepted so far, so that the upstream
// refuses delayed and duplicate orders. Only the leader sends orders. It reads
// VMs and Streams and writes Upstreams and ProbeBucket.
type SendOrders struct{}

// Run implements [System].
func (s *SendOrders) Run(t *Tables, now time.Time) {
	if !t.IsLeader(now) {
		return
	}
	for _, row := range t.Upstreams.Rows {
		if row.StateUnknown && now.Sub(row.ProbedAt) >= t.Limits.OrderTimeout {
			row.ProbedAt = time.Time{}
			t.probe(row, now)
		}
		if !row.isLoading() || row.StateUnknown && row.HasLayers {
			continue // an order that does not name the number of orders accepted would be refused
		}
		if !row.OrderedAt.IsZero() {
			if retryAt := row.OrderedAt.Add(t.Limits.OrderTimeout); now.Before(retryAt) {
				t.WakeAt(retryAt)
			} else if now.Sub(row.ProbedAt) >= t.Limits.OrderTimeout {
				// The upstream's report shows whether the order took effect.
				row.ProbedAt = now
				t.AddEffect(lentilmux.FetchReportEffect{Upstream: row.ID, Addr: row.Addr})
			}
			continue
		}
		row.OrderedAt = now
		t.AddEffect(lentilmux.RangeOrderEffect{
			Upstream: row.ID, Addr: row.Addr, Order: lentilmux.RangeOrder{Layers: row.Target, ExpectedOrders: row.AcceptedOrders},
		})
		t.WakeAt(now.Add(t.Limits.OrderTimeout))
	}
}
