package fleet

import (
	"slices"
	"time"

	"lentilmux.example/lentilmux"
)

// resumeRetryInterval is the time between two tries to continue a stream that waits.
const resumeRetryInterval = 100 * time.Millisecond

// maxStateWait is how long a stream without events waits until it is known whether an
// upstream on which it may have run has ended. A refused connection shows that within
// milliseconds; its caller may go elsewhere after this time.
const maxStateWait = 400 * time.Millisecond

// ResumeWaitRow is a stream that broke off at its upstream and waits for another attempt:
// the retry budget is spent or nothing has room at the moment. Its caller got its
// beginning, unless it waits for the state of its upstreams. It has no attempt in flight.
type ResumeWaitRow struct {
	FailedAttemptRow
	Refusal  *lentilmux.Refusal // why it got no attempt last
	Since    time.Time
	RetryAt  time.Time
	Until    time.Time
	ForState bool // whether it waits only until it is known which of its upstreams have ended
}

// holdToResume lets a stream that got no further attempt wait for one, since its caller
// waits for the next event anyway and a stream that is broken off is lost. It waits for
// ResumeWait; its caller's patience leaves time for the prefill after that. A stream
// without events waits for maxStateWait, and only until it is known which of its upstreams
// have ended. One that was forwarded does not wait here: the VM that its caller reached
// decides.
func (a *AdmitRequests) holdToResume(t *Tables, request *RequestRow, failed FailedAttemptRow, refusal *lentilmux.Refusal, now time.Time) (held bool) {
	if refusal.Reason != lentilmux.ReasonRetryBudget && refusal.Reason != lentilmux.ReasonNoUpstream {
		return false
	}
	if request.Route.Kind != lentilmux.CallResumableStream || request.Forwarded.IsForwarded() {
		return false
	}
	wait, forState := t.Limits.ResumeWait, failed.Delivered == 0
	if forState {
		wait = maxStateWait
	}
	if forState && (refusal.Reason != lentilmux.ReasonNoUpstream || !t.awaitsUpstreamState(request, now)) {
		return false
	}
	until := earliest(now.Add(wait), request.Deadline)
	if !now.Before(until) {
		return false
	}
	row := ResumeWaitRow{FailedAttemptRow: failed, Refusal: refusal, Since: now, RetryAt: now.Add(resumeRetryInterval), Until: until, ForState: forState}
	t.ResumeWaits = append(t.ResumeWaits, row)
	t.WakeAt(earliest(row.RetryAt, until))
	t.RecordDecision(lentilmux.Decision{What: "stream_waiting", Subject: string(request.ID), Chosen: until.Sub(now).String(), Reason: string(refusal.Reason) + ": " + refusal.Detail})
	return true
}

// resumeStreams tries again to continue the streams that wait, in the order of the
// shortage policy or else oldest first, and ends those whose wait is over. Once nothing of
// a service has room, the later streams of that service are tried in the next interval:
// each search for a path costs time.
func (a *AdmitRequests) resumeStreams(t *Tables, now time.Time) {
	rows := a.orderResumeWaits(t, t.ResumeWaits, now)
	t.ResumeWaits = nil
	dueServices := t.dueServices(rows, now)
	var full []string // services without room
	for _, row := range rows {
		request := t.findAttempt(row.Request, row.Epoch)
		if request == nil || t.endedThisTick(row.Request) {
			continue
		}
		due := row.isDue(now) || slices.Contains(dueServices, request.Service)
		if due {
			row.RetryAt = now.Add(resumeRetryInterval)
		}
		if due && !slices.Contains(full, request.Service) {
			if row.Refusal = a.resume(t, request, row.FailedAttemptRow, now); row.Refusal == nil {
				t.RecordDecision(lentilmux.Decision{What: "stream_resumed", Subject: string(row.Request), Chosen: request.LastUpstream + request.Peer, Reason: "waited " + now.Sub(row.Since).String()})
				continue
			}
			if row.Refusal.Reason == lentilmux.ReasonNoUpstream {
				full = append(full, request.Service)
			}
		}
		if !now.Before(row.Until) || row.ForState && !t.awaitsUpstreamState(request, now) {
			a.refuse(t, row.Request, row.CorrelationID, row.Refusal, now)
			continue
		}
		t.ResumeWaits = append(t.ResumeWaits, row)
		t.WakeAt(earliest(row.RetryAt, row.Until))
	}
}

// isDue reports whether a stream that waits is to be tried again.
func (r *ResumeWaitRow) isDue(now time.Time) bool {
	return !now.Before(r.RetryAt) || !now.Before(r.Until)
}

// dueServices returns the services whose requests differ in priority and of which a
// stream is to be tried again. All that wait are tried then: a more urgent one that is due
// a moment later would find the room taken.
func (t *Tables) dueServices(rows []ResumeWaitRow, now time.Time) (services []string) {
	for i := range rows {
		request := t.Requests.Find(rows[i].Request)
		if request != nil && rows[i].isDue(now) && t.Rules.ranksRequests(request.Service) && !slices.Contains(services, request.Service) {
			services = append(services, request.Service)
		}
	}
	return services
}

// resume answers with another attempt of a stream that waits, or returns why there is
// none.
func (a *AdmitRequests) resume(t *Tables, request *RequestRow, failed FailedAttemptRow, now time.Time) (refusal *lentilmux.Refusal) {
	reason, detail, charged := a.checkRetry(t, request, failed, now)
	if reason != "" {
		return a.adjustOutcome(request, t.noRetryRefusal(request, reason, detail, now))
	}
	return a.sendRetry(t, request, failed, charged, now)
}
