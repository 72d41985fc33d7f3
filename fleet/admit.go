package fleet

import (
	"fmt"
	"time"

	"lentilmux.example/lentilmux"
)

// AdmitRequests decides where requests go: their first leg, and the next one after a
// leg failed. It reads Rules, Knowledge and Members and writes Flights, Budgets
// and Poisons.
type AdmitRequests struct {
	PathSelector lentilmux.PathSelector
	Dispatch     lentilmux.Dispatch

	nodes      []lentilmux.PathNode
	rows       []*UpstreamRow // of nodes and candidates
	parts      []lentilmux.PathHop
	candidates []lentilmux.Candidate
}

// Run implements [System].
func (a *AdmitRequests) Run(t *Tables, now time.Time) {
	for _, failed := range t.Events.FailedAttempts {
		a.failed(t, failed, now)
	}
	for _, silent := range t.Events.StalledAttempts {
		a.silent(t, silent, now)
	}
	a.resume(t, now)
	for _, arrival := range t.Events.Arrivals {
		if !t.gone(arrival.Inbound.ID) && !a.wait(t, arrival, now) {
			a.decide(t, arrival, now)
		}
	}
}

// decide admits a request or refuses it. What is refused here has not run.
func (a *AdmitRequests) decide(t *Tables, arrival ArrivalRow, now time.Time) {
	flight, refusal := a.admit(t, &arrival.Inbound, now)
	if refusal == nil {
		t.RetryBudgets.GetOrCreate(flight.Service).count(now, t.Limits.RetryWindow)
		t.Requests.Put(flight)
		if refusal = a.send(t, flight, arrival.CorrelationID, now); refusal == nil {
			return
		}
		t.Requests.Remove(flight.ID)
	}
	a.refuse(t, arrival.Inbound.ID, arrival.CorrelationID, refusal, now)
}

// admit finds a request's route and workspace.
func (a *AdmitRequests) admit(t *Tables, inbound *lentilmux.InboundRequest, now time.Time) (flight *RequestRow, refusal *lentilmux.Refusal) {
	if !t.Rules.Loaded {
		return nil, t.notRun(lentilmux.ReasonNotReady, "no configuration yet")
	}
	route := t.Rules.Route(inbound.Host, inbound.Path)
	stale := t.ConfigStale(now)
	if route == nil {
		if stale {
			return nil, t.notRun(lentilmux.ReasonNotReady, "configuration too old to know the route")
		}
		return nil, t.notRun(lentilmux.ReasonUnknownRoute, "no route")
	}
	flight = &RequestRow{InboundRequest: *inbound, Route: route, Priority: route.Priority, Service: target(route, lentilmux.ComputeFingerprint(string(inbound.ID)))}
	workspace := t.Rules.Workspace(inbound.Key)
	switch {
	case workspace != nil:
		flight.Workspace = workspace.Name
		if workspace.HasPriority {
			flight.Priority = workspace.Priority
		}
	case !route.Anonymous && len(t.Rules.Workspaces) > 0 && !stale:
		return nil, t.notRun(lentilmux.ReasonUnknownKey, "unknown key")
	}
	if !route.Anonymous && len(t.Rules.Workspaces) > 0 && stale {
		return nil, t.notRun(lentilmux.ReasonNotReady, "configuration too old to honour keys")
	}
	if poison := t.CrashSuspects.Find(inbound.Fingerprint); poison != nil && poison.Crashes >= t.Limits.MaxCrashes {
		return nil, t.notRun(lentilmux.ReasonQuarantined, fmt.Sprintf("crashed upstreams %d times", poison.Crashes))
	}
	flight.Deadline = minTime(flight.Deadline, flight.ReceivedAt.Add(route.Timeout))
	return flight, nil
}

// notRun is the refusal of a request that was sent to no upstream.
func (t *Tables) notRun(reason lentilmux.Reason, detail string) *lentilmux.Refusal {
	return &lentilmux.Refusal{Outcome: lentilmux.OutcomeNotRun, Reason: reason, Detail: detail, RetryAfter: t.Limits.RefusalRetryAfter}
}

// send gives a request its next leg, or returns why there is none.
func (a *AdmitRequests) send(t *Tables, flight *RequestRow, ticket lentilmux.CorrelationID, now time.Time) (refusal *lentilmux.Refusal) {
	if !now.Before(flight.Deadline) {
		return a.end(flight, t.notRun(lentilmux.ReasonDeadline, "no time left"))
	}
	leg := lentilmux.Attempt{
		Request: flight.ID, Epoch: flight.Epoch + 1, Kind: flight.Route.Kind, Workspace: flight.Workspace, Deadline: flight.Deadline,
	}
	service := t.Rules.Service(flight.Service)
	ok := false
	if service != nil && service.Engine != nil && service.Engine.Layers > 0 {
		ok = a.chain(t, flight, service.Engine, &leg, now)
	} else {
		ok = a.plain(t, flight, &leg, now)
	}
	if !ok {
		return a.end(flight, t.notRun(lentilmux.ReasonNoUpstream, fmt.Sprintf("nothing of %s has room, of %d upstreams", flight.Service, len(a.rows))))
	}
	flight.Moving, flight.MoveRefused = false, false
	flight.Epoch, flight.AnswerStarted, flight.SentAt, flight.LastUpstream = leg.Epoch, false, now, leg.Upstream
	flight.Attempts++
	t.hold(flight)
	t.Answer(ticket, lentilmux.AttemptAnswer{Attempt: leg})
	return nil
}

// end makes a refusal say what is known of a request that had legs before.
func (a *AdmitRequests) end(flight *RequestRow, refusal *lentilmux.Refusal) *lentilmux.Refusal {
	if flight.MayHaveRun {
		refusal.Outcome = lentilmux.OutcomeUnknown
	}
	return refusal
}

// refuse answers a request that gets no leg.
func (a *AdmitRequests) refuse(t *Tables, id lentilmux.RequestID, ticket lentilmux.CorrelationID, refusal *lentilmux.Refusal, now time.Time) {
	t.Answer(ticket, lentilmux.RefusalAnswer{Refusal: *refusal})
	t.RecordDecision(lentilmux.Decision{
		What: "request_refused", Subject: string(id), Chosen: refusal.Outcome.String(),
		Reason: fmt.Sprintf("%s: %s; rules=%d age=%dms", refusal.Reason, refusal.Detail, t.Rules.Version, now.Sub(t.Streams.Rules.AsOf).Milliseconds()),
	})
}
