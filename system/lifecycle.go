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

// setState moves a request to a state and keeps its workspace's counts.
func setState(t *table.Tables, r *table.Request, state table.RequestState) {
	adjustWorkspaceCount(t, r, -1)
	r.State = state
	adjustWorkspaceCount(t, r, 1)
}

// adjustWorkspaceCount adds sign to the workspace's count for the request's state.
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

// enqueue puts a request behind the queue, or before it if it ran already.
func enqueue(t *table.Tables, now time.Time, r *table.Request) {
	setState(t, r, table.RequestQueued)
	r.QueuedAt = now
	if r.Attempts > 0 {
		t.Queue.IDs = slices.Insert(t.Queue.IDs, 0, r.Request.ID)
		return
	}
	t.Queue.IDs = append(t.Queue.IDs, r.Request.ID)
}

// adjustInFlight counts the request's attempt at its upstreams sign times.
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

// releaseUpstreams ends the request's running attempt, if there is one.
func releaseUpstreams(t *table.Tables, r *table.Request) {
	adjustInFlight(t, r, -1)
	r.Upstreams = nil
}

// removeRequest ends a request: it frees what it uses and closes the keys it holds.
func removeRequest(t *table.Tables, now time.Time, r *table.Request, outcome lentilmux.Outcome, reply lentilmux.ServiceReply) {
	releaseUpstreams(t, r)
	adjustWorkspaceCount(t, r, -1)
	if r.State == table.RequestClaiming {
		abandonClaim(t, r)
	}
	if outcome == lentilmux.OutcomeUnknown && repeatable(t, r) {
		outcome = lentilmux.OutcomeNotRun // frees the key: the work may run again
	}
	removed := *r
	t.Requests.Remove(string(r.Request.ID))
	for _, key := range removed.HeldKeys {
		publishOutcome(t, now, key, outcome, reply)
	}
}

// refuse answers the request's asker with a refusal and removes the request.
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

// adjustForResend turns "not run" into "unknown" for a key that the node does not hold
// and that was sent before: the earlier request may have run at another entry
// VM. A key that was used with another request is known from the log.
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

// recordRefusal writes the decision line of a refusal.
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

// notRunRefusal returns a refusal of work that no upstream saw.
func notRunRefusal(reason lentilmux.Reason, retryAfter time.Duration, format string, args ...any) lentilmux.Refusal {
	return lentilmux.Refusal{
		Outcome: lentilmux.OutcomeNotRun, Reason: reason,
		Detail: fmt.Sprintf(format, args...), RetryAfter: retryAfter,
	}
}

// unknownRefusal returns a refusal of work that an upstream may have acted on.
func unknownRefusal(reason lentilmux.Reason, retryAfter time.Duration, format string, args ...any) lentilmux.Refusal {
	refusal := notRunRefusal(reason, retryAfter, format, args...)
	refusal.Outcome = lentilmux.OutcomeUnknown
	return refusal
}

// rangeText returns the range as decisions show it.
func rangeText(l lentilmux.LayerRange) string {
	return strconv.Itoa(l.First) + "-" + strconv.Itoa(l.Last)
}

// fingerprintText returns the fingerprint as keys and queries show it.
func fingerprintText(f lentilmux.Fingerprint) string {
	return strconv.FormatUint(uint64(f), 16)
}

// trialPrefix begins the keys under which suspects are tried once more.
const trialPrefix = "trial/"

// callKey returns the key of a request in the table of calls.
func callKey(r lentilmux.Request) string { return "call/" + r.Workspace + "/" + r.Key }

// trialKey returns the key under which a suspect is tried.
func trialKey(r lentilmux.Request) string { return trialPrefix + fingerprintText(r.Fingerprint) }

// isTrial reports whether the request runs as the trial of a suspect.
func isTrial(r *table.Request) bool {
	return slices.ContainsFunc(r.HeldKeys, func(key string) bool { return strings.HasPrefix(key, trialPrefix) })
}
