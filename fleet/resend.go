package fleet

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"lentilmux.example/lentilmux"
)

// failed gives a request another leg, or ends it.
func (a *AdmitRequests) failed(t *Tables, failed FailedAttemptRow, now time.Time) {
	flight := t.Requests.Find(failed.Request)
	if flight == nil || flight.Epoch != failed.Epoch {
		t.Answer(failed.CorrelationID, lentilmux.RefusalAnswer{Refusal: lentilmux.Refusal{Reason: lentilmux.ReasonOutcomeUnknown, Detail: "the leg is not known"}})
		return
	}
	t.release(flight)
	if failed.NotRun && failed.Answered {
		t.full(flight, failed.BlamedUpstream, now)
	}
	if !failed.NotRun {
		flight.MayHaveRun = true
		flight.PossibleRuns++
	}
	if failed.Kind == lentilmux.FailureCrash && !failed.NotRun && !failed.Answered {
		t.CrashSuspects.RecordCrash(flight.Fingerprint, now, t.Limits.CrashRetention)
	}
	reason, detail := a.resend(t, flight, failed, now)
	t.RecordDecision(lentilmux.Decision{
		What: "leg_failed", Subject: string(flight.ID), Chosen: map[bool]string{true: "resend", false: "end"}[reason == ""],
		Reason: fmt.Sprintf("%s not_run=%t answered=%t upstream=%s delivered=%d runs=%d sends=%d %s", failed.Kind, failed.NotRun, failed.Answered, flight.LastUpstream, failed.Delivered, flight.PossibleRuns, flight.Attempts, detail),
	})
	var refusal *lentilmux.Refusal
	if reason == "" {
		flight.advance(t, failed.Delivered)
		refusal = a.send(t, flight, failed.CorrelationID, now)
	} else {
		refusal = a.end(flight, t.notRun(reason, detail))
	}
	if refusal != nil {
		a.refuse(t, flight.ID, failed.CorrelationID, refusal, now)
	}
}

// silent decides what to do about a leg without progress: it is replaced only
// if it cannot go on and another one may be sent; else it waits.
func (a *AdmitRequests) silent(t *Tables, silent StalledAttemptRow, now time.Time) {
	flight := t.Requests.Find(silent.Request)
	if flight == nil || flight.Epoch != silent.Epoch {
		t.Answer(silent.CorrelationID, lentilmux.WaitAnswer{})
		return
	}
	failed := FailedAttemptRow{
		ForwardFailedMsg: lentilmux.ForwardFailedMsg{Request: silent.Request, Epoch: silent.Epoch, Kind: lentilmux.FailureTimeout, Delivered: silent.Delivered},
		CorrelationID:    silent.CorrelationID,
	}
	if !a.lost(t, flight, now) || !flight.Route.Kind.Repeatable() || !a.again(t, flight, failed, now) {
		t.Answer(silent.CorrelationID, lentilmux.WaitAnswer{Wait: t.Limits.StallReportInterval})
	}
}

// lost reports whether a silent leg will not go on: its first upstream is dead,
// another one is and the request could not be moved, or a call waits too long.
func (a *AdmitRequests) lost(t *Tables, flight *RequestRow, now time.Time) bool {
	if len(flight.Path) == 0 {
		return true
	}
	if t.dead(flight.Path[0].Upstream) {
		return true
	}
	if flight.Moving || !flight.MoveRefused && flight.Moves < t.Limits.MaxMoves {
		return false
	}
	for _, hop := range flight.Path {
		if t.dead(hop.Upstream) {
			return true
		}
	}
	return flight.MoveRefused
}

// again replaces a leg that is still under way, if there is another one.
func (a *AdmitRequests) again(t *Tables, flight *RequestRow, failed FailedAttemptRow, now time.Time) (sent bool) {
	ran, runs := flight.MayHaveRun, flight.PossibleRuns
	flight.MayHaveRun, flight.PossibleRuns = true, flight.PossibleRuns+1
	reason, detail := a.resend(t, flight, failed, now)
	if reason == "" {
		parts, path := slices.Clone(flight.Reservations), flight.Path
		t.release(flight)
		flight.advance(t, failed.Delivered)
		if a.send(t, flight, failed.CorrelationID, now) == nil {
			t.RecordDecision(lentilmux.Decision{What: "leg_replaced", Subject: string(flight.ID), Chosen: flight.LastUpstream, Reason: fmt.Sprintf("silent at %s, delivered=%d", pathText(path), failed.Delivered)})
			return true
		}
		flight.Reservations, flight.Path = parts, path
		t.hold(flight)
		detail = "no other path"
	}
	flight.MayHaveRun, flight.PossibleRuns = ran, runs
	t.RecordDecision(lentilmux.Decision{What: "leg_waits", Subject: string(flight.ID), Chosen: flight.LastUpstream, Reason: detail})
	return false
}

// full keeps new work from an upstream that refused some for a while: the one
// that the answer blames, or the first of the leg.
func (t *Tables) full(flight *RequestRow, culprit netip.AddrPort, now time.Time) {
	row := t.Upstreams.FindByAddr(culprit)
	if row == nil {
		row = t.Upstreams.Find(flight.LastUpstream)
	}
	if row != nil {
		row.FullUntil = now.Add(t.Limits.FullDuration)
		t.RecordDecision(lentilmux.Decision{What: "upstream_full", Subject: row.ID, Chosen: t.Limits.FullDuration.String(), Reason: "it refused " + string(flight.ID)})
	}
}

// resend decides whether a request may have another leg; an empty reason means
// that it may.
func (a *AdmitRequests) resend(t *Tables, flight *RequestRow, failed FailedAttemptRow, now time.Time) (reason lentilmux.Reason, detail string) {
	switch {
	case flight.MayHaveRun && !flight.Route.Kind.Repeatable():
		return lentilmux.ReasonOutcomeUnknown, "it may have run and may not run again"
	case !failed.NotRun && flight.PossibleRuns >= a.runsMost(flight, failed):
		return lentilmux.ReasonUpstreamFailed, "all attempts are used up"
	case flight.Attempts >= t.Limits.MaxAttempts:
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
func (a *AdmitRequests) runsMost(flight *RequestRow, failed FailedAttemptRow) int {
	if failed.Kind == lentilmux.FailureCrash && !failed.Answered && flight.Route.Kind == lentilmux.CallResumableStream {
		return flight.Route.MaxAttempts + 1
	}
	return flight.Route.MaxAttempts
}

// advance makes a stream go on behind what the caller has: that much more has
// to be read, and less be written.
func (f *RequestRow) advance(t *Tables, delivered int) {
	if service := t.Rules.Service(f.Service); service != nil && service.Engine != nil {
		tokens := (delivered - f.Delivered) * max(service.Engine.TokensPerEvent, 1)
		f.PromptTokens += tokens
		f.MaxTokens = max(f.MaxTokens-tokens, 1)
		f.ExpectedTokens = max(f.ExpectedTokens-tokens, 0)
	}
	f.Delivered = delivered
}
