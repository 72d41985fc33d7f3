package system

import (
	"slices"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

// reprobeCheckInterval is the time between two checks for ejections that have
// run out.
const reprobeCheckInterval = 50 * time.Millisecond

// silentProbeInterval is the minimum time between two probes of an upstream that
// is silent.
const silentProbeInterval = 500 * time.Millisecond

// rttWeight is the weight of a new round-trip time in the moving average.
const rttWeight = 0.2

// maxFailuresAlive is the number of consecutive failures after which an
// upstream is ejected although its probes succeed.
const maxFailuresAlive = 4

// maxEjectedShare is the maximum share of the upstreams of a pipeline or
// service that may be ejected although their probes succeed.
const maxEjectedShare = 0.3

// Health combines failures, load reports and probes into one health state per
// upstream (outlier ejection). It reads the failures, load reports and probe
// results that arrived and writes the health and reports of Upstreams.
//
// A failed step or load report alone never ejects an upstream: it starts a
// probe over a new connection. A failed probe ejects immediately; a successful
// one shows that only a connection was lost. Repeated failures eject although
// probes succeed, but only up to maxEjectedShare.
//
// The attempts at an upstream that may be repeated are aborted once it is shown
// to be dead: immediately if a probe is refused, and after Limits.MaxSilence if
// probes get no answer, since a sound upstream may be silent for a moment.
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

// recordFailure counts a failed attempt against the upstream of the stage that
// failed. An upstream that refused the attempt is only paused.
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
	case lentilmux.FailureDial, lentilmux.FailureMalformed:
		s.pauseUpstream(t, now, u)
	case lentilmux.FailureCrash:
		s.pauseUpstream(t, now, u)
		u.CrashedAt = now
	}
	u.Failures++
	s.startProbe(t, now, u)
}

// pauseUpstream sends no new work to an upstream for Limits.BusyDuration.
func (s *Health) pauseUpstream(t *table.Tables, now time.Time, u *table.Upstream) {
	u.BusyUntil = now.Add(t.Limits.BusyDuration)
	t.WakeAt(u.BusyUntil)
}

// recordLoad stores a load report. A failed one counts as a failure of the
// upstream.
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
	u.SilentSince = time.Time{}
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

// startProbe probes an upstream over a new connection, unless a probe is in
// flight.
func (s *Health) startProbe(t *table.Tables, now time.Time, u *table.Upstream) {
	if u.Probing {
		return
	}
	u.Probing = true
	u.ProbedAt = now
	t.AddEffect(lentilmux.ProbeEffect{Upstream: u.Spec.Name, Kind: u.Spec.Kind, Addr: u.Spec.Addr})
}

// recordProbe ejects or restores an upstream according to the result of a
// probe.
func (s *Health) recordProbe(t *table.Tables, now time.Time, probe lentilmux.ProbeResultMsg) {
	u := t.Upstreams.Find(probe.Upstream)
	if u == nil {
		return
	}
	u.Probing = false
	if probe.Outcome == lentilmux.ProbeSilent {
		s.recordSilence(t, now, u)
		return
	}
	u.SilentSince = time.Time{}
	switch {
	case probe.Outcome == lentilmux.ProbeDead:
		s.eject(t, now, u, "probe on a new connection failed")
		s.abortAttempts(t, u)
	case !u.EjectedUntil.IsZero():
		s.restore(t, now, u)
	case u.Failures >= maxFailuresAlive && s.mayEjectMore(t, u):
		s.eject(t, now, u, "repeated failures although probes succeed")
	}
}

// recordSilence ejects an upstream that did not answer a probe. It is probed
// again every silentProbeInterval until its silence has lasted Limits.MaxSilence; its
// attempts are aborted only then, because an aborted attempt cannot be resumed
// when the upstream goes on.
func (s *Health) recordSilence(t *table.Tables, now time.Time, u *table.Upstream) {
	if u.SilentSince.IsZero() {
		u.SilentSince = later(u.ProbedAt, u.ReportedAt)
	}
	isOver := now.Sub(u.SilentSince) >= t.Limits.MaxSilence
	if isOver || u.EjectedUntil.IsZero() {
		s.eject(t, now, u, "probe on a new connection had no answer")
	}
	if isOver {
		s.abortAttempts(t, u)
		return
	}
	u.EjectedUntil = later(now, u.ProbedAt.Add(silentProbeInterval))
	s.reprobe(t, now, u)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// eject stops new work for an upstream. Each further ejection lasts twice as
// long, up to Limits.MaxEjectDuration.
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

// restore ends the ejection of an upstream; it resumes with slow start.
func (s *Health) restore(t *table.Tables, now time.Time, u *table.Upstream) {
	t.RecordDecision(now, lentilmux.Decision{What: "restore", Subject: u.Spec.Name, Chosen: "slow_start", Reason: "probe on a new connection succeeded"})
	t.Stages.Stale = true
	u.EjectedUntil = time.Time{}
	u.EjectedAt = time.Time{}
	u.Ejections = 0
	u.Failures = 0
	u.ReturnedAt = now
}

// reprobe probes an ejected upstream when its ejection runs out, so that no
// caller's request has to test it.
func (s *Health) reprobe(t *table.Tables, now time.Time, u *table.Upstream) {
	if u.EjectedUntil.IsZero() {
		return
	}
	if now.Before(u.EjectedUntil) {
		return
	}
	s.startProbe(t, now, u)
}

// abortAttempts aborts the attempts in flight at a dead upstream that may be
// repeated.
func (s *Health) abortAttempts(t *table.Tables, u *table.Upstream) {
	for i := range t.Requests.Rows {
		r := &t.Requests.Rows[i]
		if r.State == table.RequestRunning && slices.Contains(r.Upstreams, u.Spec.Name) && repeatable(t, r) {
			t.AddEffect(lentilmux.AbortEffect{Request: r.Request.ID, Epoch: r.Epoch})
		}
	}
}

// mayEjectMore reports whether one more upstream of u's pipeline or service may
// be ejected although its probes succeed.
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
