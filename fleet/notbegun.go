package fleet

import "time"

// An upstream may accept a request, look healthy and begin others, and not begin this
// one: its memory is full, or it has lost the request. Such a request gets another
// attempt elsewhere, which races with the first. If requests at other upstreams do not
// begin either, all are busy and a second attempt would only add to their work.

const (
	// overdueFactor is the multiple of the expected time to the first event after
	// which an attempt that has not begun is overdue.
	overdueFactor = 3
	// minBegunPerOverdue is how many attempts at other upstreams must have begun for
	// each that is overdue there.
	minBegunPerOverdue = 3
)

// isOverdue reports whether an attempt with a path has not begun long after the time
// expected.
func (t *Tables) isOverdue(request *RequestRow, now time.Time) bool {
	return !request.AnswerStarted && len(request.Hops) > 0 && now.Sub(request.SentAt) >= max(overdueFactor*request.Promised, t.Limits.MinStallTimeout)
}

// onlyItWaits reports whether the newest attempt of a request is overdue while those
// with other first hops begin. It has delivered nothing if delivered is what the caller
// had when it was sent.
func (t *Tables) onlyItWaits(request *RequestRow, delivered int, now time.Time) bool {
	if len(request.Older) > 0 || delivered > request.Delivered || !t.isOverdue(request, now) {
		return false
	}
	begun, overdue := 0, 0
	for _, other := range t.Requests.Rows {
		switch {
		case other.Service != request.Service || len(other.Hops) == 0 || other.LastUpstream == request.LastUpstream:
		case other.AnswerStarted:
			begun++
		case t.isOverdue(other, now):
			overdue++
		}
	}
	return begun >= max(1, minBegunPerOverdue*overdue)
}
