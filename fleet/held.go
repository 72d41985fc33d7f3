package fleet

import (
	"time"

	"lentilmux.example/lentilmux"
)

// HeldRow is a request that came before this VM knew enough to decide on it.
type HeldRow struct {
	ArrivalRow
	Until time.Time
}

// knows reports whether configuration and upstreams were read since the start.
func (t *Tables) knows() bool {
	return t.Rules.Known && !t.Knowledge.Members.AsOf.IsZero()
}

// wait keeps a request that came just after the start, since a refusal would
// send its caller away for longer than the first reads take. It waits for half
// of its time at most.
func (a *Admit) wait(t *Tables, arrival ArrivalRow, now time.Time) (waits bool) {
	until := minTime(t.Self.Started.Add(t.Limits.HoldMost), now.Add(arrival.Inbound.Deadline.Sub(now)/2))
	if t.knows() || !now.Before(until) {
		return false
	}
	t.Held = append(t.Held, HeldRow{ArrivalRow: arrival, Until: until})
	t.WakeAt(until)
	return true
}

// resume decides on held requests when enough is known or their time is over.
func (a *Admit) resume(t *Tables, now time.Time) {
	kept := t.Held[:0]
	for _, row := range t.Held {
		if !t.knows() && now.Before(row.Until) {
			kept = append(kept, row)
			t.WakeAt(row.Until)
			continue
		}
		a.decide(t, row.ArrivalRow, now)
	}
	clear(t.Held[len(kept):])
	t.Held = kept
}

// forget drops a held request whose caller has gone.
func (t *Tables) forget(id lentilmux.RequestID) {
	for i := range t.Held {
		if t.Held[i].Inbound.ID == id {
			t.Held = append(t.Held[:i], t.Held[i+1:]...)
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
