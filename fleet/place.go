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
// immediately. Only the leader places layers. It reads VMs, Streams and Rules
// and writes Upstreams.
type PlaceLayers struct {
	Placement lentilmux.RangePlacement
}

// Run implements [System].
func (p *PlaceLayers) Run(t *Tables, now time.Time) {
	if !t.IsLeader(now) || now.Sub(t.Self.Started) < t.Limits.PlacementQuietPeriod {
		return
	}
	for i := range t.Rules.Services {
		if service := &t.Rules.Services[i]; service.Engine != nil && service.Engine.Layers > 0 {
			p.placeService(t, service, now)
		}
	}
}

// placeService assigns layers to the upstreams of one service that have none.
func (p *PlaceLayers) placeService(t *Tables, service *lentilmux.ServiceRule, now time.Time) {
	rows := p.eligibleUpstreams(t, service.Name)
	unplaced, anyPlaced := 0, false
	newestSeen, oldestSeen := time.Time{}, now
	for _, row := range rows {
		if row.HasLayers || row.HasTarget || row.StateUnknown || now.Sub(row.OrderRefusedAt) < t.Limits.OrderTimeout {
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
	if unplaced == 0 {
		return
	}
	if readyAt := earliest(newestSeen.Add(t.Limits.PlacementQuietPeriod), oldestSeen.Add(t.Limits.MaxPlacementDelay)); !anyPlaced && now.Before(readyAt) {
		t.WakeAt(readyAt)
		return
	}
	p.setTargets(t, service.Engine, rows, now)
}

// eligibleUpstreams returns the upstreams of a service that may hold layers,
// sorted by ID.
func (p *PlaceLayers) eligibleUpstreams(t *Tables, service string) (rows []*UpstreamRow) {
	for _, row := range t.Upstreams.Rows {
		if row.Service != service || row.Draining || !row.ExpiresAt.IsZero() || !row.SuspectUntil.IsZero() {
			continue
		}
		if model, _ := t.ModelAndAccelerator(row); model != nil {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b *UpstreamRow) int { return cmp.Compare(a.ID, b.ID) })
	return rows
}

// setTargets sets the target ranges of the upstreams without layers.
func (p *PlaceLayers) setTargets(t *Tables, model *lentilmux.ModelProfile, rows []*UpstreamRow, now time.Time) {
	nodes := make([]lentilmux.RangeNode, len(rows))
	for i, row := range rows {
		_, accelerator := t.ModelAndAccelerator(row)
		nodes[i] = lentilmux.RangeNode{Upstream: row.ID, Zone: t.Zones.Index(row.Zone), Accelerator: accelerator, Slots: row.Slots, Layers: row.Layers, Pinned: row.HasLayers}
		if row.HasTarget {
			nodes[i].Layers, nodes[i].Pinned = row.Target, true
		}
	}
	for i, layers := range p.Placement.Place(model, t.Zones.Count(), nodes) {
		row := rows[i]
		if nodes[i].Pinned || row.StateUnknown || now.Sub(row.OrderRefusedAt) < t.Limits.OrderTimeout || layers.Len() <= 0 {
			continue
		}
		row.Target, row.HasTarget, row.OrderedAt = layers, true, time.Time{}
		t.RecordDecision(lentilmux.Decision{
			What: "layers_placed", Subject: row.ID, Chosen: fmt.Sprintf("%d-%d", layers.First, layers.Last),
			Reason: fmt.Sprintf("no layers loaded, accelerator %s zone %s", row.Accelerator, row.Zone),
		})
	}
}

// earliest returns the earlier of two times.
func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
