package forward

import (
	"context"
	"io"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

// errCallerDisconnected ends a stream whose events can no longer be written to
// the caller.
const errCallerDisconnected = errors.ConstError("caller disconnected")

// runAttempt makes one attempt. It returns nil if the request has ended, else a
// report of what failed.
func (r *relayedRequest) runAttempt(ctx context.Context, attempt lentilmux.Attempt) (failure *lentilmux.ForwardFailedMsg) {
	r.result.Kind, r.result.End.Epoch = attempt.Kind, attempt.Epoch
	ctx, cancel := context.WithTimeout(ctx, attempt.Deadline.Sub(r.relay.clock()))
	defer cancel()
	attemptCtx, cancelAttempt := context.WithCancelCause(ctx)
	defer cancelAttempt(nil)
	r.replacement.Store(nil)
	stallWatchdog := newWatchdog(attempt.FirstEventTimeout)
	stallWatchdog.start(func() (wait time.Duration) { return r.reportStall(attemptCtx, attempt, cancelAttempt) })
	defer stallWatchdog.stop()
	response, err := r.sender.Send(attemptCtx, attempt, r.lastEvent)
	if err != nil {
		return r.handleError(ctx, attemptCtx, attempt, err)
	}
	defer response.Close()
	r.reportLimit(attemptCtx, attempt, response)
	switch {
	case response.Verdict() == lentilmux.VerdictSuccess && attempt.Kind.Streams():
		err = r.relayStream(attemptCtx, attempt, response, stallWatchdog)
	case response.Verdict() == lentilmux.VerdictSuccess:
		err = r.relayReply(attempt, response)
	default:
		return r.handleUnsuccessful(attempt, response)
	}
	if err == nil {
		return nil
	}
	return r.handleError(ctx, attemptCtx, attempt, err)
}

// reportLimit reports the request limit that an answer names, or that it no longer
// names one.
func (r *relayedRequest) reportLimit(ctx context.Context, attempt lentilmux.Attempt, response lentilmux.UpstreamResponse) {
	limit := response.RequestLimit()
	if response.Verdict() == lentilmux.VerdictInvalid || !limit.Named && !attempt.Limited {
		return
	}
	// Send fails only if the request is ending; a later answer tells the limit too.
	_ = r.relay.node.Send(ctx, lentilmux.UpstreamLimitMsg{Request: attempt.Request, Upstream: attempt.Upstream, Limit: limit})
}

// relayReply passes on a response that is not a stream.
func (r *relayedRequest) relayReply(attempt lentilmux.Attempt, response lentilmux.UpstreamResponse) (err error) {
	body, err := response.Body()
	if err != nil {
		return err
	}
	r.recordProgress(attempt)
	r.result.TimeToFirstByte = r.relay.clock().Sub(r.inbound.ReceivedAt)
	r.recordAnswer(r.sink.WriteReply(response, body))
	return nil
}

// relayStream passes on the events of a stream as they arrive. An event number
// that does not increase is a protocol error, since the caller would get an
// event twice; so is a stream without events.
func (r *relayedRequest) relayStream(ctx context.Context, attempt lentilmux.Attempt, response lentilmux.UpstreamResponse, stallWatchdog *watchdog) (err error) {
	for started := false; ; started = true {
		event, number, err := response.Next()
		if errors.Is(err, io.EOF) && started {
			r.recordAnswer(r.result.Status)
			return nil
		}
		if err != nil {
			return err
		}
		if r.lastEvent >= 0 && number <= r.lastEvent {
			return &lentilmux.UpstreamError{Kind: lentilmux.FailureProtocol, Err: errors.Errorf("event %d after event %d", number, r.lastEvent)}
		}
		stallWatchdog.reset(attempt.EventGapTimeout)
		r.recordProgress(attempt)
		if !started {
			r.start(ctx, attempt, response)
		}
		if err := r.sink.WriteEvent(event); err != nil {
			return errCallerDisconnected
		}
		r.recordEvent(number)
	}
}

// start sends status and headers to the caller, once per request, and reports
// the first event of an attempt to the node, which means that prefill is
// complete.
func (r *relayedRequest) start(ctx context.Context, attempt lentilmux.Attempt, response lentilmux.UpstreamResponse) {
	if !r.headersSent {
		r.sink.WriteHeader(response)
		r.headersSent = true
		r.result.Status = 200
	}
	// Send fails only if the request is ending, which is reported in any case.
	_ = r.relay.node.Send(ctx, lentilmux.ForwardStartedMsg{Request: attempt.Request, Epoch: attempt.Epoch})
}

// recordEvent records an event that was sent to the caller.
func (r *relayedRequest) recordEvent(number int64) {
	now := r.relay.clock()
	if r.result.Events == 0 {
		r.result.TimeToFirstByte = now.Sub(r.inbound.ReceivedAt)
	} else {
		r.result.MaxEventGap = max(r.result.MaxEventGap, now.Sub(r.lastEventAt))
	}
	r.lastEventAt = now
	r.result.Events++
	r.lastEvent = number
	r.delivered.Add(1)
}

// handleUnsuccessful handles a response that is not a success, and returns as
// [relayedRequest.runAttempt] does. A failure response is kept for the case
// that no later attempt succeeds; it is passed on immediately if the call is
// not repeatable.
func (r *relayedRequest) handleUnsuccessful(attempt lentilmux.Attempt, response lentilmux.UpstreamResponse) (failure *lentilmux.ForwardFailedMsg) {
	r.recordProgress(attempt)
	failure = r.failureReport(attempt, lentilmux.FailureRefused)
	failure.BlamedUpstream = response.BlamedUpstream()
	switch response.Verdict() {
	case lentilmux.VerdictNotRun:
		failure.NotRun = true
		failure.Answered = true
	case lentilmux.VerdictFailed:
		failure.Answered = true
		body, err := response.Body()
		if err != nil {
			failure.Answered, failure.Kind = false, lentilmux.FailureCrash
			return failure
		}
		r.failedResponse, r.failedBody = response, body
		if !attempt.Kind.Repeatable() && !r.headersSent {
			r.recordAnswer(r.sink.WriteReply(response, body))
			return nil
		}
	default:
		failure.Kind = lentilmux.FailureProtocol
	}
	return failure
}

// handleError handles an attempt that ended with err, and returns as
// [relayedRequest.runAttempt] does. It ends the request if the caller
// disconnected or the deadline passed.
func (r *relayedRequest) handleError(ctx, attemptCtx context.Context, attempt lentilmux.Attempt, err error) (failure *lentilmux.ForwardFailedMsg) {
	failure = r.failureReport(attempt, lentilmux.FailureProtocol)
	var upstreamErr *lentilmux.UpstreamError
	if errors.As(err, &upstreamErr) {
		failure.Kind = upstreamErr.Kind
	}
	failure.NotRun = failure.Kind == lentilmux.FailureDial
	switch {
	case errors.Is(err, errCallerDisconnected), errors.Is(ctx.Err(), context.Canceled):
		r.abort(ctx, err)
		return nil
	case ctx.Err() != nil:
		r.expire(failure.NotRun)
		return nil
	case errors.Is(context.Cause(attemptCtx), errStalled):
		failure.Kind = lentilmux.FailureTimeout
	}
	return failure
}

// failureReport returns the report of a failed attempt.
func (r *relayedRequest) failureReport(attempt lentilmux.Attempt, kind lentilmux.FailureKind) *lentilmux.ForwardFailedMsg {
	return &lentilmux.ForwardFailedMsg{Request: attempt.Request, Epoch: attempt.Epoch, Kind: kind, Delivered: r.result.Events}
}

// recordFailure records a failed attempt for the report of the request's end. An
// attempt that was canceled in favor of another one has not failed.
func (r *relayedRequest) recordFailure(failure *lentilmux.ForwardFailedMsg) {
	if r.replacement.Load() == nil {
		r.result.End.Failures++
		r.result.End.LastFailure = failure.Kind
	}
}

// recordProgress records progress of all upstreams on the path of an attempt.
func (r *relayedRequest) recordProgress(attempt lentilmux.Attempt) {
	now := r.relay.clock()
	for _, progress := range attempt.Progress {
		progress.Record(now)
	}
}
