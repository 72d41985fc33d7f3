package system

import (
	"slices"
	"strconv"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

// maxConsidered is the maximum number of candidates per stage in a decision.
const maxConsidered = 6

// AssignRoutes assigns routes to queued requests while upstreams have capacity.
// The admission policy picks the workspace to serve next, the dispatch policy
// one upstream for each stage. It reads Stages, Services and Workspaces and
// writes Requests and the in-flight counts of Upstreams.
type AssignRoutes struct {
	Dispatch  lentilmux.Dispatch
	Admission lentilmux.Admission

	avoidTrials   bool // whether to skip upstreams that run a trial
	candidates    []lentilmux.Candidate
	candidateRows []int                 // rows of Upstreams, parallel to candidates
	considered    []lentilmux.Candidate // candidates named in the decision
	route         []lentilmux.StageRoute
	loads         []lentilmux.WorkspaceLoad
	oldestQueued  []lentilmux.RequestID // parallel to loads
}

// Run implements [System].
func (s *AssignRoutes) Run(t *table.Tables, now time.Time) {
	s.compactQueue(t)
	if len(t.Queue.IDs) == 0 {
		return
	}
	var fullTargets []string // pipelines and services without capacity
	for {
		s.collectLoads(t, now, fullTargets)
		if len(s.loads) == 0 {
			return
		}
		r := t.Requests.Find(string(s.oldestQueued[s.Admission.Next(s.loads)]))
		if !canFinishInTime(t, now, r, 0) {
			refuse(t, now, r, notRunRefusal(lentilmux.ReasonDeadline, time.Second, "would not finish in time after waiting %s", now.Sub(r.ArrivedAt).Round(time.Millisecond)))
			continue
		}
		if s.chooseRoute(t, now, r) {
			s.startAttempt(t, now, r)
			continue
		}
		fullTargets = append(fullTargets, r.Target)
	}
}

// compactQueue removes requests from the queue that no longer wait for a route.
func (s *AssignRoutes) compactQueue(t *table.Tables) {
	t.Queue.IDs = slices.DeleteFunc(t.Queue.IDs, func(id lentilmux.RequestID) bool {
		r := t.Requests.Find(string(id))
		return r == nil || r.State != table.RequestQueued
	})
}

// collectLoads sets s.loads to the workspaces that have a queued request for a
// target with capacity, and s.oldestQueued to the oldest such request of each.
// Requests in backoff are skipped.
func (s *AssignRoutes) collectLoads(t *table.Tables, now time.Time, fullTargets []string) {
	s.loads, s.oldestQueued = s.loads[:0], s.oldestQueued[:0]
	for _, id := range t.Queue.IDs {
		r := t.Requests.Find(string(id))
		if r == nil || r.State != table.RequestQueued || slices.Contains(fullTargets, r.Target) {
			continue
		}
		if now.Before(r.NotBefore) {
			t.WakeAt(r.NotBefore)
			continue
		}
		name := r.Request.Workspace
		listed := slices.ContainsFunc(s.loads, func(l lentilmux.WorkspaceLoad) bool { return l.Workspace == name })
		if listed {
			continue
		}
		load := lentilmux.WorkspaceLoad{Workspace: name, Share: 1}
		if w := t.Workspaces.Find(name); w != nil {
			load.Share, load.Priority = w.Spec.Share, w.Spec.Priority
			load.Running, load.Queued = w.Running+w.PeerRunning, w.Queued
		}
		s.loads = append(s.loads, load)
		s.oldestQueued = append(s.oldestQueued, id)
	}
}

// chooseRoute sets s.route to a route for r and reports whether there is one.
// Upstreams at which the request failed before are used only if there are no
// others. If r is a trial, the same holds for upstreams that run another trial.
func (s *AssignRoutes) chooseRoute(t *table.Tables, now time.Time, r *table.Request) bool {
	s.avoidTrials = isTrial(r)
	if s.chooseStages(t, now, r, r.FailedUpstreams) {
		return true
	}
	if s.avoidTrials {
		s.avoidTrials = false
		if s.chooseStages(t, now, r, r.FailedUpstreams) {
			return true
		}
	}
	return len(r.FailedUpstreams) > 0 && s.chooseStages(t, now, r, nil)
}

// chooseStages picks one upstream for each stage, from the first layer to the
// last, without the upstreams in avoid. It reports whether every stage has one.
func (s *AssignRoutes) chooseStages(t *table.Tables, now time.Time, r *table.Request, avoid []string) bool {
	s.route, s.considered = s.route[:0], s.considered[:0]
	if service := t.Services.Find(r.Target); service != nil {
		s.candidates, s.candidateRows = s.candidates[:0], s.candidateRows[:0]
		s.addCandidates(t, now, r, service.Replicas, avoid)
		return s.pickUpstream(t, lentilmux.LayerRange{First: 0, Last: -1})
	}
	p := t.Pipelines.Find(r.Target)
	if p == nil {
		return false
	}
	stages := t.Stages.Rows[p.FirstStage : p.FirstStage+p.StageCount]
	for layer := 0; layer < p.Spec.Layers; {
		s.candidates, s.candidateRows = s.candidates[:0], s.candidateRows[:0]
		for i := range stages {
			if stages[i].ReachesEnd && stages[i].Layers.First == layer {
				s.addCandidates(t, now, r, stages[i].Replicas, avoid)
			}
		}
		if !s.pickUpstream(t, lentilmux.LayerRange{}) {
			return false
		}
		layer = s.route[len(s.route)-1].Layers.Last + 1
	}
	return true
}

// addCandidates adds replicas that can serve r to the candidates, up to
// Limits.MaxCandidates, so that the cost of a choice does not grow with the
// fleet. The prompt's prefix determines the replica to start at: requests that
// share a prefix choose among the same engines, which may have it in their KV
// cache.
func (s *AssignRoutes) addCandidates(t *table.Tables, now time.Time, r *table.Request, replicas []int, avoid []string) {
	start := int(uint64(r.Request.Prefix) % uint64(max(1, len(replicas))))
	for i := range replicas {
		if len(s.candidates) >= t.Limits.MaxCandidates {
			return
		}
		row := replicas[(start+i)%len(replicas)]
		u := &t.Upstreams.Rows[row]
		capacity := upstreamCapacity(t, u)
		if !u.AcceptsWork(now) || float64(u.InFlight+u.PeerInFlight) >= capacity {
			continue
		}
		if slices.Contains(avoid, u.Spec.Name) || (s.avoidTrials && u.Trials > 0) {
			continue
		}
		s.candidateRows = append(s.candidateRows, row)
		s.candidates = append(s.candidates, lentilmux.Candidate{
			Upstream:        u.Spec.Name,
			SameZone:        u.Spec.Zone == t.Self.Zone,
			Cached:          slices.Contains(u.Report.CachedPrefixes, r.Request.Prefix),
			InFlight:        u.InFlight + u.PeerInFlight,
			Capacity:        capacity,
			ReportedLoad:    u.Report.Running + u.Report.Queued,
			ReportAge:       now.Sub(u.ReportedAt),
			RelativeRTT:     u.RTT.Seconds() / t.Limits.TokenGap.Seconds(),
			SlowStartWeight: slowStartWeight(t, now, u),
		})
	}
}

// upstreamCapacity returns the number of requests in flight that saturates an
// upstream. For an engine it is the engine's token rate times the target gap
// between tokens, because each response needs one token per gap. Engines of
// different speeds therefore get different numbers of requests; further
// requests would only wait at the engine.
func upstreamCapacity(t *table.Tables, u *table.Upstream) float64 {
	slots := float64(u.Spec.Slots)
	layers := u.Report.Layers.Len()
	if u.Spec.Kind != lentilmux.KindEngine || layers < 1 {
		return slots
	}
	tokensPerSecond := float64(u.Spec.LayerStepsPerSecond) / float64(layers)
	return min(slots, max(1, tokensPerSecond*t.Limits.TokenGap.Seconds()))
}

// slowStartWeight returns the share of its normal load that an upstream takes:
// 1, or less during slow start after it recovered.
func slowStartWeight(t *table.Tables, now time.Time, u *table.Upstream) float64 {
	since := now.Sub(u.ReturnedAt)
	if u.ReturnedAt.IsZero() || since >= t.Limits.SlowStartDuration {
		return 1
	}
	const minWeight = 0.1
	return max(minWeight, since.Seconds()/t.Limits.SlowStartDuration.Seconds())
}

// pickUpstream lets the dispatch policy choose a candidate for the next stage
// and reports whether there is one. The stage gets the given layer range for a
// service and the held range for an engine.
func (s *AssignRoutes) pickUpstream(t *table.Tables, layers lentilmux.LayerRange) bool {
	if len(s.candidates) == 0 {
		return false
	}
	u := &t.Upstreams.Rows[s.candidateRows[s.Dispatch.Pick(s.candidates)]]
	if u.Spec.Kind == lentilmux.KindEngine {
		layers = u.Report.Layers
	}
	s.route = append(s.route, lentilmux.StageRoute{Upstream: u.Spec.Name, Addr: u.Spec.Addr, Layers: layers})
	s.considered = append(s.considered, s.candidates[:min(len(s.candidates), maxConsidered)]...)
	return true
}

// startAttempt answers the request with the chosen route and counts it as in
// flight at the upstreams of the route.
func (s *AssignRoutes) startAttempt(t *table.Tables, now time.Time, r *table.Request) {
	setState(t, r, table.RequestRunning)
	r.StartedAt = now
	r.Attempts++
	r.Epoch++
	for _, stage := range s.route {
		r.Upstreams = append(r.Upstreams, stage.Upstream)
	}
	adjustInFlight(t, r, 1)
	route := lentilmux.Route{
		Request: r.Request.ID, Epoch: r.Epoch, Model: r.Request.Model,
		Stages: slices.Clone(s.route), StepTimeout: t.Limits.StepTimeout,
	}
	if p := t.Pipelines.Find(r.Target); p != nil {
		route.TotalLayers = p.Spec.Layers
	}
	if w := t.Workspaces.Find(r.Request.Workspace); w != nil {
		route.Priority = w.Spec.Priority
	}
	t.Answer(r.CorrelationID, lentilmux.RouteAnswer{Route: route})
	r.CorrelationID = 0
	t.RecordDecision(now, lentilmux.Decision{
		What: "route", Subject: string(r.Request.ID), Chosen: routeText(s.route),
		Reason:     "workspace " + r.Request.Workspace + " to " + r.Target,
		Considered: candidateTexts(s.considered),
	})
}

// candidateTexts formats candidates for a decision as the name, the requests in
// flight over the capacity, and the reasons to prefer the candidate.
func candidateTexts(candidates []lentilmux.Candidate) (texts []string) {
	for i := range candidates {
		c := &candidates[i]
		text := c.Upstream + " " + strconv.Itoa(c.InFlight) + "/" + strconv.FormatFloat(c.Capacity, 'f', 1, 64)
		if c.SameZone {
			text += " same_zone"
		}
		if c.Cached {
			text += " cached"
		}
		texts = append(texts, text)
	}
	return texts
}

// routeText formats a route for a decision.
func routeText(route []lentilmux.StageRoute) string {
	text := ""
	for i, stage := range route {
		if i > 0 {
			text += " "
		}
		text += stage.Upstream
		if stage.Layers.Len() > 0 {
			text += "[" + rangeText(stage.Layers) + "]"
		}
	}
	return text
}
