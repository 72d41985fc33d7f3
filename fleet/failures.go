package fleet

import (
	"time"

	"lentilmux.example/lentilmux"
)

// asksBurst is how many questions may go out at once.
const asksBurst = 8

// DetectFailures finds out which upstream a failed or silent leg speaks against. Clear
// signs keep new work from an upstream; unclear ones only make it be asked,
// since its answer tells. It reads Events.Failed, Events.Silent and Flights and
// writes Members.
type DetectFailures struct{}

// Run implements [System].
func (s *DetectFailures) Run(t *Tables, now time.Time) {
	for _, msg := range t.Events.FailedAttempts {
		if flight := t.Requests.Find(msg.Request); flight != nil && flight.Epoch == msg.Epoch && len(flight.Reservations) > 0 {
			s.judge(t, flight, msg.ForwardFailedMsg, now)
		}
	}
	for _, msg := range t.Events.StalledAttempts {
		if flight := t.Requests.Find(msg.Request); flight != nil && flight.Epoch == msg.Epoch {
			s.silence(t, flight, now)
		}
	}
	for _, row := range t.Upstreams.Rows {
		s.again(t, row, now)
	}
}

// judge looks at the signs of a failed leg.
func (s *DetectFailures) judge(t *Tables, flight *RequestRow, msg lentilmux.ForwardFailedMsg, now time.Time) {
	first := t.Upstreams.Find(flight.Reservations[0].Upstream)
	switch {
	case first == nil:
	case msg.BlamedUpstream.IsValid():
		if row := t.Upstreams.FindByAddr(msg.BlamedUpstream); row != nil {
			t.suspect(row, now, "blamed by "+first.ID)
			t.ask(row, now)
		}
	case msg.Answered:
		// It lives; a failure of the request itself says no more.
	case msg.Kind == lentilmux.FailureDial:
		t.suspect(first, now, "no connection")
		t.ask(first, now)
	default:
		if msg.Kind == lentilmux.FailureCrash && !flight.AnswerStarted {
			t.broke(first, now)
		}
		s.silence(t, flight, now)
	}
}

// silence asks the upstreams of a path that made no progress of late.
func (s *DetectFailures) silence(t *Tables, flight *RequestRow, now time.Time) {
	for _, part := range flight.Reservations {
		row := t.Upstreams.Find(part.Upstream)
		if row != nil && now.Sub(row.Progress.Last()) >= t.Limits.ProgressTimeout {
			t.ask(row, now)
		}
	}
}

// again asks a suspect for its state when its time is over.
func (s *DetectFailures) again(t *Tables, row *UpstreamRow, now time.Time) {
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
	row.SuspectUntil = now.Add(row.SuspectDuration)
	row.ProbedAt = time.Time{}
	t.ask(row, now)
	t.WakeAt(row.SuspectUntil)
}

// ask asks an upstream that holds layers for its state, unless it was just
// asked.
func (t *Tables) ask(row *UpstreamRow, now time.Time) {
	if now.Sub(row.ProbedAt) < t.Limits.MinProbeInterval {
		return
	}
	if model, _ := t.Engine(row); model == nil || !t.ProbeBucket.take(now, t.Limits.MaxProbesPerSecond/float64(t.LiveVMs(now)), asksBurst, 1) {
		return
	}
	row.ProbedAt = now
	t.AddEffect(lentilmux.FetchReportEffect{Upstream: row.ID, Addr: row.Addr})
}

// suspect keeps new work from an upstream until it reports, asking ever more
// rarely.
func (t *Tables) suspect(row *UpstreamRow, now time.Time, reason string) {
	fresh := row.SuspectUntil.IsZero()
	if fresh {
		row.SuspectDuration = 0
	}
	row.SuspectDuration = min(max(2*row.SuspectDuration, t.Limits.BaseSuspectDuration), t.Limits.MaxSuspectDuration)
	row.SuspectUntil = now.Add(row.SuspectDuration)
	t.WakeAt(row.SuspectUntil)
	if fresh {
		t.RecordDecision(lentilmux.Decision{What: "upstream_suspected", Subject: row.ID, Chosen: row.SuspectDuration.String(), Reason: reason})
	}
}
