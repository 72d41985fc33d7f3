// Package forward relays requests that are forwarded unchanged to an upstream.
// It asks the node for an attempt, sends the request, passes the response on to
// the caller, and asks for a further attempt if that one fails. A retried
// stream resumes after the last complete event that the caller has.
//
// The package decides only what follows from the bytes of a response. The node
// decides where a request goes and whether it may be retried. The package
// reaches upstreams through [lentilmux.RequestSender] and callers through
// [lentilmux.Sink], and is named after what it does between them.
//
// # Usage
//
//	relay := forward.NewRelay(node, forward.WithObserver(observe))
//	relay.Run(ctx, inbound, sender, sink)
package forward

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

// reportTimeout bounds the report of a request's end to the node. The report
// has its own context since it is also sent after the caller has disconnected.
const reportTimeout = 5 * time.Second

// errStalled is the cause with which a stalled attempt is canceled when
// another one replaces it.
const errStalled = errors.ConstError("attempt stalled and replaced")

// Result describes how a request ended.
type Result struct {
	Kind            lentilmux.CallKind
	Outcome         lentilmux.Outcome
	Reason          lentilmux.Reason
	Status          int           // HTTP status sent to the caller; 0 if none was sent
	Events          int           // events sent to the caller
	TimeToFirstByte time.Duration // from arrival to the first byte of the answer; 0 without one
	MaxEventGap     time.Duration // longest time between two events
	Duration        time.Duration // from arrival to the end of the request
}

// Relay relays requests to upstreams. It is safe for concurrent use.
type Relay struct {
	node    lentilmux.NodeClient
	clock   func() time.Time
	observe func(Result)
}

// Option configures a [Relay].
type Option func(*Relay)

// WithObserver sets the function that is called with the result of each
// request. By default results are dropped.
func WithObserver(observe func(Result)) Option {
	return func(r *Relay) { r.observe = observe }
}

// WithClock sets the clock that deadlines are compared with. It has to be the
// node's clock; the default is time.Now.
func WithClock(clock func() time.Time) Option {
	return func(r *Relay) { r.clock = clock }
}

// NewRelay returns a relay that asks node for attempts.
func NewRelay(node lentilmux.NodeClient, options ...Option) *Relay {
	r := &Relay{node: node, clock: time.Now, observe: func(Result) {}}
	for _, option := range options {
		option(r)
	}
	return r
}

// Run serves one request until it is answered, refused or aborted. It reports
// the end to the node and to the observer.
func (r *Relay) Run(ctx context.Context, inbound lentilmux.InboundRequest, sender lentilmux.RequestSender, sink lentilmux.Sink) {
	request := &relayedRequest{relay: r, inbound: inbound, sender: sender, sink: sink, lastEvent: inbound.ResumeAfter, result: Result{Outcome: lentilmux.OutcomeUnknown}}
	defer request.reportDone()
	answer, err := r.node.Ask(ctx, lentilmux.ForwardMsg{Inbound: inbound})
	for err == nil {
		switch x := answer.(type) {
		case lentilmux.RefusalAnswer:
			request.refuse(&x.Refusal)
			return
		case lentilmux.AttemptAnswer:
			if request.beganWithoutNumbers() {
				request.refuse(&lentilmux.Refusal{Outcome: lentilmux.OutcomeUnknown, Reason: lentilmux.ReasonUpstreamFailed})
				return
			}
			failure := request.runAttempt(ctx, x.Attempt)
			if failure == nil {
				return
			}
			if next := request.replacement.Load(); next != nil {
				answer = lentilmux.AttemptAnswer{Attempt: *next}
				continue
			}
			answer, err = r.node.Ask(ctx, *failure)
		default:
			err = errors.Errorf("unexpected answer %T", answer)
		}
	}
	request.abort(err)
}

// relayedRequest is the state of one request while [Relay.Run] serves it.
type relayedRequest struct {
	relay   *Relay
	inbound lentilmux.InboundRequest
	sender  lentilmux.RequestSender
	sink    lentilmux.Sink

	lastEvent      int64                      // number of the last event sent to the caller; negative for none
	headersSent    bool                       // whether status and headers were sent to the caller
	failedResponse lentilmux.UpstreamResponse // last failure of an upstream, sent to the caller if no attempt succeeds
	failedBody     []byte                     // body of failedResponse
	lastEventAt    time.Time                  // when lastEvent was sent
	result         Result

	// Both are also used by the goroutine of the watchdog.
	delivered   atomic.Int64                      // events sent to the caller
	replacement atomic.Pointer[lentilmux.Attempt] // replaces the current attempt, which has stalled; nil for none
}

// reportStall reports a stalled attempt to the node. If the node replaces the
// attempt, reportStall cancels it. Otherwise it returns the time until the
// stall is to be reported again, or zero if it is not.
func (r *relayedRequest) reportStall(ctx context.Context, attempt lentilmux.Attempt, cancel context.CancelCauseFunc) (wait time.Duration) {
	answer, err := r.relay.node.Ask(ctx, lentilmux.ForwardStalledMsg{Request: attempt.Request, Epoch: attempt.Epoch, Delivered: int(r.delivered.Load())})
	if err != nil {
		return 0 // the attempt has ended
	}
	switch x := answer.(type) {
	case lentilmux.WaitAnswer:
		return x.Wait
	case lentilmux.AttemptAnswer:
		r.replacement.Store(&x.Attempt)
		cancel(errStalled)
	}
	return 0
}

// beganWithoutNumbers reports whether the caller has events without numbers. Such a
// stream cannot be continued, since no upstream knows after which event.
func (r *relayedRequest) beganWithoutNumbers() bool { return r.headersSent && r.lastEvent < 0 }

// reportDone reports the end of the request to the node and to the observer.
func (r *relayedRequest) reportDone() {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	r.result.Duration = r.relay.clock().Sub(r.inbound.ReceivedAt)
	// Send fails only if the node has stopped or does not respond in time.
	// There is nothing left to do in either case.
	_ = r.relay.node.Send(ctx, lentilmux.ForwardDoneMsg{
		Request: r.inbound.ID, Outcome: r.result.Outcome, Reason: r.result.Reason, Status: r.result.Status,
		Events: r.result.Events, TimeToFirstByte: r.result.TimeToFirstByte, MaxEventGap: r.result.MaxEventGap, Duration: r.result.Duration,
	})
	r.relay.observe(r.result)
}

// refuse ends a request that gets no further attempt. A response that has begun
// is aborted. Otherwise the caller gets the last failure response of an
// upstream, if there is one and the request may have run, or else the refusal.
func (r *relayedRequest) refuse(refusal *lentilmux.Refusal) {
	r.result.Outcome, r.result.Reason = refusal.Outcome, refusal.Reason
	switch {
	case r.headersSent:
		r.sink.Abort()
	case r.failedResponse != nil && refusal.Outcome != lentilmux.OutcomeNotRun:
		r.result.Status = r.sink.WriteReply(r.failedResponse, r.failedBody)
	default:
		r.result.Status = r.sink.Refuse(refusal)
	}
}

// abort ends a request whose caller disconnected or whose node stopped.
func (r *relayedRequest) abort(err error) {
	r.result.Reason = lentilmux.ReasonCanceled
	if errors.Is(err, lentilmux.ErrStopped) {
		r.result.Reason = lentilmux.ReasonDraining
	}
	r.sink.Abort()
}

// runAttempt makes one attempt. It returns nil if the request has ended, else a
// report of what failed.
func (r *relayedRequest) runAttempt(ctx context.Context, attempt lentilmux.Attempt) (failure *lentilmux.ForwardFailedMsg) {
	r.result.Kind = attempt.Kind
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
	r.result.Outcome = lentilmux.OutcomeAnswered
	r.result.Status = r.sink.WriteReply(response, body)
	return nil
}

// relayStream passes on the events of a stream as they arrive. An event number
// that does not increase is a protocol error, since the caller would get an
// event twice; so is a stream without events.
func (r *relayedRequest) relayStream(ctx context.Context, attempt lentilmux.Attempt, response lentilmux.UpstreamResponse, stallWatchdog *watchdog) (err error) {
	for started := false; ; started = true {
		event, number, err := response.Next()
		if errors.Is(err, io.EOF) && started {
			r.result.Outcome = lentilmux.OutcomeAnswered
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

// errCallerDisconnected ends a stream whose events can no longer be written to
// the caller.
const errCallerDisconnected = errors.ConstError("caller disconnected")

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
			r.result.Outcome = lentilmux.OutcomeAnswered
			r.result.Status = r.sink.WriteReply(response, body)
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
		r.abort(err)
		return nil
	case ctx.Err() != nil:
		r.expire(failure.NotRun)
		return nil
	case errors.Is(context.Cause(attemptCtx), errStalled):
		failure.Kind = lentilmux.FailureTimeout
	}
	return failure
}

// expire ends a request whose deadline has passed.
func (r *relayedRequest) expire(notRun bool) {
	refusal := &lentilmux.Refusal{Outcome: lentilmux.OutcomeUnknown, Reason: lentilmux.ReasonDeadline, Detail: "the deadline or the route's timeout has passed"}
	if notRun && r.failedResponse == nil && !r.headersSent {
		refusal.Detail = "no upstream could be reached in time"
	}
	r.refuse(refusal)
}

// failureReport returns the report of a failed attempt.
func (r *relayedRequest) failureReport(attempt lentilmux.Attempt, kind lentilmux.FailureKind) *lentilmux.ForwardFailedMsg {
	return &lentilmux.ForwardFailedMsg{Request: attempt.Request, Epoch: attempt.Epoch, Kind: kind, Delivered: r.result.Events}
}

// recordProgress records progress of all upstreams on the path of an attempt.
func (r *relayedRequest) recordProgress(attempt lentilmux.Attempt) {
	now := r.relay.clock()
	for _, progress := range attempt.Progress {
		progress.Record(now)
	}
}
