package system

import (
	"slices"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

// reprobeCheckInterval is the time between two searches for ejections that run out.
const reprobeCheckInterval = 50 * time.Millisecond

// rttWeight is the weight of a new round trip in the average.
const rttWeight = 0.2

// maxFailuresAlive is the number of failed signs in a row after which a live
// upstream is ejected all the same.
const maxFailuresAlive = 4

// maxEjectedShare is the largest part of a pipeline's or service's upstreams that
// weak signs may eject.
const maxEjectedShare = 0.3

// Health joins the signs of failure into one judgement per upstream. It reads
// failures, load reports and probes and writes the health of Upstreams.
//
// A failed step or report alone never ejects: it starts a probe over a new
// connection. A dead probe ejects at once and aborts what runs there and may be
// repeated; a live one shows that only a connection was lost. Repeated
// failures with live probes eject too, but only up to a ceiling.
type Health struct{}

// Run implements [System].
func (s *Health) Run(t *table.Tables, now time.Time) {
	for _, failure := range t.Events.Failures {
		s.recordFailure(t, now, failure)
	}
	for _, load := range t.Events.LoadReports {
		s.recordLoad(t, now, load)
	}
	for _, probe := range t.Events.ProbeResults {
		s.recordProbe(t, now, probe)
	}
	if t.Due(&t.Timers.Reprobe, now, reprobeCheckInterval) {
		for i := range t.Upstreams.Rows {
			s.reprobe(t, now, &t.Upstreams.Rows[i])
		}
	}
}

// recordFailure takes a failed attempt as a sign against the upstream of its stage.
func (s *Health) recordFailure(t *table.Tables, now time.Time, failure table.AttemptFailedEvent) {
	r := t.Requests.Find(string(failure.Request))
	if r == nil || r.Epoch != failure.Epoch || failure.Stage >= len(r.Upstreams) {
		return
	}
	u := t.Upstreams.Find(r.Upstreams[failure.Stage])
	if u == nil || failure.Kind == lentilmux.FailureAborted {
		return
	}
	switch failure.Kind {
	case lentilmux.FailureRefused:
		s.pauseUpstream(t, now, u)
		return
	case lentilmux.FailureDial:
		s.pauseUpstream(t, now, u)
	case lentilmux.FailureCrash:
		s.pauseUpstream(t, now, u)
		u.CrashedAt = now
	}
	u.Failures++
	s.startProbe(t, now, u)
}

// pauseUpstream keeps new work from an upstream until more is known of it.
func (s *Health) pauseUpstream(t *table.Tables, now time.Time, u *table.Upstream) {
	u.BusyUntil = now.Add(t.Limits.BusyDuration)
	t.WakeAt(u.BusyUntil)
}

// recordLoad takes a report in. A missing one is a sign of failure.
func (s *Health) recordLoad(t *table.Tables, now time.Time, load lentilmux.LoadReportMsg) {
	u := t.Upstreams.Find(load.Upstream)
	if u == nil {
		return
	}
	if load.Err != nil {
		u.Failures++
		s.startProbe(t, now, u)
		return
	}
	report := load.Report
	if report.HasLayers != u.Report.HasLayers || report.Layers != u.Report.Layers || report.Model != u.Report.Model {
		t.Stages.Stale = true
		t.RecordDecision(now, lentilmux.Decision{
			What: "held_range", Subject: u.Spec.Name, Chosen: heldRangeText(report), Reason: "reported by the engine",
		})
	}
	u.Report = report
	u.ReportedAt = now
	u.RTT += time.Duration(rttWeight * float64(load.RTT-u.RTT))
	u.ReportedLeaving = report.Leaving
}

func heldRangeText(report lentilmux.LoadReport) string {
	if !report.HasLayers {
		return "none"
	}
	return report.Model + " " + rangeText(report.Layers)
}

// startProbe checks an upstream over a new connection, unless that is under way.
func (s *Health) startProbe(t *table.Tables, now time.Time, u *table.Upstream) {
	if u.Probing {
		return
	}
	u.Probing = true
	u.ProbedAt = now
	t.AddEffect(lentilmux.ProbeEffect{Upstream: u.Spec.Name, Kind: u.Spec.Kind, Addr: u.Spec.Addr})
}

// recordProbe judges an upstream by the result of a probe.
func (s *Health) recordProbe(t *table.Tables, now time.Time, probe lentilmux.ProbeResultMsg) {
	u := t.Upstreams.Find(probe.Upstream)
	if u == nil {
		return
	}
	u.Probing = false
	switch {
	case !probe.Alive:
		s.eject(t, now, u, "dead on a new connection")
		s.abortAttempts(t, u)
	case !u.EjectedUntil.IsZero():
		s.restore(t, now, u)
	case u.Failures >= maxFailuresAlive && s.mayEjectMore(t, u):
		s.eject(t, now, u, "repeated failures, though alive")
	}
}

// eject takes an upstream out, each time for longer.
func (s *Health) eject(t *table.Tables, now time.Time, u *table.Upstream, reason string) {
	if u.EjectedUntil.IsZero() {
		u.EjectedAt = now
		t.Stages.Stale = true
		t.RecordDecision(now, lentilmux.Decision{What: "eject", Subject: u.Spec.Name, Chosen: "no_new_work", Reason: reason})
	}
	period := min(t.Limits.BaseEjectDuration<<min(u.Ejections, 8), t.Limits.MaxEjectDuration)
	u.Ejections++
	u.EjectedUntil = now.Add(period)
}

// restore takes an upstream back; it starts slowly.
func (s *Health) restore(t *table.Tables, now time.Time, u *table.Upstream) {
	t.RecordDecision(now, lentilmux.Decision{What: "restore", Subject: u.Spec.Name, Chosen: "slow_start", Reason: "alive on a new connection"})
	t.Stages.Stale = true
	u.EjectedUntil = time.Time{}
	u.EjectedAt = time.Time{}
	u.Ejections = 0
	u.Failures = 0
	u.ReturnedAt = now
}

// reprobe probes an ejected upstream when its period ends, so that no
// caller's request has to try it.
func (s *Health) reprobe(t *table.Tables, now time.Time, u *table.Upstream) {
	if u.EjectedUntil.IsZero() {
		return
	}
	if now.Before(u.EjectedUntil) {
		return
	}
	s.startProbe(t, now, u)
}

// abortAttempts ends the attempts at a dead upstream that may be repeated.
func (s *Health) abortAttempts(t *table.Tables, u *table.Upstream) {
	for i := range t.Requests.Rows {
		r := &t.Requests.Rows[i]
		if r.State == table.RequestRunning && slices.Contains(r.Upstreams, u.Spec.Name) && repeatable(t, r) {
			t.AddEffect(lentilmux.AbortEffect{Request: r.Request.ID, Epoch: r.Epoch})
		}
	}
}

// mayEjectMore reports whether one more upstream may be ejected on weak signs.
func (s *Health) mayEjectMore(t *table.Tables, u *table.Upstream) bool {
	target := targetUsing(t, u.Spec.Name)
	all, ejected := 0, 1
	for i := range t.Upstreams.Rows {
		other := &t.Upstreams.Rows[i]
		if targetUsing(t, other.Spec.Name) != target {
			continue
		}
		all++
		if !other.EjectedUntil.IsZero() {
			ejected++
		}
	}
	return float64(ejected) <= maxEjectedShare*float64(all)
}
