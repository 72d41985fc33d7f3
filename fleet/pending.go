package fleet

import (
	"time"

	"lentilmux.example/lentilmux"
)

// PendingRow is a request that arrived before the first reads of the store and
// waits for them.
type PendingRow struct {
	ArrivalRow
	Until time.Time // latest time at which the request is admitted or refused
}

// hasFirstReads reports whether configuration and upstreams have been read since
// the start.
func (t *Tables) hasFirstReads() bool {
	return t.Rules.Loaded && !t.Streams.Upstreams.AsOf.IsZero()
}

// holdPending queues a request that arrives before the first reads. A refusal
// would keep the caller away for longer than the reads take. The request waits
// until MaxPendingDuration after the start, but at most for half the time to its
// deadline.
func (a *AdmitRequests) holdPending(t *Tables, arrival ArrivalRow, now time.Time) (pending bool) {
	until := earliest(t.Self.Started.Add(t.Limits.MaxPendingDuration), now.Add(arrival.Inbound.Deadline.Sub(now)/2))
	if t.hasFirstReads() || !now.Before(until) {
		return false
	}
	t.Pending = append(t.Pending, PendingRow{ArrivalRow: arrival, Until: until})
	t.WakeAt(until)
	return true
}

// resumePending decides on queued requests once the first reads are done or
// their wait is over.
func (a *AdmitRequests) resumePending(t *Tables, now time.Time) {
	stillPending := t.Pending[:0]
	for _, row := range t.Pending {
		if !t.hasFirstReads() && now.Before(row.Until) {
			stillPending = append(stillPending, row)
			t.WakeAt(row.Until)
			continue
		}
		a.admitOrRefuse(t, row.ArrivalRow, now)
	}
	clear(t.Pending[len(stillPending):])
	t.Pending = stillPending
}

// dropPending removes a queued request whose caller has disconnected.
func (t *Tables) dropPending(id lentilmux.RequestID) {
	for i := range t.Pending {
		if t.Pending[i].Inbound.ID == id {
			t.Pending = append(t.Pending[:i], t.Pending[i+1:]...)
			return
		}
	}
}

// endedThisTick reports whether a request arrived and ended in the same tick.
func (t *Tables) endedThisTick(id lentilmux.RequestID) bool {
	for i := range t.Events.Done {
		if t.Events.Done[i].Request == id {
			return true
		}
	}
	return false
}
