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

// expire ends a request whose deadline has passed.
func (r *relayedRequest) expire(notRun bool) {
	refusal := &lentilmux.Refusal{Outcome: lentilmux.OutcomeUnknown, Reason: lentilmux.ReasonDeadline, Detail: "the deadline or the route's timeout has passed"}
	if notRun && r.failedResponse == nil && !r.headersSent {
		refusal.Detail = "no upstream could be reached in time"
	}
	r.refuse(refusal)
}

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
