package fleet

import (
	"time"

	"lentilmux.example/lentilmux"
)

// SendOrders tells upstreams to hold what they should. An order names how many the
// upstream has accepted before, so that one that is late or given twice is
// refused. It reads VMs and writes Members.
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
		if !row.HasTarget || row.HasLayers && row.Layers == row.Target {
			continue
		}
		if !row.OrderedAt.IsZero() {
			if retryAt := row.OrderedAt.Add(t.Limits.OrderTimeout); now.Before(retryAt) {
				t.WakeAt(retryAt)
			} else if now.Sub(row.ProbedAt) >= t.Limits.OrderTimeout {
				// What became of the order is told by the upstream's report.
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
