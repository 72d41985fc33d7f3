package fleet

import "time"

// An upstream may accept a request, look healthy and begin others, and not begin this
// one: its memory is full, or it has lost the request. Such a request gets another
// attempt elsewhere, which races with the first. If requests at other upstreams do not
// begin either, or upstreams refuse requests for lack of room, a second attempt would
// only add to their work.

const (
	// stallFactor is the multiple of the expected time to the first event after which
	// an attempt without one is reported as stalled, within the limits of this time.
	stallFactor = 3
	// overdueFactor is the multiple of the expected time after which a stalled attempt
	// that has not begun is overdue.
	overdueFactor = 2
	// minBegunPerOverdue is how many attempts at other upstreams, sent at about the same
	// time, must have begun for each that is overdue there.
	minBegunPerOverdue = 3
)

// isOverdue reports whether an attempt with a path has not begun long after the time
// expected.
func (t *Tables) isOverdue(request *RequestRow, now time.Time) bool {
	return !request.AnswerStarted && len(request.Hops) > 0 && now.Sub(request.SentAt) >= max(t.firstEventTimeout(request.Promised), overdueFactor*request.Promised)
}

// firstEventTimeout returns the time without a first event after which an attempt with
// a path is reported as stalled.
func (t *Tables) firstEventTimeout(promised time.Duration) time.Duration {
	return min(max(stallFactor*promised, t.Limits.MinStallTimeout), t.Limits.MaxStallTimeout)
}

// onlyItWaits reports whether the newest attempt of a request is overdue while those
// with other first hops that were sent at about the same time begin, and records that at
// its first hop. delivered counts the events that the caller has; an attempt that has
// added to them has begun.
func (t *Tables) onlyItWaits(request *RequestRow, delivered int, now time.Time) bool {
	if len(request.Older) > 0 || delivered > request.Delivered || !t.isOverdue(request, now) || t.isCrowded(now) {
		return false
	}
	begun, overdue := 0, 0
	since := request.SentAt.Add(-now.Sub(request.SentAt)) // what began earlier says little of the present
	for _, other := range t.Requests.Rows {
		switch {
		case other.Service != request.Service || len(other.Hops) == 0 || other.LastUpstream == request.LastUpstream:
		case other.AnswerStarted:
			if !other.SentAt.Before(since) {
				begun++
			}
		case t.isOverdue(other, now):
			overdue++
		}
	}
	if begun < max(1, minBegunPerOverdue*overdue) {
		return false
	}
	if row := t.Upstreams.Find(request.LastUpstream); row != nil {
		row.OverdueAt = now
	}
	return true
}

// isCrowded reports whether upstreams lately lacked room for requests of this VM.
func (t *Tables) isCrowded(now time.Time) bool {
	return !t.CrowdedAt.IsZero() && now.Sub(t.CrowdedAt) < t.Limits.MaxReportAge
}

// excludeOverdue keeps upstreams at which attempts were overdue lately from being the
// first hop of a path.
func (a *AdmitRequests) excludeOverdue(t *Tables, now time.Time) {
	for i, row := range a.rows {
		if now.Sub(row.OverdueAt) < t.Limits.RetryWindow {
			a.nodes[i].Full = true
		}
	}
}

// excludeFirstHop keeps an upstream from being the first hop of a path.
func (a *AdmitRequests) excludeFirstHop(upstream string) {
	for i, row := range a.rows {
		if row.ID == upstream {
			a.nodes[i].Full = true
		}
	}
}
