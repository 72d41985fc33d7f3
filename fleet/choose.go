package fleet

import (
	"fmt"
	"strings"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/dispatch"
)

// choosePath selects a path over upstreams that hold layers and fills in the
// attempt. Ejected upstreams and the first hop of the last attempt are excluded
// as first hop, unless that leaves no path.
func (a *AdmitRequests) choosePath(t *Tables, request *RequestRow, model *lentilmux.ModelProfile, attempt *lentilmux.Attempt, now time.Time) (ok bool) {
	t.estimateCost(request, model, now)
	a.collectNodes(t, request.Service, now)
	pathRequest := newPathRequest(t, request, model)
	pathRequest.UnseenRequests = t.unseenRequests(request.Service, model, a.nodes, now)
	a.confineFirstHops(request)
	excluded := a.excludeFirstHops(t, request.LastUpstream, now)
	if request.Elsewhere {
		a.excludeOverdue(t, now)
	}
	hops, estimate, ok := a.selectPath(t, pathRequest, now)
	if !ok && excluded {
		a.collectNodes(t, request.Service, now)
		a.confineFirstHops(request)
		if request.Elsewhere {
			a.excludeFirstHop(request.LastUpstream)
		}
		if request.Attempts > 0 { // a further refusal is not worth the retry
			a.excludePaused(t, now)
		}
		hops, estimate, ok = a.selectPath(t, pathRequest, now)
	}
	if !ok || request.Attempts == 0 && request.MaxMemoryUse > 0 && estimate.MaxMemoryUse > request.MaxMemoryUse {
		return false
	}
	a.memoryUse = estimate.MaxMemoryUse
	t.Costs.recordSpread(request.Cost.Estimate)
	cacheTokens := dispatch.CacheTokens(pathRequest.PromptTokens, pathRequest.AnswerTokens)
	request.Reservations = request.Reservations[:0]
	for _, hop := range hops {
		row := a.rows[hop.Node]
		attempt.Path = append(attempt.Path, lentilmux.Hop{Upstream: row.ID, Addr: row.Addr, Layers: hop.Layers})
		attempt.Progress = append(attempt.Progress, row.Progress)
		request.Reservations = append(request.Reservations, Reservation{
			Upstream: row.ID, Load: Load{Streams: 1, PendingPromptTokens: pathRequest.PromptTokens, Reserved: cacheTokens * int64(hop.Layers.Len())},
		})
	}
	request.setStreamWork(model, estimate)
	a.setHopCosts(request, hops, estimate)
	attempt.Delivered = &lentilmux.EventCount{}
	request.Hops, request.Events = attempt.Path, attempt.Delivered
	attempt.Upstream, attempt.Addr = attempt.Path[0].Upstream, attempt.Path[0].Addr
	request.Promised, attempt.Promised = estimate.TimeToFirstEvent, estimate.TimeToFirstEvent
	attempt.FirstEventTimeout = t.firstEventTimeout(request.Promised)
	attempt.EventGapTimeout = min(max(4*estimate.EventGap, t.Limits.MinStallTimeout), t.Limits.MaxStallTimeout)
	t.RecordDecision(lentilmux.Decision{
		What: "path_chosen", Subject: string(request.ID), Chosen: formatPath(attempt.Path),
		// leg is the number of the attempt, prompt and answer are in tokens, first
		// is the expected time to the first event, gap that between events, and fill
		// the memory use of the fullest upstream of the path. "of" gives the number
		// of upstreams considered.
		Reason: fmt.Sprintf("leg=%d prompt=%d answer=%d first=%dms gap=%dms fill=%.2f of %d", attempt.Epoch, pathRequest.PromptTokens, pathRequest.AnswerTokens, estimate.TimeToFirstEvent.Milliseconds(), estimate.EventGap.Milliseconds(), estimate.MaxMemoryUse, len(a.nodes)),
	})
	return true
}

// newPathRequest returns what a request needs of a path over all layers of a
// model.
func newPathRequest(t *Tables, request *RequestRow, model *lentilmux.ModelProfile) lentilmux.PathRequest {
	return lentilmux.PathRequest{
		Model: model, Layers: lentilmux.LayerRange{Last: model.Layers - 1}, SourceZone: t.Zones.Index(t.Self.Zone),
		PromptTokens: request.PromptTokens, AnswerTokens: expectedAnswerTokens(request, model),
	}
}

// selectPath selects a path within one availability zone. If there is none, it
// selects one that crosses zones, as far as the bandwidth between zones allows.
func (a *AdmitRequests) selectPath(t *Tables, pathRequest lentilmux.PathRequest, now time.Time) (hops []lentilmux.PathHop, estimate lentilmux.PathEstimate, ok bool) {
	a.addLearned(t)
	pathRequest.SingleZone = true
	hops, estimate, ok = a.PathSelector.Choose(pathRequest, a.nodes, a.hops[:0])
	a.hops = hops[:0]
	if ok {
		return hops, estimate, true
	}
	pathRequest.SingleZone = false
	hops, estimate, ok = a.PathSelector.Choose(pathRequest, a.nodes, a.hops[:0])
	a.hops = hops[:0]
	if !ok {
		return hops, estimate, false
	}
	bits := float64(pathRequest.PromptTokens) * float64(pathRequest.Model.ActivationBytes) * 8 * float64(zoneCrossings(pathRequest, a.nodes, hops))
	bitsPerSecond := t.Limits.CrossZoneFraction * pathRequest.Model.ZoneLinkBitRate / float64(t.LiveVMs(now))
	return hops, estimate, t.CrossZoneBucket.take(now, bitsPerSecond, crossZoneBurstSeconds*bitsPerSecond, bits)
}

// zoneCrossings returns how often the activations of a path cross availability
// zones. A part of a path, which has a predecessor, also returns to the zone that
// it came from.
func zoneCrossings(request lentilmux.PathRequest, nodes []lentilmux.PathNode, hops []lentilmux.PathHop) (count int) {
	zone := nodes[hops[0].Node].Zone
	if request.HasPredecessor {
		zone = request.SourceZone
	}
	for _, hop := range hops {
		if nodes[hop.Node].Zone != zone {
			count++
		}
		zone = nodes[hop.Node].Zone
	}
	if request.HasPredecessor && zone != request.SourceZone {
		count++
	}
	return count
}

// crossZoneBurstSeconds is the burst of cross-zone traffic, in seconds of this
// VM's share of the bandwidth.
const crossZoneBurstSeconds = 1.0

// collectNodes collects the upstreams of a service that hold layers and may get
// new requests.
func (a *AdmitRequests) collectNodes(t *Tables, service string, now time.Time) {
	a.nodes, a.rows, a.atLimit = a.nodes[:0], a.rows[:0], 0
	for _, row := range t.Upstreams.Rows {
		if row.Service != service || !row.HasLayers || !row.Usable(now) || row.backsOff(now) || now.Before(row.FullUntil) {
			continue
		}
		model, accelerator := t.ModelAndAccelerator(row)
		layers := row.routableLayers()
		if model == nil || layers.Len() <= 0 {
			continue
		}
		atLimit := !t.hasLimitToken(row, now)
		if atLimit {
			a.atLimit++
		}
		a.rows = append(a.rows, row)
		a.nodes = append(a.nodes, lentilmux.PathNode{
			Zone: t.Zones.Index(row.Zone), Layers: layers,
			StepFactor: accelerator.StepFactor * row.Slowdown, PrefillFactor: accelerator.PrefillFactor * row.Slowdown,
			Streams: row.OwnLoad.Streams + row.PeerLoad.Streams, PendingPromptTokens: row.OwnLoad.PendingPromptTokens + row.PeerLoad.PendingPromptTokens,
			Reserved: row.OwnLoad.Reserved + row.PeerLoad.Reserved, Capacity: model.CacheCapacity(accelerator, max(row.Layers.Len(), row.plannedLayers().Len())),
			Full: atLimit || row.Slots > 0 && row.OwnLoad.Streams+row.PeerLoad.Streams >= row.Slots,
		})
	}
}

// routableLayers returns the layers that new requests may use at an upstream:
// those that it holds and does not give up for its target. The range is empty if
// there are none.
func (u *UpstreamRow) routableLayers() lentilmux.LayerRange {
	planned := u.plannedLayers()
	return lentilmux.LayerRange{First: max(u.Layers.First, planned.First), Last: min(u.Layers.Last, planned.Last)}
}

// expectedAnswerTokens returns the number of completion tokens that a request is
// expected to generate, at least 1. Before enough answers were observed, it is the
// caller's estimate or the typical answer of the model.
func expectedAnswerTokens(request *RequestRow, model *lentilmux.ModelProfile) int {
	if estimate := request.Cost.Estimate; estimate.Learned {
		return max(int(estimate.MeanTokens), 1)
	}
	tokens := model.TypicalAnswerTokens
	if request.ExpectedTokens > 0 && request.ExpectedTokens <= lentilmux.MaxHintTokens {
		tokens = request.ExpectedTokens
	}
	if request.MaxTokens > 0 {
		tokens = min(tokens, request.MaxTokens)
	}
	return max(tokens, 1)
}

// formatPath formats a path for the log.
func formatPath(path []lentilmux.Hop) string {
	var text strings.Builder
	for i, hop := range path {
		if i > 0 {
			text.WriteByte(' ')
		}
		fmt.Fprintf(&text, "%s:%d-%d", hop.Upstream, hop.Layers.First, hop.Layers.Last)
	}
	return text.String()
}

// chooseUpstream selects an upstream that runs a request alone, without a path,
// and fills in the attempt. A repeatable request with a retry left gets a
// timeout for its first event.
func (a *AdmitRequests) chooseUpstream(t *Tables, request *RequestRow, attempt *lentilmux.Attempt, now time.Time) (ok bool) {
	a.candidates, a.rows, a.atLimit = a.candidates[:0], a.rows[:0], 0
	for _, row := range t.Upstreams.Rows {
		if row.Service != request.Service || !row.Usable(now) || row.backsOff(now) || request.Confined && !request.mayHaveRunOn(row) {
			continue
		}
		if !t.hasLimitToken(row, now) {
			a.atLimit++
			continue
		}
		a.rows = append(a.rows, row)
		a.candidates = append(a.candidates, lentilmux.Candidate{
			Upstream: row.ID, SameZone: row.Zone == t.Self.Zone,
			InFlight: row.OwnLoad.Streams + row.PeerLoad.Streams, Capacity: float64(max(row.Slots, 1)),
		})
	}
	if len(a.rows) == 0 {
		return false
	}
	a.excludeEjected(t, request.LastUpstream, now)
	row := a.rows[a.Dispatch.Pick(a.candidates)]
	attempt.Upstream, attempt.Addr = row.ID, row.Addr
	attempt.Progress = append(attempt.Progress, row.Progress)
	if request.Route.Kind == lentilmux.CallRepeatable && request.PossibleRuns+1 < request.Route.MaxAttempts {
		attempt.FirstEventTimeout = max(2*request.Route.FirstByteTarget, t.Limits.MinStallTimeout)
	}
	request.Hops, request.Promised = nil, 0 // of an earlier attempt, if the service had an engine then
	request.Reservations = append(request.Reservations[:0], Reservation{Upstream: row.ID, Load: Load{Streams: 1}})
	t.RecordDecision(lentilmux.Decision{
		What: "upstream_chosen", Subject: string(request.ID), Chosen: row.ID,
		// leg is the number of the attempt, in_flight the requests that all entry VMs
		// have at this upstream. "of" gives the number of upstreams considered.
		Reason: fmt.Sprintf("leg=%d in_flight=%d of %d", attempt.Epoch, row.OwnLoad.Streams+row.PeerLoad.Streams, len(a.rows)),
	})
	return true
}
