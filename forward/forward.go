// Package forward drives requests that are forwarded whole: it asks the node
// for a leg, sends the request over it, passes the answer on, and asks for
// another leg if that one fails. Streams go on behind the last whole event that
// the caller has.
//
// It decides nothing but what the bytes tell: where a request goes and whether
// it may be sent again is the node's decision. It speaks to upstreams and
// callers through [lentilmux.RequestSender] and [lentilmux.Sink], and is named for
// what it does for both.
//
// # Usage
//
//	relay := forward.NewRelay(node, forward.WithObserver(observe))
//	relay.Run(ctx, inbound, carrier, sink)
package forward

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

// reportTimeout bounds the report of a request's end, which is made even when
// its caller is gone.
const reportTimeout = 5 * time.Second

// errSilent ends a leg without progress.
const errSilent = errors.ConstError("no progress")

// Result tells how a request ended.
type Result struct {
	Kind            lentilmux.CallKind
	Outcome         lentilmux.Outcome
	Reason          lentilmux.Reason
	Status          int
	Events          int
	TimeToFirstByte time.Duration // until the first byte of the answer
	MaxEventGap     time.Duration // the longest pause between two events
	Duration        time.Duration
}

// Relay drives requests.
type Relay struct {
	node    lentilmux.NodeClient
	clock   func() time.Time
	observe func(Result)
}

// Option changes a [Relay] while it is made.
type Option func(*Relay)

// WithObserver sets what is told of each request's end.
func WithObserver(observe func(Result)) Option {
	return func(r *Relay) { r.observe = observe }
}

// WithClock sets the clock of deadlines, the same that the node has.
func WithClock(clock func() time.Time) Option {
	return func(r *Relay) { r.clock = clock }
}

// NewRelay returns a relay that asks node for legs.
func NewRelay(node lentilmux.NodeClient, options ...Option) *Relay {
	r := &Relay{node: node, clock: time.Now, observe: func(Result) {}}
	for _, option := range options {
		option(r)
	}
	return r
}

// Run serves one request until its answer is whole, refused or broken.
func (r *Relay) Run(ctx context.Context, inbound lentilmux.InboundRequest, carrier lentilmux.RequestSender, sink lentilmux.Sink) {
	run := &run{relay: r, inbound: inbound, carrier: carrier, sink: sink, after: inbound.ResumeAfter, result: Result{Outcome: lentilmux.OutcomeUnknown}}
	defer run.done()
	answer, err := r.node.Ask(ctx, lentilmux.ForwardMsg{Inbound: inbound})
	for err == nil {
		switch x := answer.(type) {
		case lentilmux.RefusalAnswer:
			run.refuse(&x.Refusal)
			return
		case lentilmux.AttemptAnswer:
			failed := run.leg(ctx, x.Attempt)
			if failed == nil {
				return
			}
			if next := run.next.Load(); next != nil {
				answer = lentilmux.AttemptAnswer{Attempt: *next}
				continue
			}
			answer, err = r.node.Ask(ctx, *failed)
		default:
			err = errors.Errorf("unexpected answer %T", answer)
		}
	}
	run.gone(err)
}

// run is the state of one request.
type run struct {
	relay   *Relay
	inbound lentilmux.InboundRequest
	carrier lentilmux.RequestSender
	sink    lentilmux.Sink

	after  int64 // number of the last event that the caller has; negative for none
	began  bool  // whether the caller has status and headers
	kept   lentilmux.UpstreamResponse
	body   []byte // of the failure kept, in case nothing better comes
	last   time.Time
	result Result

	delivered atomic.Int64                      // events that the caller has
	next      atomic.Pointer[lentilmux.Attempt] // replaces the leg that was found silent
}

// silent tells the node of a leg without progress. It returns how long to wait
// before it does so again; a leg that is replaced is ended.
func (r *run) silent(ctx context.Context, leg lentilmux.Attempt, end context.CancelCauseFunc) (wait time.Duration) {
	answer, err := r.relay.node.Ask(ctx, lentilmux.ForwardStalledMsg{Request: leg.Request, Epoch: leg.Epoch, Delivered: int(r.delivered.Load())})
	if err != nil {
		return 0 // the leg has ended
	}
	switch x := answer.(type) {
	case lentilmux.WaitAnswer:
		return x.Wait
	case lentilmux.AttemptAnswer:
		r.next.Store(&x.Attempt)
		end(errSilent)
	}
	return 0
}

// done reports the end of the request to the node.
func (r *run) done() {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	r.result.Duration = r.relay.clock().Sub(r.inbound.ReceivedAt)
	// The only errors are a stopped node and one that hangs.
	_ = r.relay.node.Send(ctx, lentilmux.ForwardDoneMsg{
		Request: r.inbound.ID, Outcome: r.result.Outcome, Reason: r.result.Reason, Status: r.result.Status,
		Events: r.result.Events, TimeToFirstByte: r.result.TimeToFirstByte, MaxEventGap: r.result.MaxEventGap, Duration: r.result.Duration,
	})
	r.relay.observe(r.result)
}

// refuse ends a request that gets no leg. A failure that an upstream gave is
// passed on as it was; an answer that has begun is broken off.
func (r *run) refuse(refusal *lentilmux.Refusal) {
	r.result.Outcome, r.result.Reason = refusal.Outcome, refusal.Reason
	switch {
	case r.began:
		r.sink.Abort()
	case r.kept != nil && refusal.Outcome != lentilmux.OutcomeNotRun:
		r.result.Status = r.sink.WriteReply(r.kept, r.body)
	default:
		r.result.Status = r.sink.Refuse(refusal)
	}
}

// gone ends a request whose caller left or whose node stopped.
func (r *run) gone(err error) {
	r.result.Reason = lentilmux.ReasonCanceled
	if errors.Is(err, lentilmux.ErrStopped) {
		r.result.Reason = lentilmux.ReasonDraining
	}
	r.sink.Abort()
}

// leg sends the request over a leg. It returns nil when the request has ended,
// and else what failed.
func (r *run) leg(ctx context.Context, leg lentilmux.Attempt) (failed *lentilmux.ForwardFailedMsg) {
	r.result.Kind = leg.Kind
	ctx, cancel := context.WithTimeout(ctx, leg.Deadline.Sub(r.relay.clock()))
	defer cancel()
	legCtx, end := context.WithCancelCause(ctx)
	defer end(nil)
	r.next.Store(nil)
	watch := newWatch(leg.FirstEventTimeout)
	watch.start(func() (wait time.Duration) { return r.silent(legCtx, leg, end) })
	defer watch.stop()
	delivery, err := r.carrier.Send(legCtx, leg, r.after)
	if err != nil {
		return r.broke(ctx, legCtx, leg, err)
	}
	defer delivery.Close()
	switch {
	case delivery.Verdict() == lentilmux.VerdictSuccess && leg.Kind.Streams():
		err = r.stream(legCtx, leg, delivery, watch)
	case delivery.Verdict() == lentilmux.VerdictSuccess:
		err = r.call(leg, delivery)
	default:
		return r.unsuccessful(leg, delivery)
	}
	if err == nil {
		return nil
	}
	return r.broke(ctx, legCtx, leg, err)
}

// call passes on the whole answer of a call that is no stream.
func (r *run) call(leg lentilmux.Attempt, delivery lentilmux.UpstreamResponse) (err error) {
	body, err := delivery.Body()
	if err != nil {
		return err
	}
	r.beat(leg)
	r.result.TimeToFirstByte = r.relay.clock().Sub(r.inbound.ReceivedAt)
	r.result.Outcome = lentilmux.OutcomeAnswered
	r.result.Status = r.sink.WriteReply(delivery, body)
	return nil
}

// stream passes on events as they arrive.
func (r *run) stream(ctx context.Context, leg lentilmux.Attempt, delivery lentilmux.UpstreamResponse, watch *watch) (err error) {
	for begun := false; ; begun = true {
		event, number, err := delivery.Next()
		if errors.Is(err, io.EOF) && begun {
			r.result.Outcome = lentilmux.OutcomeAnswered
			return nil
		}
		if err != nil {
			return err
		}
		if r.after >= 0 && number <= r.after {
			return &lentilmux.UpstreamError{Kind: lentilmux.FailureProtocol, Err: errors.Errorf("event %d after event %d", number, r.after)}
		}
		watch.reset(leg.EventGapTimeout)
		r.beat(leg)
		if !begun {
			r.begin(ctx, leg, delivery)
		}
		if err := r.sink.WriteEvent(event); err != nil {
			return errCallerGone
		}
		r.count(number)
	}
}

// errCallerGone ends a stream that nobody takes any more.
const errCallerGone = errors.ConstError("the caller is gone")

// begin gives the caller status and headers, once, and tells the node that the
// prompt was read.
func (r *run) begin(ctx context.Context, leg lentilmux.Attempt, delivery lentilmux.UpstreamResponse) {
	if !r.began {
		r.sink.WriteHeader(delivery)
		r.began = true
		r.result.Status = 200
	}
	// An error means that the request is ending, which is reported anyway.
	_ = r.relay.node.Send(ctx, lentilmux.ForwardStartedMsg{Request: leg.Request, Epoch: leg.Epoch})
}

// count notes an event that the caller has.
func (r *run) count(number int64) {
	now := r.relay.clock()
	if r.result.Events == 0 {
		r.result.TimeToFirstByte = now.Sub(r.inbound.ReceivedAt)
	} else {
		r.result.MaxEventGap = max(r.result.MaxEventGap, now.Sub(r.last))
	}
	r.last = now
	r.result.Events++
	r.after = number
	r.delivered.Add(1)
}

// unsuccessful handles an answer that is no success. The failure of an upstream
// is kept, to be passed on if nothing better comes.
func (r *run) unsuccessful(leg lentilmux.Attempt, delivery lentilmux.UpstreamResponse) (failed *lentilmux.ForwardFailedMsg) {
	r.beat(leg)
	failed = r.failure(leg, lentilmux.FailureRefused)
	failed.BlamedUpstream = delivery.BlamedUpstream()
	switch delivery.Verdict() {
	case lentilmux.VerdictNotRun:
		failed.NotRun = true
		failed.Answered = true
	case lentilmux.VerdictFailed:
		failed.Answered = true
		body, err := delivery.Body()
		if err != nil {
			failed.Answered, failed.Kind = false, lentilmux.FailureCrash
			return failed
		}
		r.kept, r.body = delivery, body
		if !leg.Kind.Repeatable() && !r.began {
			r.result.Outcome = lentilmux.OutcomeAnswered
			r.result.Status = r.sink.WriteReply(delivery, body)
			return nil
		}
	default:
		failed.Kind = lentilmux.FailureProtocol
	}
	return failed
}

// broke tells why a leg broke, or ends the request if nothing can follow.
func (r *run) broke(ctx, legCtx context.Context, leg lentilmux.Attempt, err error) (failed *lentilmux.ForwardFailedMsg) {
	failed = r.failure(leg, lentilmux.FailureProtocol)
	var step *lentilmux.UpstreamError
	if errors.As(err, &step) {
		failed.Kind = step.Kind
	}
	failed.NotRun = failed.Kind == lentilmux.FailureDial
	switch {
	case errors.Is(err, errCallerGone), errors.Is(ctx.Err(), context.Canceled):
		r.gone(err)
		return nil
	case ctx.Err() != nil:
		r.expire(failed.NotRun)
		return nil
	case errors.Is(context.Cause(legCtx), errSilent):
		failed.Kind = lentilmux.FailureTimeout
	}
	return failed
}

// expire ends a request whose time is over.
func (r *run) expire(notRun bool) {
	refusal := &lentilmux.Refusal{Outcome: lentilmux.OutcomeUnknown, Reason: lentilmux.ReasonDeadline, Detail: "the deadline or the route's timeout has passed"}
	if notRun && r.kept == nil && !r.began {
		refusal.Detail = "no upstream could be reached in time"
	}
	r.refuse(refusal)
}

// failure returns the report of a failed leg.
func (r *run) failure(leg lentilmux.Attempt, kind lentilmux.FailureKind) *lentilmux.ForwardFailedMsg {
	return &lentilmux.ForwardFailedMsg{Request: leg.Request, Epoch: leg.Epoch, Kind: kind, Delivered: r.result.Events}
}

// beat notes that all upstreams of a leg made progress.
func (r *run) beat(leg lentilmux.Attempt) {
	now := r.relay.clock()
	for _, pulse := range leg.Progress {
		pulse.Record(now)
	}
}
