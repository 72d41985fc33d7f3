package engine

import (
	"context"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

// doneTimeout bounds the report of a request's end, which is made even when
// its caller is gone.
const doneTimeout = 5 * time.Second

// Relay drives answers through pipelines. It feeds each position to the stages
// in order and hands each token to the caller once.
//
// When a stage fails, the relay asks for another route and goes on at the next
// token in a new epoch. Output of the old epoch cannot reach the answer, since
// its streams are closed before the new ones open and every output must name
// the position that is due.
type Relay struct {
	lentilmux.AttemptRegistry

	node   lentilmux.NodeClient
	engine lentilmux.Engine
}

// NewRelay returns a relay that asks node for routes and reaches engines
// through engine.
func NewRelay(node lentilmux.NodeClient, engine lentilmux.Engine) *Relay {
	return &Relay{node: node, engine: engine}
}

// Prompt is what an answer is made from.
type Prompt struct {
	Text      string
	MaxTokens int
}

// Result is the end of an answer.
type Result struct {
	Tokens int
	// Remembered is the reply of an earlier request with the same key. No
	// token was emitted if it is set.
	StoredReply *lentilmux.ServiceReply
}

// EmitFunc hands a token to the caller.
type EmitFunc func(token string) (err error)

// Answer serves a request for a model: it emits every token of the answer in
// order. finish turns the whole answer into the reply that is kept for resends.
//
// A nil error means that the answer is whole. A [*lentilmux.Refusal] tells what
// is known of the work otherwise.
func (r *Relay) Answer(ctx context.Context, request lentilmux.Request, prompt Prompt, emit EmitFunc, finish func(tokens []string) lentilmux.ServiceReply) (result Result, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	answer, err := r.node.Ask(ctx, lentilmux.RequestMsg{Request: request})
	if err != nil {
		r.done(lentilmux.RequestDoneMsg{Request: request.ID, Outcome: lentilmux.OutcomeNotRun, Reason: lentilmux.ReasonCanceled})
		return Result{}, ended(ctx, request.UnsentOutcome())
	}
	var generated []string
	for {
		route, remembered, err := lentilmux.RouteFromAnswer(answer)
		if err != nil || remembered != nil {
			return Result{Tokens: len(generated), StoredReply: remembered}, err
		}
		tokens, failed := r.attempt(ctx, cancel, route, prompt, generated, emit)
		generated = tokens
		if failed == nil {
			r.done(lentilmux.RequestDoneMsg{
				Request: request.ID, Outcome: lentilmux.OutcomeAnswered, Reply: finish(generated), Tokens: len(generated),
			})
			return Result{Tokens: len(generated)}, nil
		}
		if ctx.Err() != nil {
			refusal := ended(ctx, lentilmux.OutcomeUnknown)
			r.done(lentilmux.RequestDoneMsg{Request: request.ID, Outcome: lentilmux.OutcomeUnknown, Reason: refusal.Reason})
			return Result{Tokens: len(generated)}, refusal
		}
		answer, err = r.node.Ask(ctx, lentilmux.AttemptFailedMsg{
			Request: request.ID, Epoch: route.Epoch, Stage: failed.stage, Kind: failed.kind, Position: len(generated),
		})
		if err != nil {
			refusal := ended(ctx, lentilmux.OutcomeUnknown)
			r.done(lentilmux.RequestDoneMsg{Request: request.ID, Outcome: lentilmux.OutcomeUnknown, Reason: refusal.Reason})
			return Result{Tokens: len(generated)}, refusal
		}
	}
}

// ended returns the refusal of a request whose context ended.
func ended(ctx context.Context, outcome lentilmux.Outcome) *lentilmux.Refusal {
	refusal := &lentilmux.Refusal{Outcome: outcome, Reason: lentilmux.ReasonCanceled, Detail: "the caller went away"}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		refusal.Reason, refusal.Detail = lentilmux.ReasonDeadline, "the deadline passed while the request ran"
	case errors.Is(cause, lentilmux.ErrStoppedByOperator):
		refusal.Reason, refusal.Detail = lentilmux.ReasonStopped, "an operator stopped the request"
	case cause == nil:
		refusal.Reason, refusal.Detail = lentilmux.ReasonDraining, "this entry VM has stopped"
	}
	return refusal
}

// done reports the end of a request, even if its context has ended.
func (r *Relay) done(msg lentilmux.RequestDoneMsg) {
	ctx, cancel := context.WithTimeout(context.Background(), doneTimeout)
	defer cancel()
	// The only errors are a stopped node and one that is hung; neither can
	// be told.
	_ = r.node.Send(ctx, msg)
}

// failure says which stage ended an attempt, and how.
type failure struct {
	stage int
	kind  lentilmux.FailureKind
}

// attempt runs one epoch of an answer from the next token on. It returns all
// tokens given to the caller so far and nil when the answer is whole.
func (r *Relay) attempt(ctx context.Context, cancel context.CancelCauseFunc, route lentilmux.Route, prompt Prompt, generated []string, emit EmitFunc) (tokens []string, failed *failure) {
	attemptCtx, abort := context.WithCancelCause(ctx)
	defer abort(nil)
	r.Add(route.Request, route.Epoch, abort, cancel)
	defer r.Remove(route.Request)
	stages, failed := r.open(attemptCtx, route, prompt, generated)
	defer closeAll(stages)
	if failed != nil {
		return generated, unlessAborted(attemptCtx, failed)
	}
	progress := r.newProgress(route.Request)
	defer func() { progress.report(ctx) }()
	for {
		output, failed := step(attemptCtx, route, stages, generated)
		if failed != nil {
			return generated, unlessAborted(attemptCtx, failed)
		}
		generated = append(generated, output.Token)
		progress.token(ctx)
		if err := emit(output.Token); err != nil {
			cancel(err)
			return generated, &failure{kind: lentilmux.FailureTimeout}
		}
		if output.End {
			return generated, nil
		}
	}
}

// unlessAborted returns the failure, or one that says the node itself ended
// the attempt.
func unlessAborted(ctx context.Context, failed *failure) *failure {
	if errors.Is(context.Cause(ctx), lentilmux.ErrAborted) {
		failed.kind = lentilmux.FailureAborted
	}
	return failed
}

// open opens the streams of all stages.
func (r *Relay) open(ctx context.Context, route lentilmux.Route, prompt Prompt, generated []string) (stages []lentilmux.Stage, failed *failure) {
	for i, s := range route.Stages {
		stage, err := r.engine.OpenStage(ctx, s.Addr, lentilmux.StageOpen{
			Request: route.Request, Epoch: route.Epoch, Model: route.Model, Layers: s.Layers, TotalLayers: route.TotalLayers,
			Prompt: prompt.Text, Generated: generated, MaxTokens: prompt.MaxTokens, Priority: route.Priority,
		})
		if err != nil {
			return stages, failedAt(i, err)
		}
		stages = append(stages, stage)
	}
	return stages, nil
}

func closeAll(stages []lentilmux.Stage) {
	for _, stage := range stages {
		_ = stage.Close() // nothing is left to do for a stream that is given up
	}
}

// step runs one position through all stages in order.
func step(ctx context.Context, route lentilmux.Route, stages []lentilmux.Stage, generated []string) (output lentilmux.StepOutput, failed *failure) {
	position := len(generated)
	input := lentilmux.StepInput{Position: position}
	if position > 0 {
		input.Token = generated[position-1]
	}
	for i, stage := range stages {
		stepCtx, cancel := context.WithTimeout(ctx, route.StepTimeout)
		out, err := stage.Step(stepCtx, input)
		cancel()
		if err != nil {
			return lentilmux.StepOutput{}, failedAt(i, err)
		}
		last := i == len(stages)-1
		if out.Position != position || (out.Token != "") != last {
			return lentilmux.StepOutput{}, &failure{stage: i, kind: lentilmux.FailureProtocol}
		}
		input.Token, input.Activation = "", out.Activation
		output = out
	}
	return output, nil
}

// failedAt returns the failure of a stage by its error.
func failedAt(stage int, err error) *failure {
	var stepError *lentilmux.UpstreamError
	if errors.As(err, &stepError) {
		return &failure{stage: stage, kind: stepError.Kind}
	}
	return &failure{stage: stage, kind: lentilmux.FailureProtocol}
}
