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
	hops       []lentilmux.PathHop
	candidates []lentilmux.Candidate
}

// Run implements [System].
func (a *AdmitRequests) Run(t *Tables, now time.Time) {
	for _, failed := range t.Events.FailedAttempts {
		a.handleFailedAttempt(t, failed, now)
	}
	for _, stalled := range t.Events.StalledAttempts {
		a.handleStalledAttempt(t, stalled, now)
	}
	a.resumePending(t, now)
	for _, arrival := range t.Events.Arrivals {
		if !t.endedThisTick(arrival.Inbound.ID) && !a.holdPending(t, arrival, now) {
			a.admitOrRefuse(t, arrival, now)
		}
	}
}

// admitOrRefuse admits a request or refuses it. What is refused here has not run.
func (a *AdmitRequests) admitOrRefuse(t *Tables, arrival ArrivalRow, now time.Time) {
	request, refusal := a.admit(t, &arrival.Inbound, now)
	if refusal == nil {
		t.RetryBudgets.GetOrCreate(request.Service).countRequest(now, t.Limits.RetryWindow)
		t.Requests.Put(request)
		if refusal = a.sendAttempt(t, request, arrival.CorrelationID, now); refusal == nil {
			return
		}
		t.Requests.Remove(request.ID)
	}
	a.refuse(t, arrival.Inbound.ID, arrival.CorrelationID, refusal, now)
}

// admit finds a request's route and workspace.
func (a *AdmitRequests) admit(t *Tables, inbound *lentilmux.InboundRequest, now time.Time) (request *RequestRow, refusal *lentilmux.Refusal) {
	if !t.Rules.Loaded {
		return nil, t.notRunRefusal(lentilmux.ReasonNotReady, "no configuration yet")
	}
	route := t.Rules.Route(inbound.Host, inbound.Path)
	stale := t.ConfigStale(now)
	if route == nil {
		if stale {
			return nil, t.notRunRefusal(lentilmux.ReasonNotReady, "configuration too old to know the route")
		}
		return nil, t.notRunRefusal(lentilmux.ReasonUnknownRoute, "no route")
	}
	request = &RequestRow{InboundRequest: *inbound, Route: route, Priority: route.Priority, Service: selectService(route, lentilmux.ComputeFingerprint(string(inbound.ID)))}
	workspace := t.Rules.Workspace(inbound.Key)
	switch {
	case workspace != nil:
		request.Workspace = workspace.Name
		if workspace.HasPriority {
			request.Priority = workspace.Priority
		}
	case !route.Anonymous && len(t.Rules.Workspaces) > 0 && !stale:
		return nil, t.notRunRefusal(lentilmux.ReasonUnknownKey, "unknown key")
	}
	if !route.Anonymous && len(t.Rules.Workspaces) > 0 && stale {
		return nil, t.notRunRefusal(lentilmux.ReasonNotReady, "configuration too old to honour keys")
	}
	if suspect := t.CrashSuspects.Find(inbound.Fingerprint); suspect != nil && suspect.Crashes >= t.Limits.MaxCrashes {
		return nil, t.notRunRefusal(lentilmux.ReasonQuarantined, fmt.Sprintf("crashed upstreams %d times", suspect.Crashes))
	}
	request.Deadline = earliest(request.Deadline, request.ReceivedAt.Add(route.Timeout))
	return request, nil
}

// notRunRefusal is the refusal of a request that was sent to no upstream.
func (t *Tables) notRunRefusal(reason lentilmux.Reason, detail string) *lentilmux.Refusal {
	return &lentilmux.Refusal{Outcome: lentilmux.OutcomeNotRun, Reason: reason, Detail: detail, RetryAfter: t.Limits.RefusalRetryAfter}
}

// sendAttempt gives a request its next leg, or returns why there is none.
func (a *AdmitRequests) sendAttempt(t *Tables, request *RequestRow, correlationID lentilmux.CorrelationID, now time.Time) (refusal *lentilmux.Refusal) {
	if !now.Before(request.Deadline) {
		return a.withOutcome(request, t.notRunRefusal(lentilmux.ReasonDeadline, "no time left"))
	}
	attempt := lentilmux.Attempt{
		Request: request.ID, Epoch: request.Epoch + 1, Kind: request.Route.Kind, Workspace: request.Workspace, Deadline: request.Deadline,
	}
	service := t.Rules.Service(request.Service)
	ok := false
	if service != nil && service.Engine != nil && service.Engine.Layers > 0 {
		ok = a.choosePath(t, request, service.Engine, &attempt, now)
	} else {
		ok = a.chooseUpstream(t, request, &attempt, now)
	}
	if !ok {
		return a.withOutcome(request, t.notRunRefusal(lentilmux.ReasonNoUpstream, fmt.Sprintf("nothing of %s has room, of %d upstreams", request.Service, len(a.rows))))
	}
	request.Moving, request.MoveRefused = false, false
	request.Epoch, request.AnswerStarted, request.SentAt, request.LastUpstream = attempt.Epoch, false, now, attempt.Upstream
	request.Attempts++
	t.reserve(request)
	t.Answer(correlationID, lentilmux.AttemptAnswer{Attempt: attempt})
	return nil
}

// withOutcome makes a refusal say what is known of a request that had legs before.
func (a *AdmitRequests) withOutcome(request *RequestRow, refusal *lentilmux.Refusal) *lentilmux.Refusal {
	if request.MayHaveRun {
		refusal.Outcome = lentilmux.OutcomeUnknown
	}
	return refusal
}

// refuse answers a request that gets no leg.
func (a *AdmitRequests) refuse(t *Tables, id lentilmux.RequestID, correlationID lentilmux.CorrelationID, refusal *lentilmux.Refusal, now time.Time) {
	t.Answer(correlationID, lentilmux.RefusalAnswer{Refusal: *refusal})
	t.RecordDecision(lentilmux.Decision{
		What: "request_refused", Subject: string(id), Chosen: refusal.Outcome.String(),
		Reason: fmt.Sprintf("%s: %s; rules=%d age=%dms", refusal.Reason, refusal.Detail, t.Rules.Version, now.Sub(t.Streams.Rules.AsOf).Milliseconds()),
	})
}
