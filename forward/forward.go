// Package forward relays requests that are forwarded unchanged to an upstream.
// It asks the node for an attempt, sends the request, passes the response on to
// the caller, and asks for a further attempt if that one fails. A retried
// stream resumes after the last complete event that the caller has.
//
// If an attempt stalls, the node may give another one beside it. Both then race:
// the one whose answer begins or goes on first is passed on, and the others are
// canceled. An attempt that may still go on is never given up for one that may
// not begin.
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
	"sync"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

// reportTimeout bounds the report of a request's end to the node. The report
// has its own context since it is also sent after the caller has disconnected.
const reportTimeout = 5 * time.Second

// errNodeSilent ends a request that the node has not answered in time.
const errNodeSilent = errors.ConstError("the node did not answer in time")

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
	Promise         Promise
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
// the end to the node and to the observer. The context ends when the caller has
// disconnected, or with the cause [lentilmux.ErrStopped] when the process ends.
func (r *Relay) Run(ctx context.Context, inbound lentilmux.InboundRequest, sender lentilmux.RequestSender, sink lentilmux.Sink) {
	request := &relayedRequest{
		relay: r, inbound: inbound, sender: sender, sink: sink, result: Result{Outcome: lentilmux.OutcomeUnknown},
		race: race{lastEvent: inbound.ResumeAfter}, results: make(chan contenderResult, 1),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer request.reportDone()
	defer request.dropResults()
	defer request.contenders.Wait()
	defer cancel()
	request.serve(ctx)
}

// Reject refuses a request whose body did not arrive as it should. Nothing of it was
// sent to an upstream. A request that has been forwarded may have run elsewhere, which
// decides the outcome of the refusal.
func (r *Relay) Reject(inbound lentilmux.InboundRequest, cause lentilmux.EndCause, refusal lentilmux.Refusal, sink lentilmux.Sink) {
	request := &relayedRequest{relay: r, inbound: inbound, sink: sink}
	refusal.Outcome = request.unfinished(refusal.Reason, refusal.Detail).Outcome
	request.refuseBecause(cause, &refusal)
	request.reportDone()
}

// relayedRequest is the state of one request while [Relay.Run] serves it. Only
// the goroutine of Run uses it, except for the fields of the last group.
type relayedRequest struct {
	relay   *Relay
	inbound lentilmux.InboundRequest
	sender  lentilmux.RequestSender
	sink    lentilmux.Sink

	headersSent bool      // whether status and headers were sent to the caller, or are being sent
	lastEventAt time.Time // when the last event was sent to the caller
	deadline    time.Time // of the attempts; zero before the first
	sentAt      time.Time // when the first attempt was sent; zero before
	result      Result

	race       race
	contenders sync.WaitGroup       // goroutines of attempts beside the current one
	results    chan contenderResult // of the contenders, at most one at a time
}

// serve makes attempts until the request has ended.
func (r *relayedRequest) serve(ctx context.Context) {
	defer r.recoverServe(ctx)
	answer, err := r.ask(ctx, lentilmux.ForwardMsg{Inbound: r.inbound})
	for err == nil {
		var failure *lentilmux.ForwardFailedMsg
		switch x := answer.(type) {
		case lentilmux.RefusalAnswer:
			r.refuse(&x.Refusal)
			return
		case lentilmux.AttemptAnswer:
			if r.race.beganWithoutNumbers() {
				r.refuse(&lentilmux.Refusal{Outcome: lentilmux.OutcomeUnknown, Reason: lentilmux.ReasonUpstreamFailed})
				return
			}
			attempt := r.startAttempt(ctx, x.Attempt)
			r.recordSent(attempt)
			r.race.add(attempt)
			failure = r.runAttempt(ctx, attempt, r.begin(attempt))
		case lentilmux.WaitAnswer:
			result, ok := r.awaitContender(ctx)
			if !ok {
				return
			}
			if result.attempt == nil {
				answer, err = result.answer, result.err
				continue
			}
			failure = r.runAttempt(ctx, result.attempt, nil)
		default:
			err = errors.Errorf("unexpected answer %T", answer)
			continue
		}
		if failure == nil {
			return
		}
		answer, err = r.ask(ctx, *failure)
	}
	r.abort(ctx, err)
}

// ask asks the node for an attempt, for as long as the caller waits.
func (r *relayedRequest) ask(ctx context.Context, msg lentilmux.Msg) (answer lentilmux.Answer, err error) {
	ctx, cancel := context.WithTimeoutCause(ctx, r.inbound.Deadline.Sub(r.relay.clock()), errNodeSilent)
	defer cancel()
	return r.relay.node.Ask(ctx, msg)
}

// awaitContender waits for the result of an attempt beside the one that failed. It
// ends the request and returns false if the caller disconnects or the deadline
// passes.
func (r *relayedRequest) awaitContender(ctx context.Context) (result contenderResult, ok bool) {
	timer := time.NewTimer(r.deadline.Sub(r.relay.clock()))
	defer timer.Stop()
	select {
	case result := <-r.results:
		return result, true
	case <-ctx.Done():
		r.abort(ctx, ctx.Err())
	case <-timer.C:
		r.expire(false)
	}
	return contenderResult{}, false
}
