package forward

import (
	"context"
	"io"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

const (
	// errCallerDisconnected ends a stream whose events can no longer be written to
	// the caller.
	errCallerDisconnected = errors.ConstError("caller disconnected")
	// errSuperseded cancels an attempt when another one is passed on.
	errSuperseded = errors.ConstError("another attempt is passed on")
	// errUnsuccessful ends an attempt whose response is not a success.
	errUnsuccessful = errors.ConstError("unsuccessful response")
)

// runningAttempt is an attempt in flight.
type runningAttempt struct {
	lentilmux.Attempt
	ctx      context.Context // of the attempt, until its deadline
	cancel   context.CancelCauseFunc
	watchdog *watchdog
	after    int64 // number of the event after which its stream begins; negative to begin at the first
	started  bool  // whether an event of it was passed on

	response lentilmux.UpstreamResponse // nil until it arrives
	verdict  lentilmux.Verdict          // on response
	body     []byte                     // of a response that is not a stream
	event    []byte                     // first event of a stream
	number   int64                      // of event
}

// startAttempt returns an attempt that is not sent yet and starts its watchdog.
func (r *relayedRequest) startAttempt(ctx context.Context, attempt lentilmux.Attempt) *runningAttempt {
	a := &runningAttempt{Attempt: attempt, watchdog: newWatchdog(attempt.FirstEventTimeout)}
	deadlineCtx, cancelDeadline := context.WithTimeout(ctx, attempt.Deadline.Sub(r.relay.clock()))
	attemptCtx, cancel := context.WithCancelCause(deadlineCtx)
	a.ctx = attemptCtx
	a.cancel = func(cause error) {
		cancel(cause)
		cancelDeadline()
	}
	a.watchdog.start(func() (wait time.Duration) { return r.reportStall(ctx, a) })
	return a
}

// close ends an attempt. It waits until a report of its stall is answered, so that
// later reports reach the node after it.
func (a *runningAttempt) close() {
	a.watchdog.stop()
	if a.response != nil {
		a.response.Close()
	}
	a.cancel(nil)
}

// begin sends an attempt and reads the beginning of its response: the first event
// of a stream, or else the whole body.
func (r *relayedRequest) begin(a *runningAttempt) (err error) {
	defer r.recoverAttempt(&err)
	if a.response, err = r.sender.Send(a.ctx, a.Attempt, a.after); err != nil {
		a.response = nil
		return err
	}
	if a.Peer == "" {
		r.reportAnnouncements(a)
	}
	a.verdict = r.race.verdict(a.response)
	switch {
	case a.verdict == lentilmux.VerdictSuccess && a.Kind.Streams():
		return r.nextEvent(a, a.after)
	case a.verdict == lentilmux.VerdictSuccess:
		a.body, err = a.response.Body()
	case a.verdict == lentilmux.VerdictFailed:
		r.recordProgress(a)
		if a.body, err = a.response.Body(); err != nil {
			return incompleteFailure(err)
		}
		return errUnsuccessful
	default:
		r.recordProgress(a)
		return errUnsuccessful
	}
	if err == nil {
		r.recordProgress(a)
	}
	return err
}

// nextEvent reads the next event of a stream. An event number that does not
// increase is a protocol error, since the caller would get an event twice.
func (r *relayedRequest) nextEvent(a *runningAttempt, lastEvent int64) (err error) {
	defer r.recoverAttempt(&err)
	event, number, err := a.response.Next()
	if err != nil {
		return err
	}
	if lastEvent >= 0 && number <= lastEvent {
		return &lentilmux.UpstreamError{Kind: lentilmux.FailureProtocol, Err: errors.Errorf("event %d after event %d", number, lastEvent)}
	}
	a.event, a.number = event, number
	a.watchdog.reset(a.EventGapTimeout)
	r.recordProgress(a)
	return nil
}

// runAttempt passes on an attempt that has begun, or that failed to with
// beginErr. If another one supersedes it, it passes on that one. It returns nil if
// the request has ended, else a report of what failed.
func (r *relayedRequest) runAttempt(ctx context.Context, a *runningAttempt, beginErr error) (failure *lentilmux.ForwardFailedMsg) {
	for err := beginErr; ; err = nil {
		r.result.Kind, r.deadline = a.Kind, a.Deadline
		if err == nil {
			err = r.passOn(ctx, a)
		}
		a.close()
		if err == nil {
			return nil
		}
		if r.race.remove(a) || ctx.Err() != nil {
			return r.handleError(ctx, a, err)
		}
		winner, ok := r.awaitWinner(ctx)
		if !ok {
			return r.handleError(ctx, a, err)
		}
		a = winner
	}
}

// awaitWinner returns the attempt that superseded the current one. It returns false
// if the request ends: the winner may be dropped then.
func (r *relayedRequest) awaitWinner(ctx context.Context) (winner *runningAttempt, ok bool) {
	for {
		select {
		case result := <-r.results:
			if result.attempt != nil {
				return result.attempt, true
			}
		case <-ctx.Done():
			return nil, false
		}
	}
}

// passOn passes on the response of an attempt that has begun.
func (r *relayedRequest) passOn(ctx context.Context, a *runningAttempt) (err error) {
	if a.Kind.Streams() {
		return r.relayStream(ctx, a)
	}
	claimed, contended := r.race.claim(a)
	if !claimed {
		return errSuperseded
	}
	if contended {
		r.reportProgress(ctx, a)
	}
	r.result.TimeToFirstByte = r.relay.clock().Sub(r.inbound.ReceivedAt)
	r.recordAnswer(r.writeReply(a.response, a.body))
	return nil
}

// relayStream passes on the events of a stream as they arrive.
func (r *relayedRequest) relayStream(ctx context.Context, a *runningAttempt) (err error) {
	for err == nil {
		claimed, contended := r.race.claimEvent(a)
		if !claimed {
			return errSuperseded
		}
		if !a.started || contended {
			r.start(ctx, a)
		}
		if err := r.sink.WriteEvent(a.event); err != nil {
			return errCallerDisconnected
		}
		r.recordEvent()
		a.Delivered.Record(r.result.Events)
		err = r.nextEvent(a, a.number)
	}
	if !errors.Is(err, io.EOF) {
		return err
	}
	if claimed, _ := r.race.claim(a); !claimed {
		return errSuperseded
	}
	r.recordAnswer(r.result.Status)
	return nil
}

// start sends status and headers to the caller, once per request, and reports to
// the node that the answer of an attempt begins, which means that prefill is
// complete, or goes on.
func (r *relayedRequest) start(ctx context.Context, a *runningAttempt) {
	a.started = true
	if !r.headersSent {
		r.headersSent = true
		r.sink.WriteHeader(a.response)
		r.result.Status = 200
	}
	r.reportProgress(ctx, a)
}

// recordEvent records an event that was sent to the caller.
func (r *relayedRequest) recordEvent() {
	now := r.relay.clock()
	if r.result.Events == 0 {
		r.recordBegun(true)
		r.result.TimeToFirstByte = now.Sub(r.inbound.ReceivedAt)
	} else {
		r.result.MaxEventGap = max(r.result.MaxEventGap, now.Sub(r.lastEventAt))
	}
	r.lastEventAt = now
	r.result.Events++
}

// recordProgress records progress of all upstreams on the path of an attempt.
func (r *relayedRequest) recordProgress(a *runningAttempt) {
	now := r.relay.clock()
	for _, progress := range a.Progress {
		progress.Record(now)
	}
}
