package service

import (
	"context"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

// reportTimeout bounds each report to the node about a failed or finished call.
// Reports are sent even after the caller has disconnected.
const reportTimeout = 5 * time.Second

// Runner executes calls to plain services on the upstreams that the node
// chooses, and retries when the node gives another route. A call that is not
// idempotent is retried on a second upstream only if no byte of it reached the
// first. Runner is safe for concurrent use.
type Runner struct {
	lentilmux.AttemptRegistry

	node    lentilmux.NodeClient
	service lentilmux.Service
}

// NewRunner returns a runner that requests routes from node and sends calls
// through service.
func NewRunner(node lentilmux.NodeClient, service lentilmux.Service) *Runner {
	return &Runner{node: node, service: service}
}

// Run serves a request for a plain service and returns the service's reply, or
// the stored reply to an earlier request with the same idempotency key. If there
// is none, a [*lentilmux.Refusal] says whether the call may have run.
//
// A call with an idempotency key runs to completion even if its caller
// disconnects, so that a resend with the same key can be given the stored reply.
func (r *Runner) Run(ctx context.Context, request lentilmux.Request, call lentilmux.ServiceCall) (reply lentilmux.ServiceReply, err error) {
	answer, err := r.node.Ask(ctx, lentilmux.RequestMsg{Request: request})
	if err != nil {
		r.reportDone(lentilmux.RequestDoneMsg{Request: request.ID, Outcome: lentilmux.OutcomeNotRun, Reason: lentilmux.ReasonCanceled})
		refusal := &lentilmux.Refusal{Outcome: request.UnsentOutcome(), Reason: lentilmux.ReasonCanceled, Detail: "the caller went away"}
		if errors.Is(err, lentilmux.ErrStopped) {
			refusal.Reason, refusal.Detail = lentilmux.ReasonDraining, "this entry VM ends"
		}
		return lentilmux.ServiceReply{}, refusal
	}
	for {
		route, storedReply, err := lentilmux.RouteFromAnswer(answer)
		if err != nil {
			return lentilmux.ServiceReply{}, err
		}
		if storedReply != nil {
			return *storedReply, nil
		}
		reply, kind, err := r.runAttempt(ctx, route, request, call)
		if err == nil {
			r.reportDone(lentilmux.RequestDoneMsg{Request: request.ID, Outcome: lentilmux.OutcomeAnswered, Reply: reply})
			return reply, nil
		}
		if errors.Is(err, lentilmux.ErrStoppedByOperator) {
			r.reportDone(lentilmux.RequestDoneMsg{Request: request.ID, Outcome: lentilmux.OutcomeUnknown, Reason: lentilmux.ReasonStopped})
			return lentilmux.ServiceReply{}, &lentilmux.Refusal{Reason: lentilmux.ReasonStopped, Detail: "an operator stopped the call while it ran"}
		}
		if errors.Is(err, lentilmux.ErrStopped) {
			r.reportDone(lentilmux.RequestDoneMsg{Request: request.ID, Outcome: lentilmux.OutcomeUnknown, Reason: lentilmux.ReasonDraining})
			return lentilmux.ServiceReply{}, &lentilmux.Refusal{Reason: lentilmux.ReasonDraining, Detail: "this entry VM ends"}
		}
		if answer, err = r.reportFailure(route, kind); err != nil {
			return lentilmux.ServiceReply{}, &lentilmux.Refusal{Reason: lentilmux.ReasonDraining, Detail: "this entry VM has stopped"}
		}
	}
}

// reportFailure reports a failed attempt and returns the node's decision: a
// route for a retry, or a refusal.
func (r *Runner) reportFailure(route lentilmux.Route, kind lentilmux.FailureKind) (answer lentilmux.Answer, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	return r.node.Ask(ctx, lentilmux.AttemptFailedMsg{Request: route.Request, Epoch: route.Epoch, Kind: kind})
}

// runAttempt sends the call to the upstream of route, which has one stage.
// kind is valid only with an error other than [lentilmux.ErrStoppedByOperator] and
// [lentilmux.ErrStopped].
func (r *Runner) runAttempt(ctx context.Context, route lentilmux.Route, request lentilmux.Request, call lentilmux.ServiceCall) (reply lentilmux.ServiceReply, kind lentilmux.FailureKind, err error) {
	requestCtx := ctx
	if request.Key != "" {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	ctx, cancelAttempt := context.WithCancelCause(ctx)
	defer cancelAttempt(nil)
	stopWatch := context.AfterFunc(requestCtx, func() {
		if errors.Is(context.Cause(requestCtx), lentilmux.ErrStopped) {
			cancelAttempt(lentilmux.ErrStopped)
		}
	})
	defer stopWatch()
	r.Add(route.Request, route.Epoch, cancelAttempt, cancelAttempt)
	defer r.Remove(route.Request)
	if errors.Is(context.Cause(ctx), lentilmux.ErrStopped) {
		return lentilmux.ServiceReply{}, 0, lentilmux.ErrStopped
	}
	if err := ctx.Err(); err != nil {
		return lentilmux.ServiceReply{}, lentilmux.FailureDial, err
	}
	reply, err = r.service.Call(ctx, route.Stages[0].Addr, call)
	if err == nil {
		return reply, 0, nil
	}
	cause := context.Cause(ctx)
	for _, stop := range []error{lentilmux.ErrStoppedByOperator, lentilmux.ErrStopped} {
		if errors.Is(cause, stop) {
			return lentilmux.ServiceReply{}, 0, stop
		}
	}
	kind = errorKind(err)
	if errors.Is(cause, lentilmux.ErrAborted) && kind != lentilmux.FailureDial {
		kind = lentilmux.FailureAborted
	}
	return lentilmux.ServiceReply{}, kind, err
}

// errorKind returns the failure kind of an error returned by
// [lentilmux.Service.Call].
func errorKind(err error) lentilmux.FailureKind {
	var upstreamErr *lentilmux.UpstreamError
	if errors.As(err, &upstreamErr) {
		return upstreamErr.Kind
	}
	return lentilmux.FailureProtocol
}

// reportDone reports the end of a call. It uses a context of its own, since the
// call's context may have ended.
func (r *Runner) reportDone(msg lentilmux.RequestDoneMsg) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	// Send fails only if the node has stopped or hangs. In both cases it cannot
	// process the report.
	_ = r.node.Send(ctx, msg)
}
