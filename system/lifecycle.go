package system

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

// setState sets the state of a request and updates the counts of its workspace.
func setState(t *table.Tables, r *table.Request, state table.RequestState) {
	adjustWorkspaceCount(t, r, -1)
	r.State = state
	adjustWorkspaceCount(t, r, 1)
}

// adjustWorkspaceCount adds sign, 1 or -1, to the count of the request's
// workspace that fits the request's state.
func adjustWorkspaceCount(t *table.Tables, r *table.Request, sign int) {
	w := t.Workspaces.Find(r.Request.Workspace)
	if w == nil {
		return
	}
	if r.State == table.RequestRunning {
		w.Running += sign
		return
	}
	w.Queued += sign
}

// enqueue appends a request to the queue, or puts it at the head if it was
// attempted before.
func enqueue(t *table.Tables, now time.Time, r *table.Request) {
	setState(t, r, table.RequestQueued)
	r.QueuedAt = now
	if r.Attempts > 0 {
		t.Queue.IDs = slices.Insert(t.Queue.IDs, 0, r.Request.ID)
		return
	}
	t.Queue.IDs = append(t.Queue.IDs, r.Request.ID)
}

// adjustInFlight adds sign, 1 or -1, to the in-flight counts of the request's
// upstreams, and to their trial counts if the request is a trial.
func adjustInFlight(t *table.Tables, r *table.Request, sign int) {
	trial := isTrial(r)
	for _, name := range r.Upstreams {
		u := t.Upstreams.Find(name)
		if u == nil {
			continue
		}
		u.InFlight += sign
		if trial {
			u.Trials += sign
		}
	}
}

// releaseUpstreams ends the request's current attempt, if there is one, and
// takes it off the in-flight counts of its upstreams.
func releaseUpstreams(t *table.Tables, r *table.Request) {
	adjustInFlight(t, r, -1)
	r.Upstreams = nil
}

// removeRequest removes a request, releases its upstreams and publishes the
// outcome of the keys it holds.
func removeRequest(t *table.Tables, now time.Time, r *table.Request, outcome lentilmux.Outcome, reply lentilmux.ServiceReply) {
	releaseUpstreams(t, r)
	adjustWorkspaceCount(t, r, -1)
	if r.State == table.RequestClaiming {
		abandonClaim(t, r)
	}
	if outcome == lentilmux.OutcomeUnknown && repeatable(t, r) {
		outcome = lentilmux.OutcomeNotRun // releases the key, since the work may run again
	}
	removed := *r
	t.Requests.Remove(string(r.Request.ID))
	for _, key := range removed.HeldKeys {
		publishOutcome(t, now, key, outcome, reply)
	}
}

// refuse answers a request with a refusal and removes it. If an earlier attempt
// may have run, the outcome "not run" becomes "unknown".
func refuse(t *table.Tables, now time.Time, r *table.Request, refusal lentilmux.Refusal) {
	outcome := refusal.Outcome
	if r.MayHaveRun && outcome == lentilmux.OutcomeNotRun {
		outcome = lentilmux.OutcomeUnknown
	}
	refusal.Outcome = outcome
	if !slices.Contains(r.HeldKeys, callKey(r.Request)) {
		refusal = adjustForResend(r.Request, refusal)
	}
	t.Answer(r.CorrelationID, lentilmux.RefusalAnswer{Refusal: refusal})
	recordRefusal(t, now, r.Request, refusal)
	removeRequest(t, now, r, outcome, lentilmux.ServiceReply{})
}

// adjustForResend changes the outcome "not run" to "unknown" for a key that
// this node does not hold and that the caller sent before, since the earlier
// request may have run at another entry VM. The outcome stays "not run" for a
// key that was used with another request, since the log shows that request, and
// for an invalid key.
func adjustForResend(request lentilmux.Request, refusal lentilmux.Refusal) lentilmux.Refusal {
	if refusal.Outcome != lentilmux.OutcomeNotRun || request.UnsentOutcome() == lentilmux.OutcomeNotRun {
		return refusal
	}
	switch refusal.Reason {
	case lentilmux.ReasonKeyReused, lentilmux.ReasonKeyInvalid:
		return refusal
	}
	refusal.Outcome = lentilmux.OutcomeUnknown
	refusal.Detail += "; an earlier request with this key may have run"
	return refusal
}

// recordRefusal counts a refusal for its workspace and records the decision.
func recordRefusal(t *table.Tables, now time.Time, request lentilmux.Request, refusal lentilmux.Refusal) {
	if w := t.Workspaces.Find(request.Workspace); w != nil {
		w.Refused++
	}
	t.RecordDecision(now, lentilmux.Decision{
		What: "refuse", Subject: string(request.ID), Chosen: string(refusal.Reason),
		Reason:     refusal.Detail,
		Considered: []string{"workspace " + request.Workspace, "outcome " + refusal.Outcome.String()},
	})
}

// notRunRefusal returns a refusal of work that did not reach an upstream.
func notRunRefusal(reason lentilmux.Reason, retryAfter time.Duration, format string, args ...any) lentilmux.Refusal {
	return lentilmux.Refusal{
		Outcome: lentilmux.OutcomeNotRun, Reason: reason,
		Detail: fmt.Sprintf(format, args...), RetryAfter: retryAfter,
	}
}

// unknownRefusal returns a refusal of work that an upstream may have run.
func unknownRefusal(reason lentilmux.Reason, retryAfter time.Duration, format string, args ...any) lentilmux.Refusal {
	refusal := notRunRefusal(reason, retryAfter, format, args...)
	refusal.Outcome = lentilmux.OutcomeUnknown
	return refusal
}

// rangeText formats a layer range for decisions and queries.
func rangeText(l lentilmux.LayerRange) string {
	return strconv.Itoa(l.First) + "-" + strconv.Itoa(l.Last)
}

// fingerprintText formats a fingerprint for keys and queries.
func fingerprintText(f lentilmux.Fingerprint) string {
	return strconv.FormatUint(uint64(f), 16)
}

// trialPrefix begins the keys of trials, the single attempts of suspected
// requests.
const trialPrefix = "trial/"

// callKey returns the key of a request in Calls.
func callKey(r lentilmux.Request) string { return "call/" + r.Workspace + "/" + r.Key }

// trialKey returns the key in Calls that a suspected request claims for its
// trial.
func trialKey(r lentilmux.Request) string { return trialPrefix + fingerprintText(r.Fingerprint) }

// isTrial reports whether the request holds the key of a trial.
func isTrial(r *table.Request) bool {
	return slices.ContainsFunc(r.HeldKeys, func(key string) bool { return strings.HasPrefix(key, trialPrefix) })
}
