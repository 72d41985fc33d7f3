package fleet

import (
	"fmt"
	"slices"
	"time"

	"lentilmux.example/lentilmux"
)

// AdmitRequests admits or refuses requests and selects the upstreams of each
// attempt, including retries. It reads Rules, Streams, Upstreams and StreamDurations and
// writes Requests, Pending, ResumeWaits, Upstreams, RetryBudgets, PriorityShares, Shortages,
// RefusedRequests, CrashSuspects and CrossZoneBucket.
type AdmitRequests struct {
	PathSelector lentilmux.PathSelector
	Dispatch     lentilmux.Dispatch
	Shortage     lentilmux.ShortagePolicy

	nodes      []lentilmux.PathNode // candidates for a hop of a path
	rows       []*UpstreamRow       // rows of nodes or candidates
	hops       []lentilmux.PathHop  // buffer for the selected path
	candidates []lentilmux.Candidate
	memoryUse  float64 // of the fullest upstream of the path chosen last
	atLimit    int     // upstreams considered last at which this VM may not start a request because of their limit
}

// Run implements [System].
func (a *AdmitRequests) Run(t *Tables, now time.Time) {
	for _, failed := range t.Events.FailedAttempts {
		a.handleFailedAttempt(t, failed, now)
	}
	for _, stalled := range t.Events.StalledAttempts {
		a.handleStalledAttempt(t, stalled, now)
	}
	a.resumeStreams(t, now)
	rows := a.takeReadyPending(t, now)
	for _, arrival := range t.Events.Arrivals {
		if !t.endedThisTick(arrival.Inbound.ID) && !a.holdPending(t, arrival, now) {
			rows = append(rows, PendingRow{ArrivalRow: arrival})
		}
	}
	for _, row := range a.orderPending(t, rows, now) {
		a.admitOrRefuse(t, row, now)
	}
}

// admitOrRefuse sends the first attempt of a request, lets it wait for room or
// refuses it. A request that is refused here has not run.
func (a *AdmitRequests) admitOrRefuse(t *Tables, row PendingRow, now time.Time) {
	if !row.Admitted && t.Self.Draining && now.Sub(t.Self.DrainAt) >= t.Limits.MinDrainDuration {
		// The time that is left may not suffice, and the caller can go elsewhere.
		a.refuse(t, row.Inbound.ID, row.CorrelationID, t.notRunRefusal(lentilmux.ReasonDraining, "it came late in the drain"), now)
		return
	}
	request, refusal := a.admit(t, &row.Inbound, now)
	if refusal == nil {
		if !row.Admitted && !t.forwards(request) { // a peer counts what is forwarded to it
			t.RetryBudgets.GetOrCreate(request.Service).countRequest(now, t.Limits.RetryWindow)
		}
		t.recognizeReturn(request, &row, now)
		request.WaitedForPeer = row.ForPeer && !now.Before(row.Until)
		if refusal = a.sendOrDefer(t, request, &row, now); refusal == nil {
			t.countDecided(request, true, now)
			return
		}
		if refusal.Reason == lentilmux.ReasonNoUpstream && a.holdForRoom(t, row, request, now) || refusal.Reason == lentilmux.ReasonNotReady && a.holdForPeer(t, row, request, now) {
			return
		}
		if refusal.Reason == lentilmux.ReasonNoUpstream {
			t.countDecided(request, false, now)
			t.noteRefused(request, refusal, now)
		}
	}
	a.refuse(t, row.Inbound.ID, row.CorrelationID, refusal, now)
}

// admit finds a request's route and workspace. It refuses requests without a
// route or a valid key, and quarantined ones.
func (a *AdmitRequests) admit(t *Tables, inbound *lentilmux.InboundRequest, now time.Time) (request *RequestRow, refusal *lentilmux.Refusal) {
	if !t.Rules.Loaded {
		return nil, t.notRunRefusal(lentilmux.ReasonNotReady, "no configuration yet")
	}
	route := t.Rules.Route(inbound.Host, inbound.Path)
	stale := t.ConfigStale(now)
	if route == nil {
		if stale || inbound.Forwarded.IsForwarded() { // the peer that forwards it knows the route
			return nil, t.notRunRefusal(lentilmux.ReasonNotReady, "configuration too old to know the route")
		}
		return nil, t.notRunRefusal(lentilmux.ReasonUnknownRoute, "no route")
	}
	request = &RequestRow{InboundRequest: *inbound, Parts: suspectableParts(inbound), Route: route, Priority: t.Rules.priority(route, inbound), Service: selectService(route, lentilmux.ComputeFingerprint(string(inbound.ID)))}
	if inbound.Forwarded.IsForwarded() {
		return request, t.admitForwarded(request, now)
	}
	workspace := t.Rules.Workspace(inbound.Key)
	switch {
	case workspace != nil:
		request.Workspace = workspace.Name
	case !route.Anonymous && len(t.Rules.Workspaces) > 0 && !stale:
		return nil, t.notRunRefusal(lentilmux.ReasonUnknownKey, "unknown key")
	}
	if len(t.Rules.Workspaces) > 0 && stale && (!route.Anonymous || inbound.Key != "") { // a key may have changed hands
		return nil, t.notRunRefusal(lentilmux.ReasonNotReady, "configuration too old to honour keys")
	}
	if refusal = t.checkCrashes(request, now); refusal != nil {
		return nil, refusal
	}
	request.Deadline = earliest(request.Deadline, request.ReceivedAt.Add(route.Timeout))
	return request, nil
}

// admitForwarded completes the row of a request that a peer forwarded, which has
// checked the caller's key. This VM refuses it if it cannot serve its own callers.
func (t *Tables) admitForwarded(request *RequestRow, now time.Time) (refusal *lentilmux.Refusal) {
	forwarded := &request.Forwarded
	switch {
	case t.Self.Draining:
		return t.notRunRefusal(lentilmux.ReasonDraining, "this VM drains")
	case t.Reach.State == ReachLost:
		return t.notRunRefusal(lentilmux.ReasonNotReady, "this VM reaches no upstream either")
	case t.ConfigStale(now), t.Rules.Version < forwarded.MinRules:
		return t.notRunRefusal(lentilmux.ReasonNotReady, "configuration too old")
	}
	request.Workspace, request.PossibleRuns, request.MayHaveRun = forwarded.Workspace, forwarded.PossibleRuns, forwarded.PossibleRuns > 0
	if t.isUsedUp(request, now) { // a VM of an earlier version may forward it all the same
		return t.notRunRefusal(lentilmux.ReasonUpstreamFailed, "it may have run on as many upstreams as its route allows")
	}
	request.Deadline = earliest(request.Deadline, request.ReceivedAt.Add(request.Route.Timeout))
	return t.checkCrashes(request, now)
}

// suspectableParts returns the parts of a request that may crash upstreams: those that
// it shares with others, and itself.
func suspectableParts(inbound *lentilmux.InboundRequest) (parts []lentilmux.PromptPart) {
	own, ok := lentilmux.OwnPart(inbound.Fingerprint)
	if !ok {
		return inbound.SharedParts
	}
	return append(slices.Clip(inbound.SharedParts), own)
}

// checkCrashes refuses a request that crashed upstreams, or that has a prompt part
// which does.
func (t *Tables) checkCrashes(request *RequestRow, now time.Time) (refusal *lentilmux.Refusal) {
	if suspect := t.CrashSuspects.Find(request.Fingerprint, now, t.Limits.CrashRetention); suspect != nil && suspect.Crashes >= t.Limits.MaxCrashes {
		return t.notRunRefusal(lentilmux.ReasonQuarantined, fmt.Sprintf("crashed upstreams %d times in the middle of its answer", suspect.Crashes))
	}
	if row := t.heldPart(request.Parts, now); row != nil {
		return t.heldPartRefusal(row, now)
	}
	return nil
}

// notRunRefusal returns the refusal of a request that no upstream has run.
func (t *Tables) notRunRefusal(reason lentilmux.Reason, detail string) *lentilmux.Refusal {
	return &lentilmux.Refusal{Outcome: lentilmux.OutcomeNotRun, Reason: reason, Detail: detail, RetryAfter: t.Limits.RefusalRetryAfter}
}

// sendAttempt selects the upstreams of the next attempt and answers with it, or
// returns why there is none.
func (a *AdmitRequests) sendAttempt(t *Tables, request *RequestRow, correlationID lentilmux.CorrelationID, now time.Time) (refusal *lentilmux.Refusal) {
	if !now.Before(request.Deadline) {
		return a.adjustOutcome(request, t.notRunRefusal(lentilmux.ReasonDeadline, "no time left"))
	}
	request.Confined = t.isUsedUp(request, now)
	if t.forwards(request) && a.forwardToPeer(t, request, correlationID, now) {
		return nil
	}
	if t.Reach.State == ReachLost {
		return a.adjustOutcome(request, t.unreachableRefusal(request, now))
	}
	attempt := lentilmux.Attempt{
		Request: request.ID, Epoch: lentilmux.Epoch(request.Attempts + 1), Kind: request.Route.Kind, Workspace: request.Workspace, Deadline: request.Deadline,
		Priority: t.Rules.upstreamPriority(request.Service, request.Priority), HasPriority: t.Rules.ranksRequests(request.Service),
	}
	service := t.Rules.Service(request.Service)
	ok := false
	if service != nil && service.Engine != nil && service.Engine.Layers > 0 {
		ok = a.choosePath(t, request, service.Engine, &attempt, now)
	} else {
		ok = a.chooseUpstream(t, request, &attempt, now)
	}
	if !ok {
		if t.lacksLinks(request) && a.forwardToPeer(t, request, correlationID, now) {
			return nil
		}
		if request.Attempts > 0 { // one that was never sent may fit nowhere
			t.noteShortage(request.Service, request.Priority, request.ID, now)
		}
		return a.adjustOutcome(request, t.noRoomRefusal(request, a.describeNoRoom(request), now))
	}
	if row := t.Upstreams.Find(attempt.Upstream); row != nil {
		attempt.Limited, attempt.StartedAt = row.RequestLimit.Named, row.StartedAt
	}
	request.Move, request.HopsBefore, request.HeldBefore, request.LostHops = MoveIdle, nil, nil, nil
	request.Epoch, request.AnswerStarted, request.RunCounted = attempt.Epoch, false, false
	request.SentAt, request.LastUpstream, request.UpstreamStartedAt = now, attempt.Upstream, attempt.StartedAt
	request.Peer, request.PeerUpstreams = "", 0
	request.Attempts++
	t.reserve(request)
	t.startTrial(request, now)
	t.takeLimitToken(request.LastUpstream, now)
	t.Answer(correlationID, lentilmux.AttemptAnswer{Attempt: attempt})
	return nil
}

// describeNoRoom returns why no upstream was chosen for a request.
func (a *AdmitRequests) describeNoRoom(request *RequestRow) string {
	text := fmt.Sprintf("nothing of %s has room, of %d upstreams", request.Service, len(a.rows))
	if request.Confined {
		text += ", and it may run only where it may have run before"
	}
	if a.atLimit > 0 {
		text += fmt.Sprintf(", %d at the limit that they named", a.atLimit)
	}
	return text
}

// adjustOutcome sets the outcome of a refusal to unknown if an earlier attempt may
// have run the request.
func (a *AdmitRequests) adjustOutcome(request *RequestRow, refusal *lentilmux.Refusal) *lentilmux.Refusal {
	if request.MayHaveRun {
		refusal.Outcome = lentilmux.OutcomeUnknown
	}
	return refusal
}

// refuse answers a request with a refusal and logs it.
func (a *AdmitRequests) refuse(t *Tables, id lentilmux.RequestID, correlationID lentilmux.CorrelationID, refusal *lentilmux.Refusal, now time.Time) {
	t.Answer(correlationID, lentilmux.RefusalAnswer{Refusal: *refusal})
	retryAfter := "" // unless it is the usual one
	if refusal.RetryAfter != t.Limits.RefusalRetryAfter {
		retryAfter = fmt.Sprintf(" retry_after=%dms", refusal.RetryAfter.Milliseconds())
	}
	t.RecordDecision(lentilmux.Decision{
		What: "request_refused", Subject: string(id), Chosen: refusal.Outcome.String(),
		// rules is the version of the configuration, age the time since it was last
		// read.
		Reason: fmt.Sprintf("%s: %s; rules=%d age=%dms", refusal.Reason, refusal.Detail, t.Rules.Version, now.Sub(t.Streams.Rules.AsOf).Milliseconds()) + retryAfter,
	})
}
