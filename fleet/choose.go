package fleet

import (
	"fmt"
	"strings"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/dispatch"
)

// chain picks a path over upstreams that hold layers.
func (a *Admit) chain(t *Tables, flight *FlightRow, model *lentilmux.EngineModel, leg *lentilmux.Leg, now time.Time) (ok bool) {
	a.gather(t, flight.Service, now)
	ask := lentilmux.ChainAsk{Model: model, Layers: lentilmux.LayerRange{Last: model.Layers - 1}, Zone: t.Zones.Index(t.Self.Zone), Prompt: flight.Prompt, Answer: expected(flight, model)}
	closed := a.close(flight.Last, now)
	parts, pace, ok := a.choose(t, ask, now)
	if !ok && closed {
		a.gather(t, flight.Service, now)
		parts, pace, ok = a.choose(t, ask, now)
	}
	if !ok {
		return false
	}
	memory := dispatch.Memory(ask.Prompt, ask.Answer)
	flight.Parts = flight.Parts[:0]
	for _, part := range parts {
		row := a.rows[part.Node]
		leg.Path = append(leg.Path, lentilmux.Hop{Upstream: row.ID, Addr: row.Addr, Layers: part.Layers})
		leg.Pulses = append(leg.Pulses, row.Pulse)
		flight.Parts = append(flight.Parts, FlightPart{
			Upstream: row.ID, Load: Load{Streams: 1, Waiting: ask.Prompt, Reserved: memory * int64(part.Layers.Len())},
		})
	}
	flight.Path = leg.Path
	leg.Upstream, leg.Addr = leg.Path[0].Upstream, leg.Path[0].Addr
	leg.First = min(max(3*pace.First, t.Limits.SilentLeast), t.Limits.SilentMost)
	leg.Gap = min(max(4*pace.Gap, t.Limits.SilentLeast), t.Limits.SilentMost)
	t.Decide(lentilmux.Decision{
		What: "path_chosen", Subject: string(flight.ID), Chosen: pathText(leg.Path),
		Reason: fmt.Sprintf("leg=%d prompt=%d answer=%d first=%dms gap=%dms fill=%.2f of %d", leg.Epoch, ask.Prompt, ask.Answer, pace.First.Milliseconds(), pace.Gap.Milliseconds(), pace.Fill, len(a.nodes)),
	})
	return true
}

// choose picks a path inside one availability zone, or else one that crosses,
// as long as the pipes between zones bear it.
func (a *Admit) choose(t *Tables, ask lentilmux.ChainAsk, now time.Time) (parts []lentilmux.ChainPart, pace lentilmux.ChainPace, ok bool) {
	ask.Within = true
	parts, pace, ok = a.Chains.Choose(ask, a.nodes, a.parts[:0])
	a.parts = parts[:0]
	if ok {
		return parts, pace, true
	}
	bits := float64(ask.Prompt) * float64(ask.Model.ActivationBytes) * 8
	perSecond := t.Limits.PipePart * ask.Model.PipeBitRate / float64(t.Live(now))
	if !t.Pipes.take(now, perSecond, pipesBurst*perSecond, bits) {
		return parts, pace, false
	}
	ask.Within = false
	parts, pace, ok = a.Chains.Choose(ask, a.nodes, a.parts[:0])
	a.parts = parts[:0]
	return parts, pace, ok
}

// pipesBurst is how many seconds' share of the pipes may be used at once.
const pipesBurst = 1.0

// gather lists the upstreams of a service that may get new work.
func (a *Admit) gather(t *Tables, service string, now time.Time) {
	a.nodes, a.rows = a.nodes[:0], a.rows[:0]
	for _, row := range t.Members.Rows {
		if row.Service != service || !row.Held || !row.Usable(now) || now.Before(row.FullUntil) {
			continue
		}
		model, card := t.Engine(row)
		if model == nil {
			continue
		}
		a.rows = append(a.rows, row)
		a.nodes = append(a.nodes, lentilmux.ChainNode{
			Zone: t.Zones.Index(row.Zone), Holds: row.Holds,
			Pace: card.Pace * row.Slow, Factor: card.ReadFactor * row.Slow,
			Streams: row.Own.Streams + row.Peers.Streams, Waiting: row.Own.Waiting + row.Peers.Waiting,
			Reserved: row.Own.Reserved + row.Peers.Reserved, Capacity: model.CacheMost(card, row.Holds.Len()),
			Full: row.Slots > 0 && row.Own.Streams+row.Peers.Streams >= row.Slots,
		})
	}
}

// expected returns the tokens that a request is expected to write.
func expected(flight *FlightRow, model *lentilmux.EngineModel) int {
	tokens := model.UsualAnswer
	if flight.Hint > 0 {
		tokens = flight.Hint
	}
	if flight.Answer > 0 {
		tokens = min(tokens, flight.Answer)
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
func (a *Admit) plain(t *Tables, flight *FlightRow, leg *lentilmux.Leg, now time.Time) (ok bool) {
	a.candidates, a.rows = a.candidates[:0], a.rows[:0]
	for _, row := range t.Members.Rows {
		if row.Service != flight.Service || !row.Usable(now) {
			continue
		}
		a.rows = append(a.rows, row)
		a.candidates = append(a.candidates, lentilmux.Candidate{
			Upstream: row.ID, SameZone: row.Zone == t.Self.Zone,
			InFlight: row.Own.Streams + row.Peers.Streams, Capacity: float64(max(row.Slots, 1)),
		})
	}
	if len(a.rows) == 0 {
		return false
	}
	a.shun(flight.Last, now)
	row := a.rows[a.Dispatch.Pick(a.candidates)]
	leg.Upstream, leg.Addr = row.ID, row.Addr
	leg.Pulses = append(leg.Pulses, row.Pulse)
	if flight.Route.Kind == lentilmux.CallRepeatable && flight.Runs+1 < flight.Route.Attempts {
		leg.First = max(2*flight.Route.Goal, t.Limits.SilentLeast)
	}
	flight.Parts = append(flight.Parts[:0], FlightPart{Upstream: row.ID, Load: Load{Streams: 1}})
	t.Decide(lentilmux.Decision{
		What: "upstream_chosen", Subject: string(flight.ID), Chosen: row.ID,
		Reason: fmt.Sprintf("leg=%d in_flight=%d of %d", leg.Epoch, row.Own.Streams+row.Peers.Streams, len(a.rows)),
	})
	return true
}
