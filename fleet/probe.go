package fleet

import (
	"time"

	"lentilmux.example/lentilmux"
)

// ProbeUpstreams probes the upstreams that hold layers at each ProbeInterval to
// fetch their slowdown. The VMs share the work: each upstream is probed by one of
// them, and the load digests carry its slowdown to the others. It reads Self,
// Rules and VMs and writes Upstreams.
type ProbeUpstreams struct{}

// Run implements [System].
func (p *ProbeUpstreams) Run(t *Tables, now time.Time) {
	if t.Self.Draining || !t.Rules.Loaded || !t.trustsLinks() {
		return
	}
	rank, count, ok := t.proberRank(now)
	if !ok {
		return
	}
	for _, row := range t.Upstreams.Rows {
		if !row.HasLayers || !row.Usable(now) || int(lentilmux.ComputeFingerprint(row.ID)%lentilmux.Fingerprint(count)) != rank {
			continue
		}
		if due := row.ProbedAt.Add(t.Limits.ProbeInterval); now.Before(due) {
			continue
		}
		row.ProbedAt = now
		t.AddEffect(lentilmux.FetchReportEffect{Upstream: row.ID, Addr: row.Addr})
	}
}
