package fleet

import (
	"net/netip"
	"time"

	"lentilmux.example/lentilmux"
)

// Share tells the other entry VMs what this one has under way, and the store
// where it is. It reads Members and VMs.
type Share struct {
	sequence  uint64
	sent      time.Time
	announced time.Time
	next      int // index of the VM that gets the next digest first
}

// Run implements [System].
func (s *Share) Run(t *Tables, now time.Time) {
	if t.Self.Addr.IsValid() && (s.announced.IsZero() || now.Sub(s.announced) >= t.Limits.AnnounceEvery) {
		s.announced = now
		t.Add(lentilmux.PutEffect{
			Stream: lentilmux.StreamVMs, Key: t.Self.Name,
			VM: lentilmux.VMRecord{Name: t.Self.Name, Zone: t.Self.Zone, Addr: t.Self.Addr},
		})
	}
	due := s.sent.Add(t.Limits.ShareEvery)
	if now.Before(due) {
		t.WakeAt(due)
		return
	}
	s.sent = now
	t.WakeAt(now.Add(t.Limits.ShareEvery))
	to := s.receivers(t)
	if len(to) == 0 {
		return
	}
	s.sequence++
	t.Add(lentilmux.LoadDigestEffect{Digest: s.digest(t, now), To: to})
}

// digest lists the upstreams with work of this VM, or of which it has news.
func (s *Share) digest(t *Tables, now time.Time) (d lentilmux.LoadDigest) {
	d = lentilmux.LoadDigest{
		VM: t.Self.Name, Zone: t.Self.Zone, Addr: t.Self.Addr, Incarnation: t.Self.Incarnation, Sequence: s.sequence,
		Draining: t.Self.Draining, Stale: t.Stale(now),
	}
	for _, row := range t.Members.Rows {
		slow := 0.0
		if now.Sub(row.ReportedAt) < t.Limits.ReportUntilOld {
			slow = row.Slow
		}
		if row.Own.Streams > 0 || slow > 0 {
			d.Loads = append(d.Loads, lentilmux.UpstreamLoad{
				Upstream: row.ID, Streams: row.Own.Streams, Waiting: row.Own.Waiting, Reserved: row.Own.Reserved, Slow: slow,
			})
		}
		if row.Dead && !row.Hearsay {
			d.Suspects = append(d.Suspects, row.ID)
		}
	}
	for _, budget := range t.Budgets.Rows {
		requests, repeats := budget.sums(now, t.Limits.RetryWindow)
		if requests+repeats > 0 {
			d.Sends = append(d.Sends, lentilmux.ServiceSends{Service: budget.Service, Requests: requests, Repeats: repeats})
		}
	}
	return d
}

// receivers returns the VMs that get a digest: all of a small fleet, in turn of
// a large one.
func (s *Share) receivers(t *Tables) (to []netip.AddrPort) {
	count := len(t.VMs.Rows)
	for range min(count, t.Limits.ShareToMost) {
		s.next = (s.next + 1) % count
		if addr := t.VMs.Rows[s.next].Addr; addr.IsValid() {
			to = append(to, addr)
		}
	}
	return to
}
