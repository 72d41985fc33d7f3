package fleet

import (
	"slices"
	"time"

	"lentilmux.example/lentilmux"
)

const (
	// departureRetention is how long a departure is remembered: longer than the age
	// of any copy from which the store is restored.
	departureRetention = 5 * time.Minute
	// maxDepartures bounds the remembered departures. The oldest one makes room.
	maxDepartures = 4096
	// departedDuration is how long an upstream that had left is not used after a
	// restored store lists it again. Its entry expires sooner if it is gone.
	departedDuration = 10 * time.Second
)

// Departure is an upstream's process whose entry was removed from the store. A store
// that is restored from an earlier copy lists such an entry again.
type Departure struct {
	ID        string
	StartedAt time.Time // of the process
	Drained   bool      // whether it had announced a drain
	At        time.Time
}

// Departures is the table of departures, oldest first.
type Departures struct {
	Rows []Departure
}

// add adds the departure of an upstream.
func (d *Departures) add(row *UpstreamRow, now time.Time) {
	expired := 0
	for expired < len(d.Rows) && (now.Sub(d.Rows[expired].At) > departureRetention || len(d.Rows)-expired >= maxDepartures) {
		expired++
	}
	d.Rows = slices.Delete(d.Rows, 0, expired)
	d.Rows = append(d.Rows, Departure{ID: row.ID, StartedAt: row.StartedAt, Drained: row.Draining && !row.hasDeparted(), At: now})
}

// find returns the last departure of the process that wrote a record, or of a later
// process of that upstream, or nil if there was none.
func (d *Departures) find(record *lentilmux.UpstreamRecord) *Departure {
	for i, departure := range slices.Backward(d.Rows) {
		if departure.ID == record.ID && !departure.StartedAt.Before(record.StartedAt) {
			return &d.Rows[i]
		}
	}
	return nil
}

// forget removes the departures of an upstream.
func (d *Departures) forget(id string) {
	d.Rows = slices.DeleteFunc(d.Rows, func(departure Departure) bool { return departure.ID == id })
}

// hasDeparted reports whether the upstream is not used since it had left before the
// store was restored.
func (u *UpstreamRow) hasDeparted() bool { return !u.DepartedUntil.IsZero() }

// departureOf tells whether the process that wrote an entry has left: for good, since
// it announced a drain, or until a later entry says that it is ready, since its entry
// was removed before the store was restored from a copy that has it. Both are false for
// an entry that announces a drain itself.
func (t *Tables) departureOf(row *UpstreamRow, read upstreamRead) (drained, departed bool) {
	left := t.Departures.find(&read.record)
	sameProcess := row != nil && row.StartedAt.Equal(read.record.StartedAt)
	switch {
	case read.record.Draining:
		return false, false
	case sameProcess && row.Draining && !row.hasDeparted(), left != nil && left.Drained:
		return true, false
	case sameProcess && row.hasDeparted():
		return false, read.restored || read.position.Compare(row.Position) <= 0
	case !read.restored:
		return false, false
	}
	return false, left != nil || sameProcess && !row.ExpiresAt.IsZero()
}

// endDepartures ends the departures of upstreams whose entries are still in the store
// after departedDuration: they are alive.
func (t *Tables) endDepartures(now time.Time) {
	for _, row := range t.Upstreams.Rows {
		switch {
		case !row.hasDeparted():
		case now.Before(row.DepartedUntil):
			t.WakeAt(row.DepartedUntil)
		default:
			row.DepartedUntil, row.Draining = time.Time{}, false
			t.Departures.forget(row.ID)
			t.RecordDecision(lentilmux.Decision{What: "upstream_returned", Subject: row.ID, Reason: "its entry is still in the store"})
		}
	}
}
