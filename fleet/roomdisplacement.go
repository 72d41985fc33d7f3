package fleet

import (
	"time"

	"lentilmux.example/lentilmux"
)

// displaceWaiter refuses the request to the same service that would get room last, if the
// given one would get it earlier, and reports whether it did. Else a burst of less urgent
// requests could take all places of those that may wait for room.
func (a *AdmitRequests) displaceWaiter(t *Tables, row *PendingRow, request *RequestRow, now time.Time) (displaced bool) {
	if !t.Rules.ranksRequests(request.Service) && !request.Returning {
		return false
	}
	newest, _ := t.rankPending(row, now)
	last, index := newest, -1
	for i := range t.Pending {
		waiter := &t.Pending[i]
		if !waiter.ForRoom || waiter.Service != request.Service {
			continue
		}
		if ranked, _ := t.rankPending(waiter, now); a.Shortage.Compare(last, ranked) < 0 {
			last, index = ranked, i
		}
	}
	if index < 0 {
		return false
	}
	waiter := t.Pending[index]
	t.Pending = append(t.Pending[:index], t.Pending[index+1:]...)
	a.refuseWaiter(t, &waiter, request, now)
	return true
}

// refuseWaiter refuses a request that waited for room, in favor of another one.
func (a *AdmitRequests) refuseWaiter(t *Tables, waiter *PendingRow, other *RequestRow, now time.Time) {
	refused, refusal := a.admit(t, &waiter.Inbound, now)
	if refusal == nil {
		refusal = a.adjustOutcome(refused, t.noRoomRefusal(refused, "its place to wait for room went to "+string(other.ID), now))
		t.countDecided(refused, false, now)
		t.noteRefused(refused, refusal, now)
	}
	t.RecordDecision(lentilmux.Decision{What: "waiter_displaced", Subject: string(waiter.Inbound.ID), Chosen: string(other.ID), Reason: "it goes first, and as many requests wait for room as may"})
	a.refuse(t, waiter.Inbound.ID, waiter.CorrelationID, refusal, now)
}
