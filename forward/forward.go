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
	End             lentilmux.RequestEnd
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
			failure := request.runAttempt(ctx, x.Attempt)
			if failure == nil {
				return
			}
			request.recordFailure(failure)
			if next := request.replacement.Load(); next != nil {
				answer = lentilmux.AttemptAnswer{Attempt: *next}
				continue
			}
			answer, err = r.node.Ask(ctx, *failure)
		default:
			err = errors.Errorf("unexpected answer %T", answer)
		}
	}
	request.abort(ctx, err)
}

// Abandon ends a request whose body did not arrive completely. Nothing of it was
// sent to an upstream.
func (r *Relay) Abandon(inbound lentilmux.InboundRequest, sink lentilmux.Sink) {
	request := &relayedRequest{relay: r, inbound: inbound, sink: sink, result: Result{Outcome: lentilmux.OutcomeNotRun, Reason: lentilmux.ReasonCanceled}}
	request.result.End.Cause = lentilmux.EndBodyUnreadable
	request.breakOff()
	request.reportDone()
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
	canceled    atomic.Int64                      // attempts canceled in favor of another one
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
		r.canceled.Add(1)
		cancel(errStalled)
	}
	return 0
}
