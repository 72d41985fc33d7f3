package fleet

import (
	"math"
	"time"

	"lentilmux.example/lentilmux"
)

// maxStreamWork bounds the time that one stream is expected to need, so that an
// impossible speed cannot make the sum over all streams overflow.
const maxStreamWork = time.Hour

// missingCacheFraction is the fraction of the missing tokens of a stream that counts as
// KV cache in use: their mean over the rest of the stream. Over a whole stream this
// counts as much as [dispatch.CacheTokens]. With 0.4 plays of hints of a tenth of the
// answer had twice as many preemptions, and with 0.6 a twentieth fewer answers.
const missingCacheFraction = 0.5

// followStreams updates the reservations of all streams whose length was learned: a
// stream holds the KV cache of the tokens that it has delivered and needs part of that
// of the tokens still expected. It runs before each digest, so that peers get the same
// figures.
func (t *Tables) followStreams(now time.Time) {
	for _, request := range t.Requests.Rows {
		service := t.Rules.Service(request.Service)
		if request.AnswerStarted && request.Cost.Estimate.Learned && len(request.Hops) == len(request.Reservations) && service != nil && service.Engine != nil {
			t.followStream(request, service.Engine, now)
		}
	}
}

// followStream updates the reservations of a stream.
func (t *Tables) followStream(request *RequestRow, model *lentilmux.ModelProfile, now time.Time) {
	tokensPerEvent := max(model.TokensPerEvent, 1)
	delivered := max(request.Events.Events(), request.Delivered)
	query := request.Cost.Query
	query.DeliveredTokens = delivered * tokensPerEvent
	estimate := t.Costs.Estimator.Estimate(query, now)
	if !estimate.Learned {
		return
	}
	held := request.PromptTokens + (delivered-request.Delivered)*tokensPerEvent
	cacheTokens := int64(held) + int64(missingCacheFraction*estimate.MeanTokens)
	work := streamWork(estimate, request.EventGap, tokensPerEvent)
	t.addLoad(request.Reservations, -1)
	for i := range request.Reservations {
		load := &request.Reservations[i].Load
		load.Reserved = cacheTokens * int64(request.Hops[i].Layers.Len())
		load.WorkLeft, load.TimedStreams = work, load.Streams
	}
	t.addLoad(request.Reservations, 1)
}

// streamWork returns the time that a stream is expected to run on, from the tokens that
// are missing and the gap between two events.
func streamWork(estimate lentilmux.CostEstimate, gap time.Duration, tokensPerEvent int) (work time.Duration) {
	seconds := estimate.MeanTokens / float64(tokensPerEvent) * gap.Seconds()
	return time.Duration(min(seconds, maxStreamWork.Seconds()) * float64(time.Second))
}

// setStreamWork records in its reservations the time that a request is expected to run,
// when its path was selected.
func (r *RequestRow) setStreamWork(model *lentilmux.ModelProfile, estimate lentilmux.PathEstimate) {
	r.EventGap = estimate.EventGap
	if !r.Cost.Estimate.Learned {
		return
	}
	work := min(estimate.TimeToFirstEvent, maxStreamWork) + streamWork(r.Cost.Estimate, estimate.EventGap, max(model.TokensPerEvent, 1))
	for i := range r.Reservations {
		r.Reservations[i].Load.WorkLeft, r.Reservations[i].Load.TimedStreams = work, 1
	}
}

// addLearned adds what was learned of each node: the work left, the speed and the spread
// of its streams' KV cache.
func (a *AdmitRequests) addLearned(t *Tables) {
	deviation := fitDeviations * math.Sqrt(t.Costs.StreamVariance)
	for i, row := range a.rows {
		node := &a.nodes[i]
		row.addWork(node)
		if row.Speed.Weight > 0 {
			row.addSpeed(node)
		}
		if deviation > 0 && node.Streams > 0 {
			addSpread(node, deviation)
		}
	}
}

// addWork sets the work left at a node. It is unknown if that of any stream is.
func (u *UpstreamRow) addWork(node *lentilmux.PathNode) {
	node.WorkLeft, node.WorkKnown = u.OwnLoad.WorkLeft+u.PeerLoad.WorkLeft, u.OwnLoad.TimedStreams+u.PeerLoad.TimedStreams >= node.Streams
}
