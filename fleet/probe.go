package fleet

import (
	"time"

	"lentilmux.example/lentilmux"
)

// ProbeUpstreams asks upstreams that hold layers how slow they are. The VMs share the
// work: each upstream is asked by one of them, and its answer goes out with the
// load digests. It reads VMs and writes Members.
type ProbeUpstreams struct{}

// Run implements [System].
func (p *ProbeUpstreams) Run(t *Tables, now time.Time) {
	if t.Self.Draining || !t.Rules.Loaded {
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
