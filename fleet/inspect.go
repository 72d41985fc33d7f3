package fleet

import (
	"time"

	"lentilmux.example/lentilmux"
)

// Inspect asks upstreams that hold layers how slow they are. The VMs share the
// work: each upstream is asked by one of them, and its answer goes out with the
// load digests. It reads VMs and writes Members.
type Inspect struct{}

// Run implements [System].
func (i *Inspect) Run(t *Tables, now time.Time) {
	if t.Self.Draining || !t.Rules.Known {
		return
	}
	place, count, ok := t.rank(now)
	if !ok {
		return
	}
	for _, row := range t.Members.Rows {
		if !row.Held || !row.Usable(now) || int(lentilmux.FingerprintOf(row.ID)%lentilmux.Fingerprint(count)) != place {
			continue
		}
		if due := row.AskedAt.Add(t.Limits.InspectEvery); now.Before(due) {
			continue
		}
		row.AskedAt = now
		t.Add(lentilmux.ReportEffect{Upstream: row.ID, Addr: row.Addr})
	}
}
