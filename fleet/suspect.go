package fleet

import (
	"fmt"
	"time"

	"lentilmux.example/lentilmux"
)

// Suspect finds out which upstream a failed leg speaks against, and asks those
// that are suspected whether they live. It reads Events.Failed and Flights and
// writes Members and Poisons.
type Suspect struct{}

// Run implements [System].
func (s *Suspect) Run(t *Tables, now time.Time) {
	for _, msg := range t.Events.Failed {
		if flight := t.Flights.Find(msg.Request); flight != nil && flight.Epoch == msg.Epoch && len(flight.Parts) > 0 {
			s.judge(t, flight, msg.LegFailedMsg, now)
		}
	}
	for _, row := range t.Members.Rows {
		s.ask(t, row, now)
	}
}

// judge blames an upstream of a failed leg.
func (s *Suspect) judge(t *Tables, flight *FlightRow, msg lentilmux.LegFailedMsg, now time.Time) {
	first := t.Members.Find(flight.Parts[0].Upstream)
	if first == nil {
		return
	}
	switch {
	case msg.Culprit.IsValid():
		if row := t.Members.At(msg.Culprit); row != nil {
			t.suspect(row, now, "blamed by "+first.ID)
		}
	case msg.Answered:
		// It lives; a failure of the request itself says no more.
	case msg.Kind == lentilmux.FailureDial:
		t.suspect(first, now, "no connection")
	case msg.Kind == lentilmux.FailureCrash:
		s.strike(t, first, now, "connection broke")
	case msg.Kind == lentilmux.FailureTimeout:
		s.silence(t, flight, now)
	}
}

// silence blames the upstream of a silent path that was without progress for
// longest, if others of the path had some.
func (s *Suspect) silence(t *Tables, flight *FlightRow, now time.Time) {
	var worst *MemberRow
	lively := false
	for _, part := range flight.Parts {
		row := t.Members.Find(part.Upstream)
		if row == nil {
			continue
		}
		if now.Sub(row.Pulse.Last()) < t.Limits.PulseSilence {
			lively = true
			continue
		}
		if worst == nil || row.Pulse.Last().Before(worst.Pulse.Last()) {
			worst = row
		}
	}
	if worst == nil {
		return
	}
	if lively && worst.Own.Streams > 1 {
		t.suspect(worst, now, "silent while others of its path were not")
		return
	}
	for _, part := range flight.Parts {
		if row := t.Members.Find(part.Upstream); row != nil && now.Sub(row.Pulse.Last()) >= t.Limits.PulseSilence {
			s.strike(t, row, now, "on a silent path")
		}
	}
}

// strike counts an unclear sign; several make an upstream suspect.
func (s *Suspect) strike(t *Tables, row *MemberRow, now time.Time, reason string) {
	if now.Sub(row.StruckAt) > t.Limits.StrikesForget {
		row.Strikes = 0
	}
	row.Strikes++
	row.StruckAt = now
	if row.Strikes >= t.Limits.StrikesMost {
		t.suspect(row, now, fmt.Sprintf("%s, %d signs", reason, row.Strikes))
	}
}

// ask asks a suspect for its state when its time is over.
func (s *Suspect) ask(t *Tables, row *MemberRow, now time.Time) {
	if row.SuspectUntil.IsZero() {
		return
	}
	if now.Before(row.SuspectUntil) {
		t.WakeAt(row.SuspectUntil)
		return
	}
	if t.Rules.Service(row.Service) == nil || t.Rules.Service(row.Service).Engine == nil {
		row.SuspectUntil = time.Time{} // plain services give no report: try it again
		return
	}
	row.SuspectUntil = now.Add(row.SuspectFor)
	row.AskedAt = now
	t.Add(lentilmux.ReportEffect{Upstream: row.ID, Addr: row.Addr})
	t.WakeAt(row.SuspectUntil)
}

// suspect keeps new work from an upstream until it reports, asking ever more
// rarely.
func (t *Tables) suspect(row *MemberRow, now time.Time, reason string) {
	fresh := row.SuspectUntil.IsZero()
	row.Hearsay = false
	if fresh && now.Sub(row.StruckAt) > t.Limits.StrikesForget {
		row.SuspectFor = 0
	}
	row.StruckAt = now
	row.SuspectFor = min(max(2*row.SuspectFor, t.Limits.SuspectFirst), t.Limits.SuspectMost)
	row.SuspectUntil = now.Add(row.SuspectFor)
	t.WakeAt(row.SuspectUntil)
	if fresh {
		t.Decide(lentilmux.Decision{What: "upstream_suspected", Subject: row.ID, Chosen: row.SuspectFor.String(), Reason: reason})
	}
}
