package system

import (
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

// FinishRequests removes the requests that traffic goroutines finished and
// those that operators stop. It reads the results and stop commands that
// arrived and writes Requests, Calls and the counts of Upstreams and
// Workspaces.
type FinishRequests struct{}

// Run implements [System].
func (s *FinishRequests) Run(t *table.Tables, now time.Time) {
	for _, done := range t.Events.Done {
		s.finish(t, now, done)
	}
	for _, stop := range t.Events.Stops {
		s.stopRequest(t, now, stop)
	}
}

// finish removes a request with the outcome that its traffic goroutine
// reported. "Not run" becomes "unknown" if an earlier attempt may have run.
func (s *FinishRequests) finish(t *table.Tables, now time.Time, done lentilmux.RequestDoneMsg) {
	r := t.Requests.Find(string(done.Request))
	if r == nil {
		return
	}
	outcome := done.Outcome
	if outcome == lentilmux.OutcomeNotRun && r.MayHaveRun {
		outcome = lentilmux.OutcomeUnknown
	}
	if outcome == lentilmux.OutcomeAnswered {
		s.resetFailures(t, r)
	}
	if done.Reason != "" {
		t.RecordDecision(now, lentilmux.Decision{
			What: "end", Subject: string(done.Request), Chosen: outcome.String(), Reason: string(done.Reason),
		})
	}
	removeRequest(t, now, r, outcome, done.Reply)
}

// resetFailures resets the failure counts of the upstreams that answered the
// request.
func (s *FinishRequests) resetFailures(t *table.Tables, r *table.Request) {
	for _, name := range r.Upstreams {
		if u := t.Upstreams.Find(name); u != nil {
			u.Failures = 0
		}
	}
}

// stopRequest stops a request on behalf of an operator. A running request is
// canceled by an effect, and its traffic goroutine answers the caller.
func (s *FinishRequests) stopRequest(t *table.Tables, now time.Time, stop table.StopEvent) {
	r := t.Requests.Find(string(stop.Request))
	if r == nil {
		t.Answer(stop.CorrelationID, lentilmux.CommandAnswer{
			OutcomeKnown: true, Revision: t.Self.Revision, Detail: "no such request at this entry VM",
		})
		return
	}
	t.RecordDecision(now, lentilmux.Decision{What: "stop", Subject: string(stop.Request), Chosen: "stopped", Reason: "an operator's command"})
	if r.State == table.RequestRunning {
		t.AddEffect(lentilmux.CancelEffect{Request: stop.Request, Reason: lentilmux.ReasonStopped})
	} else {
		refuse(t, now, r, notRunRefusal(lentilmux.ReasonStopped, 0, "an operator stopped the request"))
	}
	t.Answer(stop.CorrelationID, lentilmux.CommandAnswer{Accepted: true, OutcomeKnown: true, Revision: t.Self.Revision, Detail: "stopped"})
}
