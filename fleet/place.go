package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"lentilmux.example/lentilmux"
)

// PlaceLayers assigns layer ranges to upstreams without layers. At the first
// start of a service it waits until no more upstreams appear, so that one plan
// covers all of them; later an upstream without layers is assigned a range
// immediately. If an availability zone loses the last holder of a layer, another
// upstream of the zone is ordered to hold it. Only the leader places layers. It
// reads VMs, Streams, Rules and Events.Plans and writes Upstreams.
type PlaceLayers struct {
	services []placementState
}

// placementState is the state of the placement of one service.
type placementState struct {
	service    string
	plannedAt  time.Time             // when the plan in progress was requested; zero if there is none
	gapSince   time.Time             // since when some zone lacks layers; zero if none does
	unfillable lentilmux.Fingerprint // upstreams and layers for which the last plan left a gap; 0 for none
	requested  lentilmux.Fingerprint // upstreams and layers of the plan in progress
}

// Run implements [System].
func (p *PlaceLayers) Run(t *Tables, now time.Time) {
	isLeader := t.IsLeader(now)
	for _, plan := range t.Events.Plans {
		state := p.state(plan.Service)
		state.plannedAt = time.Time{}
		if isLeader {
			p.applyPlan(t, state, plan, now)
		}
	}
	if !isLeader || now.Sub(t.Self.Started) < t.Limits.PlacementQuietPeriod {
		return
	}
	for i := range t.Rules.Services {
		if service := &t.Rules.Services[i]; service.Engine != nil && service.Engine.Layers > 0 {
			p.placeService(t, service, now)
		}
	}
}

// state returns the placement state of a service. It is valid until the next
// call.
func (p *PlaceLayers) state(service string) *placementState {
	for i := range p.services {
		if p.services[i].service == service {
			return &p.services[i]
		}
	}
	p.services = append(p.services, placementState{service: service})
	return &p.services[len(p.services)-1]
}

// placeService requests a plan if upstreams of a service have no layers, or if
// a zone lacks some.
func (p *PlaceLayers) placeService(t *Tables, service *lentilmux.ServiceRule, now time.Time) {
	state := p.state(service.Name)
	if !state.plannedAt.IsZero() && now.Sub(state.plannedAt) < t.Limits.PlanTimeout {
		return
	}
	rows := p.eligibleUpstreams(t, service.Name, now)
	unplaced, readyAt := p.countUnplaced(t, rows, now)
	if unplaced > 0 && now.Before(readyAt) {
		t.WakeAt(readyAt)
		return
	}
	holdings := fingerprintHoldings(rows)
	gap := p.hasLastingGap(t, state, service, rows, now) && state.unfillable != holdings
	if unplaced == 0 && !gap {
		return
	}
	state.plannedAt, state.requested = now, holdings
	t.AddEffect(lentilmux.PlanRangesEffect{Service: service.Name, Model: service.Engine, Zones: t.Zones.Count(), Nodes: p.rangeNodes(t, rows, gap, now)})
}

// countUnplaced returns the number of upstreams that wait for layers, and the time
// at which they may be placed.
func (p *PlaceLayers) countUnplaced(t *Tables, rows []*UpstreamRow, now time.Time) (unplaced int, readyAt time.Time) {
	anyPlaced := false
	newestSeen, oldestSeen := time.Time{}, now
	for _, row := range rows {
		if !t.isUnplaced(row, now) {
			anyPlaced = true
			continue
		}
		unplaced++
		if row.FirstSeenAt.After(newestSeen) {
			newestSeen = row.FirstSeenAt
		}
		if row.FirstSeenAt.Before(oldestSeen) {
			oldestSeen = row.FirstSeenAt
		}
	}
	if anyPlaced {
		return unplaced, now
	}
	return unplaced, earliest(newestSeen.Add(t.Limits.PlacementQuietPeriod), oldestSeen.Add(t.Limits.MaxPlacementDelay))
}

// isUnplaced reports whether an upstream has no layers, no target and may be
// ordered to load some.
func (t *Tables) isUnplaced(row *UpstreamRow, now time.Time) bool {
	return !row.HasLayers && !row.HasTarget && !row.StateUnknown && now.Sub(row.OrderRefusedAt) >= t.Limits.OrderTimeout
}

// eligibleUpstreams returns the upstreams of a service that may hold layers,
// sorted by ID.
func (p *PlaceLayers) eligibleUpstreams(t *Tables, service string, now time.Time) (rows []*UpstreamRow) {
	for _, row := range t.Upstreams.Rows {
		if row.Service != service || row.isDraining() || !row.ExpiresAt.IsZero() || row.isLostToAll(now) || !row.HasLayers && !row.SuspectUntil.IsZero() {
			continue
		}
		if model, _ := t.ModelAndAccelerator(row); model != nil {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b *UpstreamRow) int { return cmp.Compare(a.ID, b.ID) })
	return rows
}

// isLostToAll reports whether an upstream is gone as far as this VM and its peers know.
// One that some peer reaches is lost to this VM only, and its layers still serve.
func (u *UpstreamRow) isLostToAll(now time.Time) bool { return u.isGone(now) && !u.ReachedByPeer }

// hasLastingGap reports whether some availability zone with layers has lacked
// others for GapDelay. A shorter gap may be an upstream that was found dead by
// mistake. After an outage of the store the delay begins at the end of
// GapRecoveryGrace, since entries may be missing until then.
func (p *PlaceLayers) hasLastingGap(t *Tables, state *placementState, service *lentilmux.ServiceRule, rows []*UpstreamRow, now time.Time) bool {
	if t.storeRecovering(now, t.Limits.GapRecoveryGrace) || !hasGap(t, service.Engine.Layers, rows) {
		state.gapSince = time.Time{}
		return false
	}
	if state.gapSince.IsZero() {
		state.gapSince = now
	}
	due := state.gapSince.Add(t.Limits.GapDelay)
	if now.Before(due) {
		t.WakeAt(due)
		return false
	}
	return true
}

// hasGap reports whether some zone that holds layers lacks others, counting the
// layers that upstreams are ordered to hold.
func hasGap(t *Tables, layers int, rows []*UpstreamRow) bool {
	held := make([][]bool, t.Zones.Count())
	for _, row := range rows {
		if !row.HasLayers && !row.HasTarget {
			continue
		}
		zone := t.Zones.Index(row.Zone)
		if held[zone] == nil {
			held[zone] = make([]bool, layers)
		}
		planned := row.plannedLayers()
		for layer := max(planned.First, 0); layer <= min(planned.Last, layers-1); layer++ {
			held[zone][layer] = true
		}
	}
	return slices.ContainsFunc(held, func(zone []bool) bool { return slices.Contains(zone, false) })
}

// plannedLayers returns the layers that an upstream holds once its order is
// carried out.
func (u *UpstreamRow) plannedLayers() lentilmux.LayerRange {
	if u.HasTarget {
		return u.Target
	}
	return u.Layers
}

// isLoading reports whether an upstream does not hold its target layers yet.
func (u *UpstreamRow) isLoading() bool {
	return u.HasTarget && (!u.HasLayers || u.Layers != u.Target)
}

// fingerprintHoldings returns a fingerprint of which upstream holds which layers.
func fingerprintHoldings(rows []*UpstreamRow) lentilmux.Fingerprint {
	parts := make([]string, 0, 2*len(rows))
	for _, row := range rows {
		parts = append(parts, row.ID, formatLayers(row.plannedLayers(), row.HasLayers || row.HasTarget))
	}
	return lentilmux.ComputeFingerprint(parts...)
}

// rangeNodes returns the upstreams as input to the placement. If there is a gap to
// fill, those that hold layers and carry out no order may be moved.
func (p *PlaceLayers) rangeNodes(t *Tables, rows []*UpstreamRow, gap bool, now time.Time) (nodes []lentilmux.RangeNode) {
	nodes = make([]lentilmux.RangeNode, len(rows))
	for i, row := range rows {
		_, accelerator := t.ModelAndAccelerator(row)
		nodes[i] = lentilmux.RangeNode{
			Upstream: row.ID, Zone: t.Zones.Index(row.Zone), Accelerator: accelerator, Slots: row.Slots,
			Layers: row.plannedLayers(), Pinned: row.HasLayers || row.HasTarget,
			Movable: gap && row.HasLayers && !row.isLoading() && !row.StateUnknown && row.SuspectUntil.IsZero() && now.Sub(row.OrderRefusedAt) >= t.Limits.OrderTimeout,
		}
	}
	return nodes
}

// applyPlan sets the target ranges of a plan. It skips upstreams whose state has
// changed since the plan was requested.
func (p *PlaceLayers) applyPlan(t *Tables, state *placementState, plan lentilmux.RangesPlannedMsg, now time.Time) {
	anyMoved := false
	for i, node := range plan.Nodes {
		row := t.Upstreams.Find(node.Upstream)
		layers := plan.Ranges[i]
		if row == nil || row.isLoading() || row.Dead || row.isDraining() || layers.Len() <= 0 || node.Pinned && layers == node.Layers {
			continue
		}
		reason := "no layers loaded"
		if node.Pinned {
			if !row.HasLayers || row.Layers != node.Layers {
				continue
			}
			reason, anyMoved = "its zone lacks layers, held "+formatLayers(row.Layers, true), true
			row.StateUnknown = row.ReportedAt.IsZero() // the order has to name the number of orders accepted
		} else if !t.isUnplaced(row, now) {
			continue
		}
		row.Target, row.HasTarget, row.OrderedAt = layers, true, time.Time{}
		t.RecordDecision(lentilmux.Decision{
			What: "layers_placed", Subject: row.ID, Chosen: fmt.Sprintf("%d-%d", layers.First, layers.Last),
			Reason: fmt.Sprintf("%s, accelerator %s zone %s", reason, row.Accelerator, row.Zone),
		})
	}
	if !state.gapSince.IsZero() && !anyMoved {
		state.unfillable = state.requested
	}
}

// earliest returns the earlier of two times.
func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
