package fleet

import (
	"time"

	"lentilmux.example/lentilmux"
)

// ExplainRequests answers operators where a request would go now, with the rules of
// AdmitRequests and without sending it. It leaves all tables as they are; only the
// random numbers of the policies advance. It reads the tables that AdmitRequests reads.
type ExplainRequests struct {
	Admit *AdmitRequests
}

// Run implements [System].
func (e *ExplainRequests) Run(t *Tables, now time.Time) {
	for _, row := range t.Events.Explains {
		t.Answer(row.CorrelationID, e.explain(t, row.ExplainMsg, now))
	}
}

// explain returns the decision on a request.
func (e *ExplainRequests) explain(t *Tables, msg lentilmux.ExplainMsg, now time.Time) (answer lentilmux.ExplainAnswer) {
	answer = lentilmux.ExplainAnswer{VM: t.Self.Name, Rules: t.Rules.Version, RulesAge: now.Sub(t.Streams.Rules.AsOf), LoadsAge: t.loadsAge(now)}
	request, refusal := e.admit(t, &msg, now)
	if request == nil {
		answer.Refusal = refusal
		return answer
	}
	answer.Route, answer.Service, answer.Ranked = request.Route.Name, request.Service, t.Rules.ranksRequests(request.Service)
	if answer.Ranked {
		answer.Priority = request.Priority
	}
	if refusal == nil && !t.trustsLinks() {
		answer.ToPeer = true
		return answer
	}
	if refusal == nil {
		refusal = e.choose(t, request, &answer, now)
	}
	answer.Refusal = refusal
	answer.Candidates = e.candidates(t, request.Service, now)
	return answer
}

// admit checks a request of a workspace as AdmitRequests does one that a peer forwards,
// which carries no key either. It returns no request if there is no route.
func (e *ExplainRequests) admit(t *Tables, msg *lentilmux.ExplainMsg, now time.Time) (request *RequestRow, refusal *lentilmux.Refusal) {
	inbound := msg.Inbound
	inbound.Forwarded = lentilmux.ForwardedRequest{VM: t.Self.Name, Workspace: msg.Workspace}
	if !t.Rules.Loaded {
		return nil, t.notRunRefusal(lentilmux.ReasonNotReady, "no configuration yet")
	}
	route := t.Rules.Route(inbound.Host, inbound.Path)
	if route == nil {
		return nil, t.notRunRefusal(lentilmux.ReasonUnknownRoute, "no route")
	}
	if request, refusal = e.Admit.admit(t, &inbound, now); refusal != nil {
		return request, refusal
	}
	if !route.Anonymous && len(t.Rules.Workspaces) > 0 && t.Rules.workspaceNamed(msg.Workspace) == nil {
		return request, t.notRunRefusal(lentilmux.ReasonUnknownKey, "no such workspace")
	}
	return request, nil
}

// choose selects the upstreams of a request and takes back what the choice has changed.
func (e *ExplainRequests) choose(t *Tables, request *RequestRow, answer *lentilmux.ExplainAnswer, now time.Time) (refusal *lentilmux.Refusal) {
	effects, bucket, variance, nextTick := t.effects, t.CrossZoneBucket, t.Costs.StreamVariance, t.nextTick
	defer func() {
		t.effects, t.CrossZoneBucket, t.Costs.StreamVariance, t.nextTick = effects, bucket, variance, nextTick
	}()
	if short := e.Admit.deferringShortage(t, request, now); short != nil {
		request.MaxMemoryUse = deferredMemoryUse
	}
	var attempt lentilmux.Attempt
	ok, service := false, t.Rules.Service(request.Service)
	if service != nil && service.Engine != nil && service.Engine.Layers > 0 {
		ok = e.Admit.choosePath(t, request, service.Engine, &attempt, now)
		answer.AnswerTokens, answer.Learned = expectedAnswerTokens(request, service.Engine), request.Cost.Estimate.Learned
		answer.UnseenRequests = t.unseenRequests(request.Service, service.Engine, e.Admit.nodes, now)
	} else {
		ok = e.Admit.chooseUpstream(t, request, &attempt, now)
	}
	if !ok {
		return t.noRoomRefusal(request, e.Admit.describeNoRoom(request), now)
	}
	answer.Upstream, answer.Path = attempt.Upstream, attempt.Path
	answer.FirstEvent, answer.EventGap, answer.MaxMemoryUse = attempt.Promised, request.EventGap, e.Admit.memoryUse
	return nil
}

// candidates lists the upstreams of a service, with what the last choice knew of those
// that it considered.
func (e *ExplainRequests) candidates(t *Tables, service string, now time.Time) (upstreams []lentilmux.ExplainedUpstream) {
	a := e.Admit
	a.collectNodes(t, service, now)
	a.excludeFirstHops(t, "", now)
	a.addLearned(t)
	considered := make(map[string]int, len(a.rows))
	for i, row := range a.rows {
		considered[row.ID] = i
	}
	for _, row := range t.Upstreams.Rows {
		if row.Service != service {
			continue
		}
		upstream := lentilmux.ExplainedUpstream{
			Upstream: row.ID, Zone: row.Zone, HasLayers: row.HasLayers, Streams: row.OwnLoad.Streams + row.PeerLoad.Streams, Reserved: row.OwnLoad.Reserved + row.PeerLoad.Reserved,
		}
		if row.HasLayers {
			upstream.Layers = row.routableLayers()
		}
		if i, ok := considered[row.ID]; ok {
			node := &a.nodes[i]
			upstream.Reserved, upstream.Capacity, upstream.StepFactor, upstream.NotFirst = node.Reserved, node.Capacity, node.StepFactor, node.Full
		} else {
			upstream.Excluded = t.describeExclusion(row, now)
		}
		upstreams = append(upstreams, upstream)
	}
	return upstreams
}

// describeExclusion returns why an upstream gets no new requests. It is empty for one of
// a service without layers that may get some.
func (t *Tables) describeExclusion(row *UpstreamRow, now time.Time) (reason string) {
	switch {
	case row.isDraining():
		return "drains"
	case !row.ExpiresAt.IsZero() && !now.Before(row.ExpiresAt):
		return "its entry is missing"
	case row.Dead:
		return "dead"
	case !row.SuspectUntil.IsZero():
		return "suspected"
	case row.backsOff(now):
		return "backs off for " + row.BackOffUntil.Sub(now).Round(time.Millisecond).String()
	case now.Before(row.FullUntil):
		return "refused a request for want of room, for " + row.FullUntil.Sub(now).Round(time.Millisecond).String()
	case t.Rules.EngineService != row.Service:
		return ""
	case !row.HasLayers:
		return "holds no layers"
	default:
		return "gives up its layers, or its accelerator is not known"
	}
}

// loadsAge returns the time since the last digest of another VM arrived, or a negative
// time if there was none.
func (t *Tables) loadsAge(now time.Time) (age time.Duration) {
	age = -1
	for _, vm := range t.VMs.Rows {
		if since := now.Sub(vm.LastDigestAt); !vm.LastDigestAt.IsZero() && (age < 0 || since < age) {
			age = since
		}
	}
	return age
}
