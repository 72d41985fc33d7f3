package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"lentilmux.example/lentilmux"
)

// Place gives empty upstreams layers. At a first start it waits until no more
// upstreams come, so that one plan covers them all; later an empty one gets
// layers at once. Only the VM that leads decides. It reads VMs, Rules and
// Knowledge and writes Members.
type Place struct {
	Ranges lentilmux.RangePlacement
}

// Run implements [System].
func (p *Place) Run(t *Tables, now time.Time) {
	if !t.Leads(now) || now.Sub(t.Self.Started) < t.Limits.GatherFor {
		return
	}
	for i := range t.Rules.Services {
		if service := &t.Rules.Services[i]; service.Engine != nil && service.Engine.Layers > 0 {
			p.service(t, service, now)
		}
	}
}

// service places the empty upstreams of one service.
func (p *Place) service(t *Tables, service *lentilmux.ServiceRule, now time.Time) {
	rows := p.rows(t, service.Name)
	empty, any := 0, false
	newest, oldest := time.Time{}, now
	for _, row := range rows {
		if row.Held || row.Targeted || row.Unclear || now.Sub(row.RefusedAt) < t.Limits.OrderTimeout {
			any = true
			continue
		}
		empty++
		if row.Seen.After(newest) {
			newest = row.Seen
		}
		if row.Seen.Before(oldest) {
			oldest = row.Seen
		}
	}
	if empty == 0 {
		return
	}
	if ready := minTime(newest.Add(t.Limits.GatherFor), oldest.Add(t.Limits.GatherMost)); !any && now.Before(ready) {
		t.WakeAt(ready)
		return
	}
	p.target(t, service.Engine, rows, now)
}

// rows returns the upstreams of a service that may hold layers, by name.
func (p *Place) rows(t *Tables, service string) (rows []*MemberRow) {
	for _, row := range t.Members.Rows {
		if row.Service != service || row.Draining || !row.GoneAt.IsZero() || !row.SuspectUntil.IsZero() {
			continue
		}
		if model, _ := t.Engine(row); model != nil {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b *MemberRow) int { return cmp.Compare(a.ID, b.ID) })
	return rows
}

// target sets the ranges of the empty upstreams.
func (p *Place) target(t *Tables, model *lentilmux.EngineModel, rows []*MemberRow, now time.Time) {
	nodes := make([]lentilmux.RangeNode, len(rows))
	for i, row := range rows {
		_, card := t.Engine(row)
		nodes[i] = lentilmux.RangeNode{Upstream: row.ID, Zone: t.Zones.Index(row.Zone), Card: card, Slots: row.Slots, Holds: row.Holds, Held: row.Held}
		if row.Targeted {
			nodes[i].Holds, nodes[i].Held = row.Target, true
		}
	}
	for i, layers := range p.Ranges.Spread(model, t.Zones.Count(), nodes) {
		row := rows[i]
		if nodes[i].Held || row.Unclear || now.Sub(row.RefusedAt) < t.Limits.OrderTimeout || layers.Len() <= 0 {
			continue
		}
		row.Target, row.Targeted, row.OrderedAt = layers, true, time.Time{}
		t.Decide(lentilmux.Decision{
			What: "layers_placed", Subject: row.ID, Chosen: fmt.Sprintf("%d-%d", layers.First, layers.Last),
			Reason: fmt.Sprintf("empty, card %s zone %s", row.Card, row.Zone),
		})
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
