package service

import (
	"context"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

// doneTimeout bounds the report of a call's end, which is made even when its
// caller is gone.
const doneTimeout = 5 * time.Second

// Runner drives calls to plain services. A call that may not repeat is sent to
// a second upstream only if no byte of it reached the first.
type Runner struct {
	lentilmux.AttemptRegistry

	node    lentilmux.NodeClient
	service lentilmux.Service
}

// NewRunner returns a runner that asks node for routes and reaches services
// through service.
func NewRunner(node lentilmux.NodeClient, service lentilmux.Service) *Runner {
	return &Runner{node: node, service: service}
}

// Run serves a request for a plain service. A [*lentilmux.Refusal] tells what is
// known of the work if there is no reply.
//
// A call with a key that may not repeat is seen through to its end even if its
// caller goes away, so that a resend can be given its reply.
func (r *Runner) Run(ctx context.Context, request lentilmux.Request, call lentilmux.ServiceCall) (reply lentilmux.ServiceReply, err error) {
	answer, err := r.node.Ask(ctx, lentilmux.RequestMsg{Request: request})
	if err != nil {
		r.done(lentilmux.RequestDoneMsg{Request: request.ID, Outcome: lentilmux.OutcomeNotRun, Reason: lentilmux.ReasonCanceled})
		return lentilmux.ServiceReply{}, &lentilmux.Refusal{Outcome: request.UnsentOutcome(), Reason: lentilmux.ReasonCanceled, Detail: "the caller went away"}
	}
	for {
		route, remembered, err := lentilmux.RouteFromAnswer(answer)
		if err != nil {
			return lentilmux.ServiceReply{}, err
		}
		if remembered != nil {
			return *remembered, nil
		}
		reply, kind, err := r.attempt(ctx, route, request, call)
		if err == nil {
			r.done(lentilmux.RequestDoneMsg{Request: request.ID, Outcome: lentilmux.OutcomeAnswered, Reply: reply})
			return reply, nil
		}
		if errors.Is(err, lentilmux.ErrStoppedByOperator) {
			r.done(lentilmux.RequestDoneMsg{Request: request.ID, Outcome: lentilmux.OutcomeUnknown, Reason: lentilmux.ReasonStopped})
			return lentilmux.ServiceReply{}, &lentilmux.Refusal{Reason: lentilmux.ReasonStopped, Detail: "an operator stopped the call while it ran"}
		}
		if answer, err = r.failed(route, kind); err != nil {
			return lentilmux.ServiceReply{}, &lentilmux.Refusal{Reason: lentilmux.ReasonDraining, Detail: "this entry VM has stopped"}
		}
	}
}

// failed reports a failed attempt and returns what the node decides.
func (r *Runner) failed(route lentilmux.Route, kind lentilmux.FailureKind) (answer lentilmux.Answer, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), doneTimeout)
	defer cancel()
	return r.node.Ask(ctx, lentilmux.AttemptFailedMsg{Request: route.Request, Epoch: route.Epoch, Kind: kind})
}

// attempt sends the call to the route's upstream.
func (r *Runner) attempt(ctx context.Context, route lentilmux.Route, request lentilmux.Request, call lentilmux.ServiceCall) (reply lentilmux.ServiceReply, kind lentilmux.FailureKind, err error) {
	if request.Key != "" {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	r.Add(route.Request, route.Epoch, end, end)
	defer r.Remove(route.Request)
	if err := ctx.Err(); err != nil {
		return lentilmux.ServiceReply{}, lentilmux.FailureDial, err
	}
	reply, err = r.service.Call(ctx, route.Stages[0].Addr, call)
	if err == nil {
		return reply, 0, nil
	}
	cause := context.Cause(ctx)
	if errors.Is(cause, lentilmux.ErrStoppedByOperator) {
		return lentilmux.ServiceReply{}, 0, lentilmux.ErrStoppedByOperator
	}
	kind = kindOf(err)
	if errors.Is(cause, lentilmux.ErrAborted) && kind != lentilmux.FailureDial {
		kind = lentilmux.FailureAborted
	}
	return lentilmux.ServiceReply{}, kind, err
}

// kindOf returns the kind of a failed call.
func kindOf(err error) lentilmux.FailureKind {
	var stepError *lentilmux.UpstreamError
	if errors.As(err, &stepError) {
		return stepError.Kind
	}
	return lentilmux.FailureProtocol
}

// done reports the end of a call, even if its context has ended.
func (r *Runner) done(msg lentilmux.RequestDoneMsg) {
	ctx, cancel := context.WithTimeout(context.Background(), doneTimeout)
	defer cancel()
	// The only errors are a stopped node and one that is hung; neither can
	// be told.
	_ = r.node.Send(ctx, msg)
}
