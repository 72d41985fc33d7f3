package system

import (
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

// backoffBase is the maximum delay before the third attempt, the first one to
// be delayed.
const backoffBase = 100 * time.Millisecond

// Retry decides whether a failed attempt is followed by another. It reads the
// failures that arrived and writes Requests and the retry budget.
//
// Work that an upstream may have acted on runs again only if it is idempotent.
// Work that an upstream refused returns to the queue and does not count as an
// attempt. A retry because an upstream failed (a failed dial, a crash or an
// abort) is free, since each such failure causes at most one retry for each
// request in flight there. A retry after a refusal is free too. Any other retry
// takes from a budget that grows with the arrivals, so that retries never
// amplify an overload.
type Retry struct{}

// Run implements [System].
func (s *Retry) Run(t *table.Tables, now time.Time) {
	for _, failure := range t.Events.Failures {
		s.handleFailure(t, now, failure)
	}
}

func (s *Retry) handleFailure(t *table.Tables, now time.Time, failure table.AttemptFailedEvent) {
	r := t.Requests.Find(string(failure.Request))
	if r != nil && r.State == table.RequestCrashCheck && r.Epoch == failure.Epoch {
		return // answered when the crash check is due
	}
	if r == nil || r.State != table.RequestRunning || r.Epoch != failure.Epoch {
		refusal := unknownRefusal(lentilmux.ReasonCanceled, 0, "the request is no longer served")
		t.Answer(failure.CorrelationID, lentilmux.RefusalAnswer{Refusal: refusal})
		return
	}
	upstream := ""
	if failure.Stage < len(r.Upstreams) {
		upstream = r.Upstreams[failure.Stage]
	}
	if failure.Kind == lentilmux.FailureRefused {
		r.Attempts--
	} else {
		r.FailedUpstreams = append(r.FailedUpstreams, upstream)
	}
	r.CorrelationID = failure.CorrelationID
	r.MayHaveRun = r.MayHaveRun || mayHaveActed(failure.Kind)
	releaseUpstreams(t, r)
	if refusal := s.retryRefusal(t, now, r, failure.Kind); refusal != nil {
		refuse(t, now, r, *refusal)
		return
	}
	t.RecordDecision(now, lentilmux.Decision{
		What: "retry", Subject: string(r.Request.ID), Chosen: "again",
		Reason: failure.Kind.String() + " at " + upstream,
	})
	r.NotBefore = now.Add(backoff(r))
	advanceRequest(t, now, r)
}

// backoff returns the delay before the next attempt: none before the second
// attempt, then doubling. The jitter is derived from the request's ID, so that
// requests that failed together are not retried together.
func backoff(r *table.Request) time.Duration {
	if r.Attempts < 2 {
		return 0
	}
	period := backoffBase << min(r.Attempts-2, 4)
	jitter := uint64(lentilmux.ComputeFingerprint(string(r.Request.ID))) % uint64(period)
	return period/2 + time.Duration(jitter)/2
}

// mayHaveActed reports whether the upstream may have acted on an attempt that
// failed with the kind.
func mayHaveActed(kind lentilmux.FailureKind) bool {
	return kind != lentilmux.FailureRefused && kind != lentilmux.FailureDial
}

// retryRefusal returns the refusal if the request may not be retried. Otherwise
// it takes the cost of the retry from the budget and returns nil.
func (s *Retry) retryRefusal(t *table.Tables, now time.Time, r *table.Request, kind lentilmux.FailureKind) *lentilmux.Refusal {
	suspect := t.CrashSuspects.Find(fingerprintText(r.Request.Fingerprint))
	var refusal lentilmux.Refusal
	switch {
	case r.MayHaveRun && !repeatable(t, r):
		refusal = unknownRefusal(lentilmux.ReasonUpstreamFailed, 0, "the upstream failed (%s) and may have run the call", kind)
	case suspect != nil && isQuarantined(t, suspect):
		refusal = unknownRefusal(lentilmux.ReasonQuarantined, t.Limits.QuarantineDuration, "the request crashed %d upstreams", len(suspect.Upstreams))
	case quarantinedPart(t, r) != nil:
		refusal = unknownRefusal(lentilmux.ReasonQuarantined, t.Limits.QuarantineDuration, "requests with prompt part %s crashed upstreams", quarantinedPart(t, r).Fingerprint)
	case r.Attempts >= t.Limits.MaxAttempts:
		refusal = notRunRefusal(lentilmux.ReasonUpstreamFailed, time.Second, "%d attempts failed, the last by %s", r.Attempts, kind)
	case !now.Before(r.Request.Deadline):
		refusal = notRunRefusal(lentilmux.ReasonDeadline, 0, "the deadline passed after %d attempts", r.Attempts)
	case !s.takeRetryToken(t, kind):
		refusal = notRunRefusal(lentilmux.ReasonRetryBudget, time.Second, "too many attempts fail to try again")
	default:
		return nil
	}
	return &refusal
}

// takeRetryToken takes a retry from the budget and reports whether the retry is
// allowed. After a refusal, a failed dial, a crash or an abort it costs nothing.
func (s *Retry) takeRetryToken(t *table.Tables, kind lentilmux.FailureKind) bool {
	switch kind {
	case lentilmux.FailureRefused, lentilmux.FailureDial, lentilmux.FailureCrash, lentilmux.FailureAborted:
		return true
	}
	if t.Self.RetryTokens < 1 {
		return false
	}
	t.Self.RetryTokens--
	return true
}
