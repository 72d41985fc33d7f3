package engine

import (
	"context"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

// reportTimeout bounds the report of a request's end to the node, which is sent
// even after the caller has disconnected.
const reportTimeout = 5 * time.Second

// Relay runs model requests through pipelines. For each token position it runs
// the stages in order, and it passes each token to the caller exactly once.
//
// If a stage fails, the relay asks the node for another route and continues with
// the next token in a new epoch. Output of the previous epoch cannot get into the
// response, since its streams are closed before the new ones are opened and each
// output must carry the expected position.
//
// Relay is safe for concurrent use.
type Relay struct {
	lentilmux.AttemptRegistry

	node   lentilmux.NodeClient
	engine lentilmux.Engine
}

// NewRelay returns a relay that requests routes from node and runs stages through
// engine.
func NewRelay(node lentilmux.NodeClient, engine lentilmux.Engine) *Relay {
	return &Relay{node: node, engine: engine}
}

// Prompt is the input of a model request.
type Prompt struct {
	Text      string
	MaxTokens int // maximum number of completion tokens
}

// Result describes a response that has ended, complete or not.
type Result struct {
	Tokens int // number of completion tokens given to the caller
	// StoredReply is the reply to an earlier request with the same idempotency
	// key. If it is set, no token was emitted.
	StoredReply *lentilmux.ServiceReply
}

// EmitFunc passes a token to the caller. An error ends the request.
type EmitFunc func(token string) (err error)

// Generate serves a model request and emits every token of the response in
// order. buildReply turns all tokens into the reply that is stored for resends
// with the same idempotency key.
//
// A nil error means that the response is complete. Otherwise a
// [*lentilmux.Refusal] says whether the request may have run.
func (r *Relay) Generate(ctx context.Context, request lentilmux.Request, prompt Prompt, emit EmitFunc, buildReply func(tokens []string) lentilmux.ServiceReply) (result Result, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	answer, err := r.node.Ask(ctx, lentilmux.RequestMsg{Request: request})
	if err != nil {
		r.reportDone(lentilmux.RequestDoneMsg{Request: request.ID, Outcome: lentilmux.OutcomeNotRun, Reason: lentilmux.ReasonCanceled})
		return Result{}, contextRefusal(ctx, request.UnsentOutcome())
	}
	var generated []string
	for {
		route, storedReply, err := lentilmux.RouteFromAnswer(answer)
		if err != nil || storedReply != nil {
			return Result{Tokens: len(generated), StoredReply: storedReply}, err
		}
		tokens, failure := r.runAttempt(ctx, cancel, route, prompt, generated, emit)
		generated = tokens
		if failure == nil {
			r.reportDone(lentilmux.RequestDoneMsg{
				Request: request.ID, Outcome: lentilmux.OutcomeAnswered, Reply: buildReply(generated), Tokens: len(generated),
			})
			return Result{Tokens: len(generated)}, nil
		}
		if ctx.Err() != nil {
			refusal := contextRefusal(ctx, lentilmux.OutcomeUnknown)
			r.reportDone(lentilmux.RequestDoneMsg{Request: request.ID, Outcome: lentilmux.OutcomeUnknown, Reason: refusal.Reason})
			return Result{Tokens: len(generated)}, refusal
		}
		answer, err = r.node.Ask(ctx, lentilmux.AttemptFailedMsg{
			Request: request.ID, Epoch: route.Epoch, Stage: failure.stage, Kind: failure.kind, DeliveredTokens: len(generated),
		})
		if err != nil {
			refusal := contextRefusal(ctx, lentilmux.OutcomeUnknown)
			r.reportDone(lentilmux.RequestDoneMsg{Request: request.ID, Outcome: lentilmux.OutcomeUnknown, Reason: refusal.Reason})
			return Result{Tokens: len(generated)}, refusal
		}
	}
}

// contextRefusal returns the refusal for a request that cannot continue: its
// context has ended or, if it has not, the node has stopped.
func contextRefusal(ctx context.Context, outcome lentilmux.Outcome) *lentilmux.Refusal {
	refusal := &lentilmux.Refusal{Outcome: outcome, Reason: lentilmux.ReasonCanceled, Detail: "the caller went away"}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		refusal.Reason, refusal.Detail = lentilmux.ReasonDeadline, "the deadline passed while the request ran"
	case errors.Is(cause, lentilmux.ErrStopped):
		refusal.Reason, refusal.Detail = lentilmux.ReasonDraining, "this entry VM ends"
	case errors.Is(cause, lentilmux.ErrStoppedByOperator):
		refusal.Reason, refusal.Detail = lentilmux.ReasonStopped, "an operator stopped the request"
	case cause == nil:
		refusal.Reason, refusal.Detail = lentilmux.ReasonDraining, "this entry VM has stopped"
	}
	return refusal
}

// reportDone reports the end of a request. It uses a context of its own, since
// the request's context may have ended.
func (r *Relay) reportDone(msg lentilmux.RequestDoneMsg) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	// Send fails only if the node has stopped or hangs. In both cases it cannot
	// process the report.
	_ = r.node.Send(ctx, msg)
}

// stageFailure says which stage ended an attempt, by its index in the route, and
// how it failed.
type stageFailure struct {
	stage int
	kind  lentilmux.FailureKind
}

// runAttempt runs one attempt, starting with the token after generated. It
// returns all tokens given to the caller so far, and a nil failure if the response
// is complete. It calls cancel, which ends the request, if a token cannot be
// passed to the caller.
func (r *Relay) runAttempt(ctx context.Context, cancel context.CancelCauseFunc, route lentilmux.Route, prompt Prompt, generated []string, emit EmitFunc) (tokens []string, failure *stageFailure) {
	attemptCtx, abort := context.WithCancelCause(ctx)
	defer abort(nil)
	r.Add(route.Request, route.Epoch, abort, cancel)
	defer r.Remove(route.Request)
	stages, failure := r.openStages(attemptCtx, route, prompt, generated)
	defer closeStages(stages)
	if failure != nil {
		return generated, markIfAborted(attemptCtx, failure)
	}
	reporter := r.newProgressReporter(route.Request)
	defer func() { reporter.report(ctx) }()
	for {
		output, failure := runStep(attemptCtx, route, stages, generated)
		if failure != nil {
			return generated, markIfAborted(attemptCtx, failure)
		}
		generated = append(generated, output.Token)
		reporter.addToken(ctx)
		if err := emit(output.Token); err != nil {
			cancel(err)
			return generated, &stageFailure{kind: lentilmux.FailureTimeout}
		}
		if output.End {
			return generated, nil
		}
	}
}

// markIfAborted sets the failure kind to [lentilmux.FailureAborted] if the node
// ended the attempt, and returns the failure.
func markIfAborted(ctx context.Context, failure *stageFailure) *stageFailure {
	if errors.Is(context.Cause(ctx), lentilmux.ErrAborted) {
		failure.kind = lentilmux.FailureAborted
	}
	return failure
}

// openStages opens the streams of all stages of the route. If one fails, it
// returns those already open, which the caller has to close.
func (r *Relay) openStages(ctx context.Context, route lentilmux.Route, prompt Prompt, generated []string) (stages []lentilmux.Stage, failure *stageFailure) {
	for i, s := range route.Stages {
		stage, err := r.engine.OpenStage(ctx, s.Addr, lentilmux.StageOpen{
			Request: route.Request, Epoch: route.Epoch, Model: route.Model, Layers: s.Layers, TotalLayers: route.TotalLayers,
			Prompt: prompt.Text, Generated: generated, MaxTokens: prompt.MaxTokens, Priority: route.Priority,
		})
		if err != nil {
			return stages, newStageFailure(i, err)
		}
		stages = append(stages, stage)
	}
	return stages, nil
}

func closeStages(stages []lentilmux.Stage) {
	for _, stage := range stages {
		_ = stage.Close() // the stream is abandoned, so an error does not matter
	}
}

// runStep runs one token position through all stages in order. It returns the
// output of the last stage, which carries the token.
func runStep(ctx context.Context, route lentilmux.Route, stages []lentilmux.Stage, generated []string) (output lentilmux.StepOutput, failure *stageFailure) {
	position := len(generated)
	input := lentilmux.StepInput{Position: position}
	if position > 0 {
		input.Token = generated[position-1]
	}
	for i, stage := range stages {
		stepCtx, cancel := context.WithTimeout(ctx, route.StepTimeout)
		stageOutput, err := stage.Step(stepCtx, input)
		cancel()
		if err != nil {
			return lentilmux.StepOutput{}, newStageFailure(i, err)
		}
		isLast := i == len(stages)-1
		if stageOutput.Position != position || (stageOutput.Token != "") != isLast {
			return lentilmux.StepOutput{}, &stageFailure{stage: i, kind: lentilmux.FailureProtocol}
		}
		input.Token, input.Activation = "", stageOutput.Activation
		output = stageOutput
	}
	return output, nil
}

// newStageFailure returns the failure for an error of the stage with this index.
// An error that is no [*lentilmux.UpstreamError] counts as a protocol violation.
func newStageFailure(stage int, err error) *stageFailure {
	var upstreamErr *lentilmux.UpstreamError
	if errors.As(err, &upstreamErr) {
		return &stageFailure{stage: stage, kind: upstreamErr.Kind}
	}
	return &stageFailure{stage: stage, kind: lentilmux.FailureProtocol}
}
