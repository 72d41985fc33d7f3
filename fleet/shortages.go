package fleet

import (
	"fmt"
	"time"

	"lentilmux.example/lentilmux"
)

// ShortageRow is the most urgent priority of a service's requests that lately found no
// room on any VM.
type ShortageRow struct {
	Service  lentilmux.ServiceHash
	Priority int
	At       time.Time // when a request of that priority last found none
}

// Shortages is the table of shortages. It has at most one row for each service of the
// configuration.
type Shortages struct {
	Rows []ShortageRow
}

const (
	// digestTransit is added to the age of a shortage with each digest that passes it on,
	// for the time that the digest was under way. A shortage therefore cannot be passed on
	// without end.
	digestTransit = 20 * time.Millisecond
	// maxTickGap is the longest time between two ticks of a VM that runs. After a longer
	// one the VM was frozen.
	maxTickGap = 2 * maxTickInterval
	// staleDigestDuration is the time after a freeze in which digests may still arrive
	// that waited for this VM, and whose ages do not count that.
	staleDigestDuration = 300 * time.Millisecond
)

// find returns the row of a service, or nil if there is none.
func (s *Shortages) find(service lentilmux.ServiceHash) *ShortageRow {
	for i := range s.Rows {
		if s.Rows[i].Service == service {
			return &s.Rows[i]
		}
	}
	return nil
}

// record adds what is known of a service to its row, in which the more urgent priority
// stays until it is old. It reports whether the priority is a new one.
func (s *Shortages) record(found ShortageRow, now time.Time, maxAge time.Duration) (isNew bool) {
	if now.Sub(found.At) >= maxAge {
		return false
	}
	row := s.find(found.Service)
	if row == nil {
		s.Rows = append(s.Rows, found)
		return true
	}
	old := now.Sub(row.At) >= maxAge
	switch {
	case found.Priority == row.Priority:
		if found.At.After(row.At) {
			row.At = found.At
		}
		return old
	case found.Priority < row.Priority, old:
		*row = found
		return true
	default:
		return false
	}
}

// shortageDuration returns the age from which on a shortage counts no more.
func (t *Tables) shortageDuration() (age time.Duration) {
	return min(t.Limits.ShortageDuration, t.Limits.PeerTimeout)
}

// isShort reports whether a shortage counts.
func (t *Tables) isShort(row *ShortageRow, now time.Time) bool {
	return now.Sub(row.At) < t.shortageDuration()
}

// recordShortage records a shortage of a service, and logs it if it is a new one.
func (t *Tables) recordShortage(service string, priority int, at time.Time, source string, now time.Time) {
	row := ShortageRow{Service: lentilmux.HashService(service), Priority: priority, At: at}
	if t.Shortages.record(row, now, t.shortageDuration()) {
		t.RecordDecision(lentilmux.Decision{What: "room_short", Subject: service, Chosen: fmt.Sprintf("priority %d", priority), Reason: fmt.Sprintf("found no room %dms ago, %s", now.Sub(at).Milliseconds(), source)})
	}
}

// shortageWaitFraction is the fraction of its wait for room after which a request counts
// as one that found none. Most requests that wait get room earlier, and less urgent ones
// that left room to them on all VMs would leave upstreams idle.
const shortageWaitFraction = 0.5

// noteShortage records that a request found no room, if there are less urgent ones that
// could leave room to it.
func (t *Tables) noteShortage(service string, priority int, id lentilmux.RequestID, now time.Time) {
	inUse := t.Rules.prioritiesByService[service]
	if !t.Rules.ranksRequests(service) || priority >= inUse[len(inUse)-1] || !t.hasLayers(service) {
		return
	}
	t.recordShortage(service, priority, now, "request "+string(id), now)
}

// noteLongWait records that a request found no room for shortageWaitFraction of its wait.
// One that leaves room to others, or waits for the end of a back-off, says nothing of room.
func (t *Tables) noteLongWait(row *PendingRow, now time.Time) {
	if row.ForRoom && !row.isDeferred() && row.RetryAt.IsZero() && !now.Before(row.longWaitAt()) {
		t.noteShortage(row.Service, row.Priority, row.Inbound.ID, now)
	}
}

// longWaitAt returns when a request has waited for room for shortageWaitFraction of its
// wait.
func (r *PendingRow) longWaitAt() (at time.Time) {
	return r.Inbound.ReceivedAt.Add(time.Duration(shortageWaitFraction * float64(r.Until.Sub(r.Inbound.ReceivedAt))))
}

// ApplyShortages records the shortages that peers tell of, and forgets old ones. It reads
// Events.Digests and Rules and writes Shortages.
type ApplyShortages struct {
	lastRunAt   time.Time
	ignoreUntil time.Time // digests before may be older than they say
}

// Run implements [System].
func (a *ApplyShortages) Run(t *Tables, now time.Time) {
	if !a.lastRunAt.IsZero() && now.Sub(a.lastRunAt) > maxTickGap {
		a.ignoreUntil = now.Add(staleDigestDuration)
	}
	a.lastRunAt = now
	a.forgetOld(t, now)
	if now.Before(a.ignoreUntil) {
		return
	}
	for _, digest := range t.Events.Digests {
		if digest.VM == t.Self.Name {
			continue
		}
		for _, shortage := range digest.Shortages {
			service := t.Rules.serviceByHash(shortage.Service)
			if t.Rules.ranksRequests(service) && shortage.Priority >= 0 {
				t.recordShortage(service, shortage.Priority, now.Add(-max(shortage.Age, 0)-digestTransit), "reported by "+digest.VM, now)
			}
		}
	}
}

// forgetOld removes the shortages that have ended.
func (a *ApplyShortages) forgetOld(t *Tables, now time.Time) {
	kept := t.Shortages.Rows[:0]
	for _, row := range t.Shortages.Rows {
		if !t.isShort(&row, now) {
			t.RecordDecision(lentilmux.Decision{What: "room_short_ended", Subject: t.Rules.serviceByHash(row.Service), Chosen: fmt.Sprintf("priority %d", row.Priority), Reason: fmt.Sprintf("last found no room %dms ago", now.Sub(row.At).Milliseconds())})
			continue
		}
		kept = append(kept, row)
	}
	t.Shortages.Rows = kept
}

// serviceByHash returns the name of the service of the configuration with a hash, or an
// empty string if there is none.
func (r *Rules) serviceByHash(hash lentilmux.ServiceHash) (name string) {
	for i := range r.Services {
		if lentilmux.HashService(r.Services[i].Name) == hash {
			return r.Services[i].Name
		}
	}
	return ""
}

// knownShortages returns the shortages to tell peers of.
func (t *Tables) knownShortages(now time.Time) (shortages []lentilmux.ServiceShortage) {
	for _, row := range t.Shortages.Rows {
		if t.isShort(&row, now) {
			shortages = append(shortages, lentilmux.ServiceShortage{Service: row.Service, Priority: row.Priority, Age: now.Sub(row.At)})
		}
	}
	return shortages
}
