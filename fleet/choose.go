package fleet

import (
	"fmt"
	"strings"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/dispatch"
)

// chain picks a path over upstreams that hold layers.
func (a *AdmitRequests) chain(t *Tables, flight *RequestRow, model *lentilmux.ModelProfile, leg *lentilmux.Attempt, now time.Time) (ok bool) {
	a.gather(t, flight.Service, now)
	ask := lentilmux.PathRequest{Model: model, Layers: lentilmux.LayerRange{Last: model.Layers - 1}, SourceZone: t.Zones.Index(t.Self.Zone), PromptTokens: flight.PromptTokens, AnswerTokens: expected(flight, model)}
	closed := a.close(flight.LastUpstream, now)
	parts, pace, ok := a.choose(t, ask, now)
	if !ok && closed {
		a.gather(t, flight.Service, now)
		parts, pace, ok = a.choose(t, ask, now)
	}
	if !ok {
		return false
	}
	memory := dispatch.CacheTokens(ask.PromptTokens, ask.AnswerTokens)
	flight.Reservations = flight.Reservations[:0]
	for _, part := range parts {
		row := a.rows[part.Node]
		leg.Path = append(leg.Path, lentilmux.Hop{Upstream: row.ID, Addr: row.Addr, Layers: part.Layers})
		leg.Progress = append(leg.Progress, row.Progress)
		flight.Reservations = append(flight.Reservations, Reservation{
			Upstream: row.ID, Load: Load{Streams: 1, PendingPromptTokens: ask.PromptTokens, Reserved: memory * int64(part.Layers.Len())},
		})
	}
	flight.Path = leg.Path
	leg.Upstream, leg.Addr = leg.Path[0].Upstream, leg.Path[0].Addr
	leg.FirstEventTimeout = min(max(3*pace.TimeToFirstEvent, t.Limits.MinStallTimeout), t.Limits.MaxStallTimeout)
	leg.EventGapTimeout = min(max(4*pace.EventGap, t.Limits.MinStallTimeout), t.Limits.MaxStallTimeout)
	t.RecordDecision(lentilmux.Decision{
		What: "path_chosen", Subject: string(flight.ID), Chosen: pathText(leg.Path),
		Reason: fmt.Sprintf("leg=%d prompt=%d answer=%d first=%dms gap=%dms fill=%.2f of %d", leg.Epoch, ask.PromptTokens, ask.AnswerTokens, pace.TimeToFirstEvent.Milliseconds(), pace.EventGap.Milliseconds(), pace.MaxMemoryUse, len(a.nodes)),
	})
	return true
}

// choose picks a path inside one availability zone, or else one that crosses,
// as long as the pipes between zones bear it.
func (a *AdmitRequests) choose(t *Tables, ask lentilmux.PathRequest, now time.Time) (parts []lentilmux.PathHop, pace lentilmux.PathEstimate, ok bool) {
	ask.SingleZone = true
	parts, pace, ok = a.PathSelector.Choose(ask, a.nodes, a.parts[:0])
	a.parts = parts[:0]
	if ok {
		return parts, pace, true
	}
	bits := float64(ask.PromptTokens) * float64(ask.Model.ActivationBytes) * 8
	perSecond := t.Limits.CrossZoneFraction * ask.Model.ZoneLinkBitRate / float64(t.LiveVMs(now))
	if !t.CrossZoneBucket.take(now, perSecond, pipesBurst*perSecond, bits) {
		return parts, pace, false
	}
	ask.SingleZone = false
	parts, pace, ok = a.PathSelector.Choose(ask, a.nodes, a.parts[:0])
	a.parts = parts[:0]
	return parts, pace, ok
}

// pipesBurst is how many seconds' share of the pipes may be used at once.
const pipesBurst = 1.0

// gather lists the upstreams of a service that may get new work.
func (a *AdmitRequests) gather(t *Tables, service string, now time.Time) {
	a.nodes, a.rows = a.nodes[:0], a.rows[:0]
	for _, row := range t.Upstreams.Rows {
		if row.Service != service || !row.HasLayers || !row.Usable(now) || now.Before(row.FullUntil) {
			continue
		}
		model, card := t.Engine(row)
		if model == nil {
			continue
		}
		a.rows = append(a.rows, row)
		a.nodes = append(a.nodes, lentilmux.PathNode{
			Zone: t.Zones.Index(row.Zone), Layers: row.Layers,
			StepFactor: card.StepFactor * row.Slowdown, PrefillFactor: card.PrefillFactor * row.Slowdown,
			Streams: row.OwnLoad.Streams + row.PeerLoad.Streams, PendingPromptTokens: row.OwnLoad.PendingPromptTokens + row.PeerLoad.PendingPromptTokens,
			Reserved: row.OwnLoad.Reserved + row.PeerLoad.Reserved, Capacity: model.CacheCapacity(card, row.Layers.Len()),
			Full: row.Slots > 0 && row.OwnLoad.Streams+row.PeerLoad.Streams >= row.Slots,
		})
	}
}

// expected returns the tokens that a request is expected to write.
func expected(flight *RequestRow, model *lentilmux.ModelProfile) int {
	tokens := model.TypicalAnswerTokens
	if flight.ExpectedTokens > 0 {
		tokens = flight.ExpectedTokens
	}
	if flight.MaxTokens > 0 {
		tokens = min(tokens, flight.MaxTokens)
	}
	return max(tokens, 1)
}

// pathText writes a path for the log.
func pathText(path []lentilmux.Hop) string {
	var text strings.Builder
	for i, hop := range path {
		if i > 0 {
			text.WriteByte(' ')
		}
		fmt.Fprintf(&text, "%s:%d-%d", hop.Upstream, hop.Layers.First, hop.Layers.Last)
	}
	return text.String()
}

// plain picks an upstream that runs whole calls.
func (a *AdmitRequests) plain(t *Tables, flight *RequestRow, leg *lentilmux.Attempt, now time.Time) (ok bool) {
	a.candidates, a.rows = a.candidates[:0], a.rows[:0]
	for _, row := range t.Upstreams.Rows {
		if row.Service != flight.Service || !row.Usable(now) {
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
	a.shun(flight.LastUpstream, now)
	row := a.rows[a.Dispatch.Pick(a.candidates)]
	leg.Upstream, leg.Addr = row.ID, row.Addr
	leg.Progress = append(leg.Progress, row.Progress)
	if flight.Route.Kind == lentilmux.CallRepeatable && flight.PossibleRuns+1 < flight.Route.MaxAttempts {
		leg.FirstEventTimeout = max(2*flight.Route.FirstByteTarget, t.Limits.MinStallTimeout)
	}
	flight.Reservations = append(flight.Reservations[:0], Reservation{Upstream: row.ID, Load: Load{Streams: 1}})
	t.RecordDecision(lentilmux.Decision{
		What: "upstream_chosen", Subject: string(flight.ID), Chosen: row.ID,
		Reason: fmt.Sprintf("leg=%d in_flight=%d of %d", leg.Epoch, row.OwnLoad.Streams+row.PeerLoad.Streams, len(a.rows)),
	})
	return true
}
