package system

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

const (
	// commonCauseCrashes is the number of other upstreams that must crash within
	// commonCauseWindow for a crash to be attributed to a common cause.
	commonCauseCrashes = 2
	commonCauseWindow  = 2 * time.Second
	// crashCheckDelay is how long the verdict on a crash waits, so that the
	// crashes of other upstreams at the same time are seen.
	crashCheckDelay = 400 * time.Millisecond
)

// Quarantine limits how many upstreams requests with one fingerprint can crash.
// It reads the failures, progress and releases that arrived and writes
// CrashSuspects, Requests and the records that it appends to the calls stream.
//
// An attempt whose connection broke counts as a crash against the request's
// fingerprint, here and through the log on every VM. After the first crash
// requests with that fingerprint run only as trials. A trial claims a key in
// the log like a call with an idempotency key, so that one trial runs at a time
// across all entry VMs. At Limits.MaxCrashes crashes, two by default, the
// fingerprint is quarantined.
//
// When several upstreams crash together, as when a rack or an availability zone
// fails, no single request is the cause, and these crashes are not counted. The
// verdict on a crash that would lead to quarantine is therefore delayed by
// crashCheckDelay.
type Quarantine struct{}

// Run implements [System].
func (s *Quarantine) Run(t *table.Tables, now time.Time) {
	for _, failure := range t.Events.Failures {
		if failure.Kind == lentilmux.FailureCrash {
			s.recordCrash(t, now, failure)
		}
	}
	for _, progress := range t.Events.Progress {
		clearParts(t, now, progress)
	}
	for _, event := range t.Events.Releases {
		s.releaseSuspect(t, now, event)
	}
	s.finishCrashChecks(t, now)
	for i := len(t.CrashSuspects.Rows) - 1; i >= 0; i-- {
		if now.Sub(t.CrashSuspects.Rows[i].CrashedAt) >= t.Limits.QuarantineDuration {
			t.CrashSuspects.Remove(t.CrashSuspects.Rows[i].Fingerprint)
		}
	}
}

// recordCrash counts the crash of an upstream against the request, or delays
// the verdict if the crash would lead to quarantine. If the request may not be
// repeated, the crash is counted without delay, since the request ends with
// this attempt.
func (s *Quarantine) recordCrash(t *table.Tables, now time.Time, failure table.AttemptFailedEvent) {
	r := t.Requests.Find(string(failure.Request))
	if r == nil || r.State != table.RequestRunning || r.Epoch != failure.Epoch || failure.Stage >= len(r.Upstreams) {
		return
	}
	upstream := r.Upstreams[failure.Stage]
	suspect := t.CrashSuspects.Find(fingerprintText(r.Request.Fingerprint))
	if !repeatable(t, r) || suspect == nil || len(suspect.Upstreams)+1 < t.Limits.MaxCrashes {
		s.countCrash(t, now, r, upstream)
		return
	}
	releaseUpstreams(t, r)
	setState(t, r, table.RequestCrashCheck)
	r.MayHaveRun = true
	r.CorrelationID = failure.CorrelationID
	r.FailedUpstreams = append(r.FailedUpstreams, upstream)
	r.CrashCheckUntil = now.Add(crashCheckDelay)
	t.WakeAt(r.CrashCheckUntil)
}

// releaseSuspect records in the log that an operator ends the suspicion of a
// fingerprint.
func (s *Quarantine) releaseSuspect(t *table.Tables, now time.Time, event table.ReleaseEvent) {
	key := fingerprintText(event.Fingerprint)
	answer := lentilmux.CommandAnswer{OutcomeKnown: true, Revision: t.Self.Revision, Detail: "no request with this fingerprint is suspected"}
	switch {
	case t.CrashSuspects.Find(key) == nil:
	case !t.Streams.Calls.Healthy():
		answer.Detail = "the log is not available; nothing was changed"
	default:
		t.Self.LastCallRecord++
		appendCall(t, now, lentilmux.CallRecord{
			Kind: lentilmux.CallRecordRelease, ID: fmt.Sprintf("%s-%d", t.Self.Incarnation, t.Self.LastCallRecord),
			VM: t.Self.Name, Incarnation: t.Self.Incarnation, Fingerprint: event.Fingerprint,
		})
		t.RecordDecision(now, lentilmux.Decision{What: "suspect", Subject: key, Chosen: "released", Reason: "by " + event.Who})
		answer.Accepted, answer.Detail = true, "released on all entry VMs"
	}
	t.Answer(event.CorrelationID, answer)
}

// finishCrashChecks gives the delayed verdicts that are due: the request is
// refused if its fingerprint is now quarantined, and continues otherwise.
func (s *Quarantine) finishCrashChecks(t *table.Tables, now time.Time) {
	for i := len(t.Requests.Rows) - 1; i >= 0; i-- {
		if i >= len(t.Requests.Rows) || t.Requests.Rows[i].State != table.RequestCrashCheck {
			continue
		}
		r := &t.Requests.Rows[i]
		if now.Before(r.CrashCheckUntil) {
			t.WakeAt(r.CrashCheckUntil)
			continue
		}
		s.countCrash(t, now, r, r.FailedUpstreams[len(r.FailedUpstreams)-1])
		suspect := t.CrashSuspects.Find(fingerprintText(r.Request.Fingerprint))
		if suspect != nil && isQuarantined(t, suspect) {
			refuse(t, now, r, unknownRefusal(lentilmux.ReasonQuarantined, t.Limits.QuarantineDuration, "the request crashed %d upstreams", len(suspect.Upstreams)))
			continue
		}
		advanceRequest(t, now, r)
	}
}

// countCrash counts a crash against the request's fingerprint, here and in the
// log, unless other upstreams crashed at the same time.
func (s *Quarantine) countCrash(t *table.Tables, now time.Time, r *table.Request, upstream string) {
	if others := recentCrashes(t, now, upstream); others >= commonCauseCrashes {
		t.RecordDecision(now, lentilmux.Decision{
			What: "suspect", Subject: fingerprintText(r.Request.Fingerprint), Chosen: "not_counted",
			Reason: fmt.Sprintf("%d other upstreams crashed together with %s", others, upstream),
		})
		return
	}
	var parts []lentilmux.PromptPart
	if r.DeliveredTokens == 0 {
		parts = r.Request.SharedParts
	}
	t.Self.LastCallRecord++
	appendCall(t, now, lentilmux.CallRecord{
		Kind: lentilmux.CallRecordCrash, ID: fmt.Sprintf("%s-%d", t.Self.Incarnation, t.Self.LastCallRecord),
		VM: t.Self.Name, Incarnation: t.Self.Incarnation,
		Fingerprint: r.Request.Fingerprint, Upstream: upstream, Parts: parts,
	})
	addCrash(t, now, r.Request.Fingerprint, upstream)
	addPartCrashes(t, now, parts, upstream)
}

// recentCrashes returns how many other upstreams crashed within
// commonCauseWindow.
func recentCrashes(t *table.Tables, now time.Time, upstream string) (count int) {
	for i := range t.Upstreams.Rows {
		u := &t.Upstreams.Rows[i]
		if u.Spec.Name != upstream && !u.CrashedAt.IsZero() && now.Sub(u.CrashedAt) < commonCauseWindow {
			count++
		}
	}
	return count
}

// addCrash adds a crashed upstream to the suspect of a fingerprint.
func addCrash(t *table.Tables, now time.Time, fingerprint lentilmux.Fingerprint, upstream string) {
	key := fingerprintText(fingerprint)
	suspect := t.CrashSuspects.Find(key)
	if suspect == nil {
		suspect = t.CrashSuspects.Put(table.CrashSuspect{Fingerprint: key})
	}
	suspect.CrashedAt = now
	if slices.Contains(suspect.Upstreams, upstream) {
		return
	}
	suspect.Upstreams = append(suspect.Upstreams, upstream)
	chosen := "trial"
	if isQuarantined(t, suspect) {
		chosen = "quarantine"
	}
	t.RecordDecision(now, lentilmux.Decision{
		What: "suspect", Subject: key, Chosen: chosen, Reason: "crashed " + strings.Join(suspect.Upstreams, ", "),
	})
}

// isQuarantined reports whether the suspect has crashed Limits.MaxCrashes
// upstreams or more.
func isQuarantined(t *table.Tables, suspect *table.CrashSuspect) bool {
	return !suspect.Part && len(suspect.Upstreams) >= t.Limits.MaxCrashes
}
