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

// hasFirstReads reports whether configuration and upstreams were read since the start.
func (t *Tables) hasFirstReads() bool {
	return t.Rules.Loaded && !t.Streams.Upstreams.AsOf.IsZero()
}

// holdPending keeps a request that came just after the start, since a refusal would
// send its caller away for longer than the first reads take. It waits for half
// of its time at most.
func (a *AdmitRequests) holdPending(t *Tables, arrival ArrivalRow, now time.Time) (pending bool) {
	until := earliest(t.Self.Started.Add(t.Limits.MaxPendingDuration), now.Add(arrival.Inbound.Deadline.Sub(now)/2))
	if t.hasFirstReads() || !now.Before(until) {
		return false
	}
	t.Pending = append(t.Pending, PendingRow{ArrivalRow: arrival, Until: until})
	t.WakeAt(until)
	return true
}

// resumePending decides on held requests when enough is known or their time is over.
func (a *AdmitRequests) resumePending(t *Tables, now time.Time) {
	kept := t.Pending[:0]
	for _, row := range t.Pending {
		if !t.hasFirstReads() && now.Before(row.Until) {
			kept = append(kept, row)
			t.WakeAt(row.Until)
			continue
		}
		a.admitOrRefuse(t, row.ArrivalRow, now)
	}
	clear(t.Pending[len(kept):])
	t.Pending = kept
}

// dropPending drops a held request whose caller has gone.
func (t *Tables) dropPending(id lentilmux.RequestID) {
	for i := range t.Pending {
		if t.Pending[i].Inbound.ID == id {
			t.Pending = append(t.Pending[:i], t.Pending[i+1:]...)
			return
		}
	}
}

// endedThisTick reports whether a request ended in the tick in which it came.
func (t *Tables) endedThisTick(id lentilmux.RequestID) bool {
	for i := range t.Events.Done {
		if t.Events.Done[i].Request == id {
			return true
		}
	}
	return false
}
