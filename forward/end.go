package forward

import (
	"context"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

// refuse ends a request that gets no further attempt. A response that has begun
// is aborted. Otherwise the caller gets the last failure response of an
// upstream, if there is one and the request may have run, or else the refusal.
func (r *relayedRequest) refuse(refusal *lentilmux.Refusal) {
	r.refuseBecause(r.refusalCause(refusal), refusal)
}

// refuseBecause is like refuse, with the cause of the end.
func (r *relayedRequest) refuseBecause(cause lentilmux.EndCause, refusal *lentilmux.Refusal) {
	r.result.Outcome, r.result.Reason, r.result.End.Cause = refusal.Outcome, refusal.Reason, cause
	response, body := r.race.failure()
	switch {
	case r.headersSent:
		r.breakOff()
	case response != nil && refusal.Outcome != lentilmux.OutcomeNotRun:
		r.result.Status = r.writeReply(response, body)
	default:
		r.headersSent = true
		r.result.Status = r.sink.Refuse(refusal)
	}
}

// writeReply writes a complete answer to the caller.
func (r *relayedRequest) writeReply(response lentilmux.UpstreamResponse, body []byte) (status int) {
	r.headersSent = true
	return r.sink.WriteReply(response, body)
}

// refusalCause returns what ended a request that gets no further attempt.
func (r *relayedRequest) refusalCause(refusal *lentilmux.Refusal) lentilmux.EndCause {
	switch {
	case refusal.Reason == lentilmux.ReasonDeadline:
		return lentilmux.EndDeadline
	case r.race.attempts().Failures == 0:
		return lentilmux.EndRefused
	case r.race.attempts().Canceled > 0:
		return lentilmux.EndAttemptCanceled
	default:
		return lentilmux.EndUpstreamFailed
	}
}

// abort ends a request that cannot go on, since err ended it. A caller that is still
// there gets an answer, unless its response has begun.
func (r *relayedRequest) abort(ctx context.Context, err error) {
	switch cause := abortCause(ctx, err); cause {
	case lentilmux.EndCallerDisconnected:
		r.result.Reason, r.result.End.Cause = lentilmux.ReasonCanceled, cause
		r.breakOff()
	case lentilmux.EndNodeStopped:
		r.refuseBecause(cause, r.unfinished(lentilmux.ReasonDraining, "this entry VM ends"))
	default:
		reason := lentilmux.ReasonInternal
		if errors.Is(err, errNodeSilent) {
			reason = lentilmux.ReasonDeadline
		}
		r.refuseBecause(cause, r.unfinished(reason, err.Error()))
	}
}

// abortCause returns what ended a request with err. The context of a request ends with
// the cause [lentilmux.ErrStopped], or because its caller has disconnected.
func abortCause(ctx context.Context, err error) (cause lentilmux.EndCause) {
	switch {
	case errors.Is(err, lentilmux.ErrStopped), errors.Is(context.Cause(ctx), lentilmux.ErrStopped):
		return lentilmux.EndNodeStopped
	case errors.Is(err, errCallerDisconnected), ctx.Err() != nil:
		return lentilmux.EndCallerDisconnected
	case errors.Is(err, errPanicked):
		return lentilmux.EndPanicked
	default:
		return lentilmux.EndNodeFailed
	}
}

// unfinished returns the refusal of a request that this VM does not finish.
func (r *relayedRequest) unfinished(reason lentilmux.Reason, detail string) *lentilmux.Refusal {
	refusal := &lentilmux.Refusal{Outcome: lentilmux.OutcomeNotRun, Reason: reason, Detail: detail}
	if r.mayHaveRun() {
		refusal.Outcome = lentilmux.OutcomeUnknown
	}
	return refusal
}

// mayHaveRun reports whether an attempt may have run the request, here or before it was
// forwarded, or may still do so.
func (r *relayedRequest) mayHaveRun() bool {
	return r.inbound.Forwarded.PossibleRuns > 0 || r.race.mayHaveRun()
}

// breakOff ends the connection without a complete answer.
func (r *relayedRequest) breakOff() {
	r.result.End.Unanswered = true
	r.sink.Abort()
}

// recordAnswer records that the caller got an upstream's answer, with a status.
func (r *relayedRequest) recordAnswer(status int) {
	r.result.Outcome, r.result.Status, r.result.End.Cause = lentilmux.OutcomeAnswered, status, lentilmux.EndAnswered
}

// expire ends a request whose deadline has passed.
func (r *relayedRequest) expire(notRun bool) {
	refusal := &lentilmux.Refusal{Outcome: lentilmux.OutcomeUnknown, Reason: lentilmux.ReasonDeadline, Detail: "the deadline or the route's timeout has passed"}
	if response, _ := r.race.failure(); notRun && response == nil && !r.headersSent {
		refusal.Detail = "no upstream could be reached in time"
	}
	r.refuse(refusal)
}

// reportDone reports the end of the request to the node and to the observer.
func (r *relayedRequest) reportDone() {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	r.result.Duration = r.relay.clock().Sub(r.inbound.ReceivedAt)
	r.recordBegun(false)
	attempts := r.race.attempts()
	attempts.Cause, attempts.Unanswered = r.result.End.Cause, r.result.End.Unanswered
	r.result.End = attempts
	// Send fails only if the node has stopped or does not respond in time.
	// There is nothing left to do in either case.
	_ = r.relay.node.Send(ctx, lentilmux.ForwardDoneMsg{
		Request: r.inbound.ID, Outcome: r.result.Outcome, Reason: r.result.Reason, Status: r.result.Status,
		Events: r.result.Events, TimeToFirstByte: r.result.TimeToFirstByte, MaxEventGap: r.result.MaxEventGap, Duration: r.result.Duration,
		Promised: r.result.Promise.Expected, WaitedForFirst: r.result.Promise.Actual, End: r.result.End,
	})
	r.relay.observe(r.result)
}
