package fleet

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"lentilmux.example/lentilmux"
)

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
