package fleet

import (
	"net/netip"
	"slices"
	"time"

	"lentilmux.example/lentilmux"
)

// SendDigests tells the other entry VMs what this one has under way, and the store
// where it is. A relay passes on sums instead. It reads Members, VMs and
// Budgets.
type SendDigests struct {
	sequence  uint64
	sent      time.Time
	announced time.Time
}

// Run implements [System].
func (s *SendDigests) Run(t *Tables, now time.Time) {
	if t.Self.Addr.IsValid() && (s.announced.IsZero() || now.Sub(s.announced) >= t.Limits.AnnounceInterval) {
		s.announced = now
		t.AddEffect(lentilmux.PutEffect{
			Stream: lentilmux.StreamVMs, Key: t.Self.Name,
			VM: lentilmux.VMRecord{Name: t.Self.Name, Zone: t.Self.Zone, Addr: t.Self.Addr},
		})
	}
	due := s.sent.Add(t.Limits.DigestInterval)
	if now.Before(due) {
		t.WakeAt(due)
		return
	}
	s.sent = now
	t.WakeAt(now.Add(t.Limits.DigestInterval))
	own := s.own(t, now)
	switch {
	case !t.relayed():
		names := make([]string, 0, len(t.VMs.Rows))
		for _, vm := range t.VMs.Rows {
			names = append(names, vm.Name)
		}
		s.send(t, own, t.addrs(names, now))
	case t.isRelay(now):
		zone := s.sum(t, own, lentilmux.ScopeZone, now)
		s.send(t, zone, t.addrs(t.otherRelays(now), now))
		s.send(t, s.sum(t, own, lentilmux.ScopeFleet, now), t.addrs(t.zoneVMs(), now))
		s.send(t, own, t.addrs(t.relays(t.Self.Zone, now), now))
	default:
		s.send(t, own, t.addrs(t.relays(t.Self.Zone, now), now))
	}
}

// send numbers a digest and sends it.
func (s *SendDigests) send(t *Tables, digest lentilmux.LoadDigest, to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	s.sequence++
	digest.Sequence = s.sequence
	t.AddEffect(lentilmux.LoadDigestEffect{Digest: digest, To: to})
}

// own lists the upstreams with work of this VM, or of which it has news.
func (s *SendDigests) own(t *Tables, now time.Time) (d lentilmux.LoadDigest) {
	d = lentilmux.LoadDigest{
		VM: t.Self.Name, VMCount: 1, Zone: t.Self.Zone, Addr: t.Self.Addr, Incarnation: t.Self.Incarnation,
		Draining: t.Self.Draining, Stale: t.ConfigStale(now),
	}
	for _, row := range t.Upstreams.Rows {
		slow := 0.0
		if now.Sub(row.ReportedAt) < t.Limits.MaxReportAge {
			slow = row.Slowdown
		}
		if row.OwnLoad.Streams > 0 || slow > 0 {
			d.Loads = append(d.Loads, lentilmux.UpstreamLoad{
				Upstream: row.ID, Streams: row.OwnLoad.Streams, PendingPromptTokens: row.OwnLoad.PendingPromptTokens, Reserved: row.OwnLoad.Reserved, Slowdown: slow,
			})
		}
		if row.Dead && !row.ReportedByPeer {
			d.Suspects = append(d.Suspects, row.ID)
		}
	}
	for _, budget := range t.RetryBudgets.Rows {
		if requests, repeats := budget.sums(now, t.Limits.RetryWindow); requests+repeats > 0 {
			d.RetryCounts = append(d.RetryCounts, lentilmux.RetryCounts{Service: budget.Service, Requests: requests, Retries: repeats})
		}
	}
	return d
}

// sum adds what other VMs told to this one's own digest: those of the zone, or
// all, of which other zones come as sums.
func (s *SendDigests) sum(t *Tables, own lentilmux.LoadDigest, scope lentilmux.DigestScope, now time.Time) (d lentilmux.LoadDigest) {
	d = own
	d.Scope = scope
	d.Loads, d.RetryCounts, d.Suspects = slices.Clone(own.Loads), slices.Clone(own.RetryCounts), slices.Clone(own.Suspects)
	at := make(map[string]int, len(d.Loads))
	for i, load := range d.Loads {
		at[load.Upstream] = i
	}
	for _, vm := range t.sources(now) {
		if scope == lentilmux.ScopeZone && vm.Zone != t.Self.Zone {
			continue
		}
		d.VMCount += vm.VMCount
		addLoads(&d, at, vm.Loads)
		addSends(&d, vm.RetryCounts)
		for _, id := range vm.Suspects {
			if !slices.Contains(d.Suspects, id) {
				d.Suspects = append(d.Suspects, id)
			}
		}
	}
	return d
}

// addLoads adds loads to a digest by upstream.
func addLoads(d *lentilmux.LoadDigest, at map[string]int, loads []lentilmux.UpstreamLoad) {
	for _, load := range loads {
		i, ok := at[load.Upstream]
		if !ok {
			at[load.Upstream] = len(d.Loads)
			d.Loads = append(d.Loads, load)
			continue
		}
		sum := &d.Loads[i]
		sum.Streams += load.Streams
		sum.PendingPromptTokens += load.PendingPromptTokens
		sum.Reserved += load.Reserved
		sum.Slowdown = max(sum.Slowdown, load.Slowdown)
	}
}

// addSends adds counts to a digest by service.
func addSends(d *lentilmux.LoadDigest, sends []lentilmux.RetryCounts) {
	for _, s := range sends {
		i := slices.IndexFunc(d.RetryCounts, func(known lentilmux.RetryCounts) bool { return known.Service == s.Service })
		if i < 0 {
			d.RetryCounts = append(d.RetryCounts, s)
			continue
		}
		d.RetryCounts[i].Requests += s.Requests
		d.RetryCounts[i].Retries += s.Retries
	}
}
