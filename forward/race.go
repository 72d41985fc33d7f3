package forward

import (
	"slices"
	"sync"

	"lentilmux.example/lentilmux"
)

// race decides which of the attempts in flight of one request is passed on to the
// caller: the first one with something to pass on. It is safe for concurrent use.
type race struct {
	mu        sync.Mutex
	inFlight  []*runningAttempt
	begun     lentilmux.UpstreamResponse // whose stream the caller got the beginning of; nil for none
	lastEvent int64                      // number of the last event that was passed on or is being written; negative for none
	delivered int                        // events that were passed on, with the one that is being written

	failedResponse lentilmux.UpstreamResponse // last failure of an upstream, sent to the caller if no attempt succeeds
	failedBody     []byte                     // body of failedResponse
	end            lentilmux.RequestEnd       // the attempts so far
	sent, notRun   int                        // attempts so far, and those that certainly did not run
}

// add adds an attempt.
func (r *race) add(a *runningAttempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addLocked(a)
}

func (r *race) addLocked(a *runningAttempt) {
	r.inFlight = append(r.inFlight, a)
	r.end.Epoch = a.Epoch
	r.sent++
	a.after = r.lastEvent
}

// addContender adds an attempt beside one that was reported as stalled after the
// given number of events. It returns false if that one has gone on since, or is no
// longer in flight; goesOn tells these two apart.
func (r *race) addContender(a, stalled *runningAttempt, delivered int) (added, goesOn bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Contains(r.inFlight, stalled) {
		return false, false
	}
	if r.delivered != delivered {
		return false, true
	}
	r.addLocked(a)
	return true, false
}

// replace puts another attempt in the place of one that has failed. It returns
// false if that one was canceled meanwhile.
func (r *race) replace(failed, next *runningAttempt) (replaced bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := slices.Index(r.inFlight, failed)
	if i < 0 {
		return false
	}
	r.inFlight = slices.Delete(r.inFlight, i, i+1)
	r.addLocked(next)
	return true
}

// claim makes an attempt the only one in flight and cancels the others. It
// returns false if the attempt was canceled itself. contended reports whether
// there were others.
func (r *race) claim(a *runningAttempt) (claimed, contended bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Contains(r.inFlight, a) {
		return false, false
	}
	return true, r.cancelOthersLocked(a)
}

// claimEvent claims the race for an attempt whose next event is to be written to the
// caller. From then on the event counts as passed on, so that an attempt that is added
// while it is being written begins after it.
func (r *race) claimEvent(a *runningAttempt) (claimed, contended bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Contains(r.inFlight, a) {
		return false, false
	}
	if r.begun == nil {
		r.begun = a.response
	}
	r.lastEvent = a.number
	r.delivered++
	return true, r.cancelOthersLocked(a)
}

// cancelOthersLocked cancels all attempts but a. It reports whether there were any.
func (r *race) cancelOthersLocked(a *runningAttempt) (contended bool) {
	for _, other := range r.inFlight {
		if other == a {
			continue
		}
		contended = true
		if other.Epoch < a.Epoch {
			r.end.Canceled++
		}
		other.cancel(errSuperseded)
	}
	r.inFlight = append(r.inFlight[:0], a)
	return contended
}

// remove removes an attempt that has ended. It returns false if the attempt was
// canceled in favor of another one before.
func (r *race) remove(a *runningAttempt) (removed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := slices.Index(r.inFlight, a)
	if i < 0 {
		return false
	}
	r.inFlight = slices.Delete(r.inFlight, i, i+1)
	return true
}

// contains reports whether an attempt is in flight.
func (r *race) contains(a *runningAttempt) (inFlight bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.inFlight, a)
}

// recordFailure records the failure of an attempt and keeps its answer, if it has
// one.
func (r *race) recordFailure(a *runningAttempt, failure *lentilmux.ForwardFailedMsg) {
	r.mu.Lock()
	defer r.mu.Unlock()
	failure.Delivered = r.delivered
	r.end.Failures++
	r.end.LastFailure = failure.Kind
	if failure.NotRun {
		r.notRun++
	}
	if failure.Answered && !failure.NotRun && failure.PeerRefusal == nil {
		r.failedResponse, r.failedBody = a.response, a.body
	}
}

// recordNotRun records that an attempt certainly did not run, whose failure is not
// reported.
func (r *race) recordNotRun() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notRun++
}

// mayHaveRun reports whether an attempt may have run, or may still run.
func (r *race) mayHaveRun() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent > r.notRun
}

// verdict classifies a response. A success that cannot continue the stream that the
// caller has the beginning of is invalid: an error in a body of another type may
// look like events.
func (r *race) verdict(response lentilmux.UpstreamResponse) (verdict lentilmux.Verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	verdict = response.Verdict()
	if verdict == lentilmux.VerdictSuccess && r.begun != nil && !response.Continues(r.begun) {
		return lentilmux.VerdictInvalid
	}
	return verdict
}

// beganWithoutNumbers reports whether the caller has events without numbers. Such a
// stream cannot be continued, since no upstream knows after which event.
func (r *race) beganWithoutNumbers() (began bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.begun != nil && r.lastEvent < 0
}

// failure returns the last answer of an upstream that was a failure, or nil.
func (r *race) failure() (response lentilmux.UpstreamResponse, body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failedResponse, r.failedBody
}

// attempts returns what has become of the attempts so far.
func (r *race) attempts() (end lentilmux.RequestEnd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.end
}

// deliveredEvents returns the number of events that were passed on.
func (r *race) deliveredEvents() (count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delivered
}
