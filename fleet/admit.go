package fleet

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/dispatch"
)

// Admit decides where requests go: their first leg, and the next one after a
// leg failed. It reads Rules, Knowledge and Members and writes Flights, Budgets
// and Poisons.
type Admit struct {
	Chains   lentilmux.ChainChoice
	Dispatch lentilmux.Dispatch

	nodes      []lentilmux.ChainNode
	rows       []*MemberRow // of nodes and candidates
	parts      []lentilmux.ChainPart
	candidates []lentilmux.Candidate
}

// Run implements [System].
func (a *Admit) Run(t *Tables, now time.Time) {
	for _, failed := range t.Events.Failed {
		a.failed(t, failed, now)
	}
	for _, silent := range t.Events.Silent {
		a.silent(t, silent, now)
	}
	for _, arrival := range t.Events.Arrivals {
		a.arrive(t, arrival, now)
	}
}

// arrive admits a request or refuses it. What is refused here has not run.
func (a *Admit) arrive(t *Tables, arrival ArrivalRow, now time.Time) {
	flight, refusal := a.admit(t, &arrival.Inbound, now)
	if refusal == nil {
		t.Budgets.Of(flight.Service).count(now, t.Limits.RetryWindow)
		t.Flights.Put(flight)
		if refusal = a.send(t, flight, arrival.Ticket, now); refusal == nil {
			return
		}
		t.Flights.Remove(flight.ID)
	}
	a.refuse(t, arrival.Inbound.ID, arrival.Ticket, refusal, now)
}

// admit finds a request's route and workspace.
func (a *Admit) admit(t *Tables, inbound *lentilmux.Inbound, now time.Time) (flight *FlightRow, refusal *lentilmux.Refusal) {
	if !t.Rules.Known {
		return nil, t.notRun(lentilmux.ReasonNotReady, "no configuration yet")
	}
	route := t.Rules.Route(inbound.Host, inbound.Path)
	stale := t.Stale(now)
	if route == nil {
		if stale {
			return nil, t.notRun(lentilmux.ReasonNotReady, "configuration too old to know the route")
		}
		return nil, t.notRun(lentilmux.ReasonUnknownRoute, "no route")
	}
	flight = &FlightRow{Inbound: *inbound, Route: route, Priority: route.Priority, Service: target(route, lentilmux.FingerprintOf(string(inbound.ID)))}
	workspace := t.Rules.Workspace(inbound.Key)
	switch {
	case workspace != nil:
		flight.Workspace = workspace.Name
		if workspace.HasPriority {
			flight.Priority = workspace.Priority
		}
	case !route.Anonymous && len(t.Rules.Workspaces) > 0 && !stale:
		return nil, t.notRun(lentilmux.ReasonUnknownKey, "unknown key")
	}
	if !route.Anonymous && len(t.Rules.Workspaces) > 0 && stale {
		return nil, t.notRun(lentilmux.ReasonNotReady, "configuration too old to honour keys")
	}
	if poison := t.Poisons.Find(inbound.Body); poison != nil && poison.Crashes >= t.Limits.PoisonMost {
		return nil, t.notRun(lentilmux.ReasonQuarantined, fmt.Sprintf("crashed upstreams %d times", poison.Crashes))
	}
	flight.Deadline = minTime(flight.Deadline, flight.Received.Add(route.Timeout))
	return flight, nil
}

// notRun is the refusal of a request that was sent to no upstream.
func (t *Tables) notRun(reason lentilmux.Reason, detail string) *lentilmux.Refusal {
	return &lentilmux.Refusal{Outcome: lentilmux.OutcomeNotRun, Reason: reason, Detail: detail, RetryAfter: t.Limits.RefusalPause}
}

// send gives a request its next leg, or returns why there is none.
func (a *Admit) send(t *Tables, flight *FlightRow, ticket lentilmux.Ticket, now time.Time) (refusal *lentilmux.Refusal) {
	if !now.Before(flight.Deadline) {
		return a.end(flight, t.notRun(lentilmux.ReasonDeadline, "no time left"))
	}
	leg := lentilmux.Leg{
		Request: flight.ID, Epoch: flight.Epoch + 1, Kind: flight.Route.Kind, Workspace: flight.Workspace, Deadline: flight.Deadline,
	}
	service := t.Rules.Service(flight.Service)
	ok := false
	if service != nil && service.Engine != nil && service.Engine.Layers > 0 {
		ok = a.chain(t, flight, service.Engine, &leg, now)
	} else {
		ok = a.plain(t, flight, &leg, now)
	}
	if !ok {
		return a.end(flight, t.notRun(lentilmux.ReasonNoUpstream, fmt.Sprintf("nothing of %s has room, of %d upstreams", flight.Service, len(a.rows))))
	}
	flight.Moving, flight.Stuck = false, false
	flight.Epoch, flight.Begun, flight.SentAt, flight.Last = leg.Epoch, false, now, leg.Upstream
	flight.Sends++
	t.hold(flight)
	t.Answer(ticket, lentilmux.LegAnswer{Leg: leg})
	return nil
}

// end makes a refusal say what is known of a request that had legs before.
func (a *Admit) end(flight *FlightRow, refusal *lentilmux.Refusal) *lentilmux.Refusal {
	if flight.Ran {
		refusal.Outcome = lentilmux.OutcomeUnknown
	}
	return refusal
}

// refuse answers a request that gets no leg.
func (a *Admit) refuse(t *Tables, id lentilmux.RequestID, ticket lentilmux.Ticket, refusal *lentilmux.Refusal, now time.Time) {
	t.Answer(ticket, lentilmux.RefusalAnswer{Refusal: *refusal})
	t.Decide(lentilmux.Decision{
		What: "request_refused", Subject: string(id), Chosen: refusal.Outcome.String(),
		Reason: fmt.Sprintf("%s: %s; rules=%d age=%dms", refusal.Reason, refusal.Detail, t.Rules.Version, now.Sub(t.Knowledge.Rules.AsOf).Milliseconds()),
	})
}

// chain picks a path over upstreams that hold layers.
func (a *Admit) chain(t *Tables, flight *FlightRow, model *lentilmux.EngineModel, leg *lentilmux.Leg, now time.Time) (ok bool) {
	a.gather(t, flight.Service, now)
	ask := lentilmux.ChainAsk{Model: model, Layers: lentilmux.LayerRange{Last: model.Layers - 1}, Zone: t.Zones.Index(t.Self.Zone), Prompt: flight.Prompt, Answer: expected(flight, model)}
	parts, pace, ok := a.choose(t, ask, now)
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
		Reason: fmt.Sprintf("leg=%d prompt=%d answer=%d first=%dms gap=%dms of %d", leg.Epoch, ask.Prompt, ask.Answer, pace.First.Milliseconds(), pace.Gap.Milliseconds(), len(a.nodes)),
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
	a.avoid(flight.Last)
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

// avoid takes the upstream of the last leg off the candidates if there are
// others.
func (a *Admit) avoid(id string) {
	for i, row := range a.rows {
		if row.ID == id && len(a.rows) > 1 {
			a.rows = append(a.rows[:i], a.rows[i+1:]...)
			a.candidates = append(a.candidates[:i], a.candidates[i+1:]...)
			return
		}
	}
}

// failed gives a request another leg, or ends it.
func (a *Admit) failed(t *Tables, failed FailedLegRow, now time.Time) {
	flight := t.Flights.Find(failed.Request)
	if flight == nil || flight.Epoch != failed.Epoch {
		t.Answer(failed.Ticket, lentilmux.RefusalAnswer{Refusal: lentilmux.Refusal{Reason: lentilmux.ReasonOutcomeUnknown, Detail: "the leg is not known"}})
		return
	}
	t.release(flight)
	if failed.NotRun && failed.Answered {
		t.full(flight, failed.Culprit, now)
	}
	if !failed.NotRun {
		flight.Ran = true
		flight.Runs++
	}
	if failed.Kind == lentilmux.FailureCrash && !failed.NotRun && !failed.Answered {
		t.Poisons.Count(flight.Body, now, t.Limits.PoisonMemory)
	}
	reason, detail := a.resend(t, flight, failed, now)
	t.Decide(lentilmux.Decision{
		What: "leg_failed", Subject: string(flight.ID), Chosen: map[bool]string{true: "resend", false: "end"}[reason == ""],
		Reason: fmt.Sprintf("%s not_run=%t answered=%t upstream=%s delivered=%d runs=%d sends=%d %s", failed.Kind, failed.NotRun, failed.Answered, flight.Last, failed.Delivered, flight.Runs, flight.Sends, detail),
	})
	var refusal *lentilmux.Refusal
	if reason == "" {
		flight.advance(t, failed.Delivered)
		refusal = a.send(t, flight, failed.Ticket, now)
	} else {
		refusal = a.end(flight, t.notRun(reason, detail))
	}
	if refusal != nil {
		a.refuse(t, flight.ID, failed.Ticket, refusal, now)
	}
}

// silent decides what to do about a leg without progress: it is replaced only
// if it cannot go on and another one may be sent; else it waits.
func (a *Admit) silent(t *Tables, silent SilentLegRow, now time.Time) {
	flight := t.Flights.Find(silent.Request)
	if flight == nil || flight.Epoch != silent.Epoch {
		t.Answer(silent.Ticket, lentilmux.WaitAnswer{})
		return
	}
	failed := FailedLegRow{
		LegFailedMsg: lentilmux.LegFailedMsg{Request: silent.Request, Epoch: silent.Epoch, Kind: lentilmux.FailureTimeout, Delivered: silent.Delivered},
		Ticket:       silent.Ticket,
	}
	if !a.lost(t, flight, now) || !flight.Route.Kind.Repeatable() || !a.again(t, flight, failed, now) {
		t.Answer(silent.Ticket, lentilmux.WaitAnswer{Wait: t.Limits.WaitSilent})
	}
}

// lost reports whether a silent leg will not go on: its first upstream is dead,
// another one is and the request could not be moved, or a call waits too long.
func (a *Admit) lost(t *Tables, flight *FlightRow, now time.Time) bool {
	if len(flight.Path) == 0 {
		return true
	}
	if t.dead(flight.Path[0].Upstream) {
		return true
	}
	if flight.Moving || !flight.Stuck && flight.Moves < t.Limits.MovesMost {
		return false
	}
	for _, hop := range flight.Path {
		if t.dead(hop.Upstream) {
			return true
		}
	}
	return flight.Stuck
}

// again replaces a leg that is still under way, if there is another one.
func (a *Admit) again(t *Tables, flight *FlightRow, failed FailedLegRow, now time.Time) (sent bool) {
	ran, runs := flight.Ran, flight.Runs
	flight.Ran, flight.Runs = true, flight.Runs+1
	reason, detail := a.resend(t, flight, failed, now)
	if reason == "" {
		parts, path := slices.Clone(flight.Parts), flight.Path
		t.release(flight)
		flight.advance(t, failed.Delivered)
		if a.send(t, flight, failed.Ticket, now) == nil {
			t.Decide(lentilmux.Decision{What: "leg_replaced", Subject: string(flight.ID), Chosen: flight.Last, Reason: fmt.Sprintf("silent at %s, delivered=%d", pathText(path), failed.Delivered)})
			return true
		}
		flight.Parts, flight.Path = parts, path
		t.hold(flight)
		detail = "no other path"
	}
	flight.Ran, flight.Runs = ran, runs
	t.Decide(lentilmux.Decision{What: "leg_waits", Subject: string(flight.ID), Chosen: flight.Last, Reason: detail})
	return false
}

// full keeps new work from an upstream that refused some for a while: the one
// that the answer blames, or the first of the leg.
func (t *Tables) full(flight *FlightRow, culprit netip.AddrPort, now time.Time) {
	row := t.Members.At(culprit)
	if row == nil {
		row = t.Members.Find(flight.Last)
	}
	if row != nil {
		row.FullUntil = now.Add(t.Limits.FullFor)
		t.Decide(lentilmux.Decision{What: "upstream_full", Subject: row.ID, Chosen: t.Limits.FullFor.String(), Reason: "it refused " + string(flight.ID)})
	}
}

// resend decides whether a request may have another leg; an empty reason means
// that it may.
func (a *Admit) resend(t *Tables, flight *FlightRow, failed FailedLegRow, now time.Time) (reason lentilmux.Reason, detail string) {
	switch {
	case flight.Ran && !flight.Route.Kind.Repeatable():
		return lentilmux.ReasonOutcomeUnknown, "it may have run and may not run again"
	case !failed.NotRun && flight.Runs >= a.runsMost(flight, failed):
		return lentilmux.ReasonUpstreamFailed, "all attempts are used up"
	case flight.Sends >= t.Limits.SendsMost:
		return lentilmux.ReasonUpstreamFailed, "sent too often"
	case failed.Kind == lentilmux.FailureDial && failed.NotRun && !failed.Answered:
		return "", "" // nothing arrived, so nothing counts
	}
	if !t.spend(flight.Service, now) {
		return lentilmux.ReasonRetryBudget, "the retry budget is spent"
	}
	return "", ""
}

// runsMost returns how many legs of a request may run. One whose upstream broke
// down does not count, once.
func (a *Admit) runsMost(flight *FlightRow, failed FailedLegRow) int {
	if failed.Kind == lentilmux.FailureCrash && !failed.Answered && flight.Route.Kind == lentilmux.CallResumableStream {
		return flight.Route.Attempts + 1
	}
	return flight.Route.Attempts
}

// advance makes a stream go on behind what the caller has: that much more has
// to be read, and less be written.
func (f *FlightRow) advance(t *Tables, delivered int) {
	if service := t.Rules.Service(f.Service); service != nil && service.Engine != nil {
		tokens := (delivered - f.Delivered) * max(service.Engine.Stride, 1)
		f.Prompt += tokens
		f.Answer = max(f.Answer-tokens, 1)
		f.Hint = max(f.Hint-tokens, 0)
	}
	f.Delivered = delivered
}
