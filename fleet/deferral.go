package fleet

import (
	"fmt"
	"time"

	"lentilmux.example/lentilmux"
)

// deferredMemoryUse is the fraction of KV cache that is in use at most on the path of a
// request that left room to others and is sent at the end of its wait. What is left
// beyond is kept for the more urgent requests.
const deferredMemoryUse = 0.85

// sendOrDefer sends the first attempt of a request, unless it has to leave room to more
// urgent requests. It returns why the request was not sent.
func (a *AdmitRequests) sendOrDefer(t *Tables, request *RequestRow, row *PendingRow, now time.Time) (refusal *lentilmux.Refusal) {
	short := a.deferringShortage(t, request, now)
	lastTry := t.Limits.DeferredLastTry && row.isDeferred() && !now.Before(row.Until)
	row.DeferredUntil, row.DeferredFor = time.Time{}, 0
	if short != nil && !lastTry {
		row.DeferredUntil, row.DeferredFor = short.At.Add(t.shortageDuration()), short.Priority
		return a.adjustOutcome(request, t.noRoomRefusal(request, fmt.Sprintf("room of %s is kept for priority %d", request.Service, short.Priority), now))
	}
	request.MaxMemoryUse = 0
	if short != nil {
		request.MaxMemoryUse = deferredMemoryUse
	}
	t.Requests.Put(request)
	if refusal = a.sendAttempt(t, request, row.CorrelationID, now); refusal != nil {
		t.Requests.Remove(request.ID)
	}
	return refusal
}

// deferringShortage returns the shortage because of which a request is not admitted at
// the moment, or nil if it may be. A request that is forwarded to a peer is admitted
// there.
func (a *AdmitRequests) deferringShortage(t *Tables, request *RequestRow, now time.Time) (short *ShortageRow) {
	if !t.Rules.ranksRequests(request.Service) || !t.hasLayers(request.Service) || t.forwards(request) {
		return nil
	}
	row := t.Shortages.find(lentilmux.HashService(request.Service))
	if row == nil || !t.isShort(row, now) {
		return nil
	}
	if a.Shortage.Admits(t.shortageRequest(request.Service, request.Priority, request.Returning, request.ReceivedAt, now), row.Priority) {
		return nil
	}
	return row
}

// isDeferred reports whether a request waits since it has to leave room to others.
func (r *PendingRow) isDeferred() bool { return !r.DeferredUntil.IsZero() }

// describeRoomWait returns why a request waits for room, for the log.
func (r *PendingRow) describeRoomWait(service string) (text string) {
	if r.isDeferred() {
		return fmt.Sprintf("room of %s is kept for priority %d", service, r.DeferredFor)
	}
	return "no upstream of " + service + " has room"
}
