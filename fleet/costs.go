package fleet

import (
	"fmt"
	"math"
	"time"

	"lentilmux.example/lentilmux"
)

// Costs is what this VM has learned of the cost of requests to services whose
// upstreams hold layers.
type Costs struct {
	Estimator      lentilmux.CostEstimator
	StreamVariance float64 // of the tokens that a stream holds in the KV cache of each layer; a moving average over the paths chosen, 0 while unknown
}

// RequestCost is the estimate of the answer to a request.
type RequestCost struct {
	Query    lentilmux.CostQuery    // the request as its caller sent it; without a service if nothing is learned of it
	Estimate lentilmux.CostEstimate // of the tokens that were missing when a path was last selected
	First    float64                // tokens expected when the first path was selected; 0 before
	Learned  bool                   // whether First was learned from answers
}

const (
	// varianceWeight is the weight of one request in Costs.StreamVariance. With 1/32 it
	// follows a change of the load within some seconds at ten requests a second.
	varianceWeight = 1.0 / 32
	// answerCacheFraction is the fraction of the expected tokens that
	// [dispatch.CacheTokens] counts as KV cache in use. Their deviation counts likewise.
	answerCacheFraction = 0.75
	// fitDeviations is the number of standard deviations by which the KV cache of all
	// streams at an upstream may exceed its mean and still fit: the 95th percentile of
	// a normal distribution, which a sum of many streams is close to.
	fitDeviations = 1.645
)

// estimateCost estimates the tokens that an answer still needs. It is called before
// each choice of a path.
func (t *Tables) estimateCost(request *RequestRow, model *lentilmux.ModelProfile, now time.Time) {
	cost := &request.Cost
	if request.Delivered == 0 { // else the request was changed to continue after the tokens delivered
		cost.Query = costQuery(request, model)
	}
	cost.Estimate = lentilmux.CostEstimate{}
	if cost.Query.Service == "" {
		return
	}
	cost.Query.DeliveredTokens = request.Delivered * max(model.TokensPerEvent, 1)
	cost.Estimate = t.Costs.Estimator.Estimate(cost.Query, now)
	if cost.First == 0 {
		cost.First, cost.Learned = float64(expectedAnswerTokens(request, model)), cost.Estimate.Learned
		t.recordIgnoredHint(request)
	}
}

// recordIgnoredHint logs a caller's estimate that cannot be used.
func (t *Tables) recordIgnoredHint(request *RequestRow) {
	if query := &request.Cost.Query; query.HintTokens != query.Hint() {
		t.RecordDecision(lentilmux.Decision{
			What: "estimate_ignored", Subject: string(request.ID), Chosen: fmt.Sprintf("%.0f", request.Cost.First),
			Reason: fmt.Sprintf("the caller expects %d tokens, the bounds are 1 and %d", query.HintTokens, lentilmux.MaxHintTokens),
		})
	}
}

// costQuery returns what an estimate of a request's answer is based on. A stream that
// its caller resumes is the rest of an answer: nothing is learned of it.
func costQuery(request *RequestRow, model *lentilmux.ModelProfile) (query lentilmux.CostQuery) {
	if request.ResumeAfter >= 0 || !request.Route.Kind.Streams() {
		return lentilmux.CostQuery{}
	}
	query = lentilmux.CostQuery{
		Service: request.Service, Route: request.Route.Name, Workspace: request.Workspace,
		HintTokens: request.ExpectedTokens, TypicalTokens: model.TypicalAnswerTokens, MaxTokens: request.MaxTokens,
	}
	if len(request.SharedParts) > 0 {
		query.SharedPart = request.SharedParts[0]
	}
	return query
}

// recordSpread includes a request in the variance of the streams' KV cache.
func (c *Costs) recordSpread(estimate lentilmux.CostEstimate) {
	if estimate.Learned {
		deviation := answerCacheFraction * estimate.DeviationTokens
		c.StreamVariance += varianceWeight * (deviation*deviation - c.StreamVariance)
	}
}

// addSpread adds to the reserved KV cache of a node what the answers of its streams may
// exceed their means by, given the deviation of one stream. A sum of many answers
// deviates less than each of them: what fits is decided on a high quantile of the sum,
// since a high quantile of each request would leave memory unused. An upstream without
// streams takes each request that fits by its mean.
func addSpread(node *lentilmux.PathNode, deviation float64) {
	node.Reserved += int64(deviation * math.Sqrt(float64(node.Streams)) * float64(node.Layers.Len()))
}

// observeAnswer learns from the answer to a request that ends. Events counts those of
// all attempts. An answer from a peer is learned by that peer.
func (t *Tables) observeAnswer(request *RequestRow, msg lentilmux.ForwardDoneMsg, now time.Time) {
	service := t.Rules.Service(request.Service)
	if request.Cost.Query.Service == "" || request.Peer != "" || msg.Events <= 0 || service == nil || service.Engine == nil {
		return
	}
	answer := lentilmux.AnswerLength{
		Tokens: msg.Events * max(service.Engine.TokensPerEvent, 1), Complete: msg.Outcome == lentilmux.OutcomeAnswered && !msg.End.Unanswered,
	}
	t.Costs.Estimator.Observe(request.Cost.Query, answer, now)
	t.AddEffect(lentilmux.AnswerMeasuredEffect{Answer: answer, ExpectedTokens: request.Cost.First, Learned: request.Cost.Learned})
}

// describeCost returns the expected length of an answer, for the log. It is empty for a
// request without a path or without an event.
func (r *RequestRow) describeCost(msg lentilmux.ForwardDoneMsg) (text string) {
	if r.Cost.First <= 0 || msg.Events <= 0 {
		return ""
	}
	return fmt.Sprintf(" hint=%d estimated=%.0f learned=%t", r.Cost.Query.HintTokens, r.Cost.First, r.Cost.Learned)
}
