package fleet

import (
	"time"

	"lentilmux.example/lentilmux"
)

// PendingRow is a request that came before this VM knew enough to decide on it.
type PendingRow struct {
	ArrivalRow
	Until time.Time
}

// knows reports whether configuration and upstreams were read since the start.
func (t *Tables) knows() bool {
	return t.Rules.Loaded && !t.Streams.Upstreams.AsOf.IsZero()
}

// wait keeps a request that came just after the start, since a refusal would
// send its caller away for longer than the first reads take. It waits for half
// of its time at most.
func (a *AdmitRequests) wait(t *Tables, arrival ArrivalRow, now time.Time) (waits bool) {
	until := minTime(t.Self.Started.Add(t.Limits.MaxPendingDuration), now.Add(arrival.Inbound.Deadline.Sub(now)/2))
	if t.knows() || !now.Before(until) {
		return false
	}
	t.Pending = append(t.Pending, PendingRow{ArrivalRow: arrival, Until: until})
	t.WakeAt(until)
	return true
}

// resume decides on held requests when enough is known or their time is over.
func (a *AdmitRequests) resume(t *Tables, now time.Time) {
	kept := t.Pending[:0]
	for _, row := range t.Pending {
		if !t.knows() && now.Before(row.Until) {
			kept = append(kept, row)
			t.WakeAt(row.Until)
			continue
		}
		a.decide(t, row.ArrivalRow, now)
	}
	clear(t.Pending[len(kept):])
	t.Pending = kept
}

// forget drops a held request whose caller has gone.
func (t *Tables) forget(id lentilmux.RequestID) {
	for i := range t.Pending {
		if t.Pending[i].Inbound.ID == id {
			t.Pending = append(t.Pending[:i], t.Pending[i+1:]...)
			return
		}
	}
}

// gone reports whether a request ended in the tick in which it came.
func (t *Tables) gone(id lentilmux.RequestID) bool {
	for i := range t.Events.Done {
		if t.Events.Done[i].Request == id {
			return true
		}
	}
	return false
}
