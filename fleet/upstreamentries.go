package fleet

import (
	"fmt"
	"time"

	"lentilmux.example/lentilmux"
)

// upstreamRead is an upstream's entry as it was read.
type upstreamRead struct {
	record   lentilmux.UpstreamRecord
	position lentilmux.LogPosition
	restored bool // whether it is in the first listing after a restore of the store, which may be outdated
}

// applyUpstream applies an upstream's entry. If the start time shows a new
// process, the orders, suspicion, ejection and slowdown of the previous process
// are discarded.
func (a *ApplyStoreUpdates) applyUpstream(t *Tables, read upstreamRead, now time.Time) {
	record := read.record
	row := t.Upstreams.Find(record.ID)
	if row != nil && read.position.Compare(row.Position) < 0 {
		return
	}
	known := row != nil
	if known && read.restored && record.StartedAt.Before(row.StartedAt) {
		a.expireUpstream(t, row, now) // the copy lacks the entry of its present process
		return
	}
	drained, departed := t.departureOf(row, read)
	record.Draining = record.Draining || drained || departed
	restarted := known && !row.StartedAt.Equal(record.StartedAt)
	startsDraining := record.Draining && (!known || !row.Draining)
	returned := known && row.hasDeparted() && !departed && !restarted && !read.record.Draining
	hadLayers, previousLayers := known && row.HasLayers, lentilmux.LayerRange{}
	if known {
		previousLayers = row.Layers
	}
	row = t.Upstreams.Upsert(record)
	row.Position, row.ExpiresAt, row.EntryReadAt = read.position, time.Time{}, now
	switch {
	case !departed:
		row.DepartedUntil = time.Time{}
	case read.restored || !row.hasDeparted():
		row.DepartedUntil = now.Add(departedDuration)
	}
	if !row.Draining {
		t.Departures.forget(row.ID)
	}
	if !known {
		row.FirstSeenAt = now
	}
	if restarted {
		row.HasTarget, row.StateUnknown, row.AcceptedOrders, row.OrderedAt = false, false, 0, time.Time{}
		row.SuspectUntil, row.SuspectDuration, row.MissedProbes, row.Dead, row.Ended, row.Slowdown = time.Time{}, 0, 0, false, false, 1
		row.OwnSpeed, row.Speed, row.LoggedStep = SpeedState{}, lentilmux.UpstreamSpeed{}, 0
		row.endEjection()
		row.RequestLimit = RequestLimitState{SeenAt: now}
	}
	t.Zones.Index(row.Zone)
	switch {
	case drained && (startsDraining || read.restored), departed:
		t.RecordDecision(lentilmux.Decision{What: "upstream_leaving", Subject: row.ID, Reason: "its process left before, its entry says that it is ready"})
	case returned:
		t.RecordDecision(lentilmux.Decision{What: "upstream_returned", Subject: row.ID, Reason: "a later entry says that it is ready"})
	case !known || restarted:
		t.RecordDecision(lentilmux.Decision{What: "upstream_registered", Subject: row.ID, Chosen: row.Addr.String(), Reason: fmt.Sprintf("service %s zone %s accelerator %s", row.Service, row.Zone, row.Accelerator)})
	case startsDraining:
		t.RecordDecision(lentilmux.Decision{What: "upstream_leaving", Subject: row.ID, Reason: "drain announced"})
	case row.HasLayers != hadLayers || previousLayers != row.Layers:
		t.RecordDecision(lentilmux.Decision{What: "layers_registered", Subject: row.ID, Chosen: formatLayers(row.Layers, row.HasLayers), Reason: "store entry, previously " + formatLayers(previousLayers, hadLayers)})
	}
}

// applyDeletion expires an upstream whose entry was deleted, unless a newer entry is
// known.
func (a *ApplyStoreUpdates) applyDeletion(t *Tables, id string, position lentilmux.LogPosition, now time.Time) {
	if row := t.Upstreams.Find(id); row != nil && position.Compare(row.Position) >= 0 {
		a.expireUpstream(t, row, now)
	}
}

// expireUpstream handles a missing entry of an upstream. The expiry usually takes
// effect immediately. After the store became reachable again or was restored, it is
// delayed until the end of StoreRecoveryGrace, since upstreams may still be writing
// their entries again.
func (a *ApplyStoreUpdates) expireUpstream(t *Tables, row *UpstreamRow, now time.Time) {
	if !row.ExpiresAt.IsZero() {
		return
	}
	row.ExpiresAt = now
	reason := "store entry removed"
	if t.storeRecovering(now, t.Limits.StoreRecoveryGrace) {
		row.ExpiresAt = t.Streams.Upstreams.RecoveredAt.Add(t.Limits.StoreRecoveryGrace)
		reason = "store entry missing after an outage or restore of the store"
	}
	t.RecordDecision(lentilmux.Decision{What: "upstream_expired", Subject: row.ID, Reason: reason})
}

// expireUnlisted expires the upstreams that a complete listing of the stream
// does not contain.
func (a *ApplyStoreUpdates) expireUnlisted(t *Tables, listed map[string]bool, now time.Time) {
	for _, row := range t.Upstreams.Rows {
		if !listed[row.ID] {
			a.expireUpstream(t, row, now)
		}
	}
}

// removeExpired removes the rows of upstreams whose expiry has taken effect.
func (a *ApplyStoreUpdates) removeExpired(t *Tables, now time.Time) {
	for i := len(t.Upstreams.Rows) - 1; i >= 0; i-- {
		row := t.Upstreams.Rows[i]
		if row.ExpiresAt.IsZero() {
			continue
		}
		if now.Before(row.ExpiresAt) {
			t.WakeAt(row.ExpiresAt)
			continue
		}
		t.Departures.add(row, now)
		t.Upstreams.Remove(row.ID)
	}
}
