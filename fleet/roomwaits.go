package fleet

import (
	"time"

	"lentilmux.example/lentilmux"
)

const (
	// callerPatience is the time without an event after which callers leave a stream.
	callerPatience = 2 * time.Second
	// callerPatienceMargin covers what the estimate of the time to the first event does
	// not: the network, and work that arrives at the upstreams meanwhile.
	callerPatienceMargin = 300 * time.Millisecond
)

// roomWaitEnd returns until when a request may wait for room: until RoomWaitFraction of its
// route's latency target has passed. A caller that returns has no further try, so that a
// late answer is better than none: it may wait as long as the first event still comes
// within its patience. firstEvent is the expected time to that event on idle upstreams.
func (t *Tables) roomWaitEnd(request *RequestRow, firstEvent time.Duration) (until time.Time) {
	wait := time.Duration(t.Limits.RoomWaitFraction * float64(request.Route.FirstByteTarget))
	if request.Returning && request.Route.Kind.Streams() {
		longest := callerPatience - callerPatienceMargin - max(firstEvent, request.Route.FirstByteTarget)
		wait = max(wait, min(longest, request.Deadline.Sub(request.ReceivedAt)/2))
	}
	return request.ReceivedAt.Add(wait)
}

// recognizeReturn notes whether the caller of a request that was just admitted was refused
// for want of room before, and logs it.
func (t *Tables) recognizeReturn(request *RequestRow, row *PendingRow, now time.Time) {
	if !row.Admitted {
		row.Returning = t.hasLayers(request.Service) && t.RefusedRequests.Expects(request.Fingerprint, now)
		if row.Returning {
			t.RecordDecision(lentilmux.Decision{What: "caller_returned", Subject: string(request.ID), Chosen: "first of its priority", Reason: "was refused for want of room"})
		}
	}
	request.Returning = row.Returning
}
