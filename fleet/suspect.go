package fleet

import (
	"time"

	"lentilmux.example/lentilmux"
)

// asksBurst is how many questions may go out at once.
const asksBurst = 8

// Suspect finds out which upstream a failed or silent leg speaks against. Clear
// signs keep new work from an upstream; unclear ones only make it be asked,
// since its answer tells. It reads Events.Failed, Events.Silent and Flights and
// writes Members.
type Suspect struct{}

// Run implements [System].
func (s *Suspect) Run(t *Tables, now time.Time) {
	for _, msg := range t.Events.Failed {
		if flight := t.Flights.Find(msg.Request); flight != nil && flight.Epoch == msg.Epoch && len(flight.Parts) > 0 {
			s.judge(t, flight, msg.LegFailedMsg, now)
		}
	}
	for _, msg := range t.Events.Silent {
		if flight := t.Flights.Find(msg.Request); flight != nil && flight.Epoch == msg.Epoch {
			s.silence(t, flight, now)
		}
	}
	for _, row := range t.Members.Rows {
		s.again(t, row, now)
	}
}

// judge looks at the signs of a failed leg.
func (s *Suspect) judge(t *Tables, flight *FlightRow, msg lentilmux.LegFailedMsg, now time.Time) {
	first := t.Members.Find(flight.Parts[0].Upstream)
	switch {
	case first == nil:
	case msg.Culprit.IsValid():
		if row := t.Members.At(msg.Culprit); row != nil {
			t.suspect(row, now, "blamed by "+first.ID)
			t.ask(row, now)
		}
	case msg.Answered:
		// It lives; a failure of the request itself says no more.
	case msg.Kind == lentilmux.FailureDial:
		t.suspect(first, now, "no connection")
		t.ask(first, now)
	default:
		if msg.Kind == lentilmux.FailureCrash && !flight.Begun {
			t.broke(first, now)
		}
		s.silence(t, flight, now)
	}
}

// silence asks the upstreams of a path that made no progress of late.
func (s *Suspect) silence(t *Tables, flight *FlightRow, now time.Time) {
	for _, part := range flight.Parts {
		row := t.Members.Find(part.Upstream)
		if row != nil && now.Sub(row.Pulse.Last()) >= t.Limits.PulseSilence {
			t.ask(row, now)
		}
	}
}

// again asks a suspect for its state when its time is over.
func (s *Suspect) again(t *Tables, row *MemberRow, now time.Time) {
	if row.SuspectUntil.IsZero() {
		return
	}
	if now.Before(row.SuspectUntil) {
		t.WakeAt(row.SuspectUntil)
		return
	}
	if model, _ := t.Engine(row); model == nil {
		row.SuspectUntil = time.Time{} // plain services give no report: try it again
		return
	}
	row.SuspectUntil = now.Add(row.SuspectFor)
	row.AskedAt = time.Time{}
	t.ask(row, now)
	t.WakeAt(row.SuspectUntil)
}

// ask asks an upstream that holds layers for its state, unless it was just
// asked.
func (t *Tables) ask(row *MemberRow, now time.Time) {
	if now.Sub(row.AskedAt) < t.Limits.AskAgain {
		return
	}
	if model, _ := t.Engine(row); model == nil || !t.Asks.take(now, t.Limits.AsksMost/float64(t.Live(now)), asksBurst, 1) {
		return
	}
	row.AskedAt = now
	t.Add(lentilmux.ReportEffect{Upstream: row.ID, Addr: row.Addr})
}

// suspect keeps new work from an upstream until it reports, asking ever more
// rarely.
func (t *Tables) suspect(row *MemberRow, now time.Time, reason string) {
	fresh := row.SuspectUntil.IsZero()
	if fresh {
		row.SuspectFor = 0
	}
	row.SuspectFor = min(max(2*row.SuspectFor, t.Limits.SuspectFirst), t.Limits.SuspectMost)
	row.SuspectUntil = now.Add(row.SuspectFor)
	t.WakeAt(row.SuspectUntil)
	if fresh {
		t.Decide(lentilmux.Decision{What: "upstream_suspected", Subject: row.ID, Chosen: row.SuspectFor.String(), Reason: reason})
	}
}
