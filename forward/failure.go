package forward

import (
	"context"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

// handleError handles the attempt that was passed on and ended with err. It
// returns a report of what failed, or nil if the request has ended: the caller
// disconnected, the deadline passed, or the failure is passed on, since the call
// is not repeatable.
func (r *relayedRequest) handleError(ctx context.Context, a *runningAttempt, err error) (failure *lentilmux.ForwardFailedMsg) {
	switch {
	case errors.Is(err, errCallerDisconnected), ctx.Err() != nil:
		if isDialFailure(err) || errors.Is(err, errUnsuccessful) && a.verdict == lentilmux.VerdictNotRun {
			r.race.recordNotRun()
		}
		r.abort(ctx, err)
		return nil
	case errors.Is(a.ctx.Err(), context.DeadlineExceeded):
		r.expire(isDialFailure(err))
		return nil
	}
	failure = r.describeFailure(a, err)
	if failure.Answered && !failure.NotRun && failure.PeerRefusal == nil && !a.Kind.Repeatable() && !r.headersSent {
		r.recordAnswer(r.writeReply(a.response, a.body))
		return nil
	}
	return failure
}

// describeFailure returns the report of an attempt that ended with err, and
// records it. An answer that is a failure is kept for the case that no later
// attempt succeeds.
func (r *relayedRequest) describeFailure(a *runningAttempt, err error) (failure *lentilmux.ForwardFailedMsg) {
	failure = &lentilmux.ForwardFailedMsg{Request: a.Request, Epoch: a.Epoch, Kind: lentilmux.FailureProtocol}
	if a.response != nil && a.verdict != lentilmux.VerdictSuccess {
		failure.BlamedUpstream = a.response.BlamedUpstream()
	}
	var upstreamErr *lentilmux.UpstreamError
	switch {
	case errors.Is(err, errUnsuccessful):
		failure.NotRun = a.verdict == lentilmux.VerdictNotRun
		failure.Answered = failure.NotRun || a.verdict == lentilmux.VerdictFailed
		if failure.Answered {
			failure.Kind = lentilmux.FailureRefused
		}
		failure.PeerRefusal = a.response.PeerRefusal()
	case errors.As(err, &upstreamErr):
		failure.Kind, failure.Detail = upstreamErr.Kind, upstreamErr.Detail
		failure.NotRun = failure.Kind == lentilmux.FailureDial
		failure.NotListening = errors.Is(err, lentilmux.ErrNotListening)
	}
	r.race.recordFailure(a, failure)
	return failure
}

// incompleteFailure returns the error of a failure whose body was not read to its end.
// It is a crash, unless the body was too large or this VM had no memory for it.
func incompleteFailure(err error) error {
	var upstreamErr *lentilmux.UpstreamError
	if errors.As(err, &upstreamErr) && (upstreamErr.Kind == lentilmux.FailureTooLarge || upstreamErr.Kind == lentilmux.FailureNoMemory) {
		return err
	}
	failure := &lentilmux.UpstreamError{Kind: lentilmux.FailureCrash, Err: err}
	if upstreamErr != nil {
		failure.Detail = upstreamErr.Detail
	}
	return failure
}

// isDialFailure reports whether no connection to an upstream could be opened.
func isDialFailure(err error) bool {
	var upstreamErr *lentilmux.UpstreamError
	return errors.As(err, &upstreamErr) && upstreamErr.Kind == lentilmux.FailureDial
}
