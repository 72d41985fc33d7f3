package system

import (
	"sort"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/placement"
	"lentilmux.example/lentilmux/table"
)

// PlaceLayers decides which layer range each engine should hold and finds the
// stages that engines hold now. It reads Pipelines, Services and Upstreams and
// writes the orders of Upstreams, the rows of Stages, the maximum throughput of
// Pipelines and the replicas of Services. It does nothing unless the
// configuration, a held range or an ejection has changed.
//
// The desired ranges depend on the configuration alone, so all VMs desire the
// same. The stages depend on the ranges that engines report to hold, so a route
// never includes a range that is still being loaded.
type PlaceLayers struct {
	Placement lentilmux.Placement
}

// Run implements [System].
func (s *PlaceLayers) Run(t *table.Tables, now time.Time) {
	if !t.Stages.Stale {
		return
	}
	t.Stages.Stale = false
	if t.Stages.DesiredRevision != t.Self.Revision {
		t.Stages.DesiredRevision = t.Self.Revision
		s.setOrders(t, now)
	}
	t.Stages.Rows = t.Stages.Rows[:0]
	for i := range t.Pipelines.Rows {
		s.findStages(t, &t.Pipelines.Rows[i])
	}
	for i := range t.Services.Rows {
		service := &t.Services.Rows[i]
		service.Replicas = rowNumbers(t, service.Spec.Upstreams)
	}
}

// setOrders sets the orders of all engines from the configuration.
func (s *PlaceLayers) setOrders(t *table.Tables, now time.Time) {
	used := make(map[string]bool)
	for i := range t.Pipelines.Rows {
		for _, name := range t.Pipelines.Rows[i].Spec.Upstreams {
			used[name] = true
		}
	}
	for i := range t.Upstreams.Rows {
		if u := &t.Upstreams.Rows[i]; !used[u.Spec.Name] || u.Spec.Excluded {
			u.Order = lentilmux.Order{}
		}
	}
	for i := range t.Pipelines.Rows {
		spec := &t.Pipelines.Rows[i].Spec
		nodes, fence := s.placementNodes(t, spec)
		stages := s.Placement.Place(spec.Layers, nodes)
		if len(stages) == 0 {
			t.RecordDecision(now, lentilmux.Decision{
				What: "placement", Subject: spec.Name, Chosen: "none", Reason: "its upstreams cannot hold the model",
			})
		}
		for _, stage := range stages {
			s.setStageOrders(t, now, spec, stage, fence)
		}
	}
}

// setStageOrders sets the orders of the engines of one stage. It records a
// decision if any of them changes its range.
func (s *PlaceLayers) setStageOrders(t *table.Tables, now time.Time, spec *lentilmux.PipelineSpec, stage lentilmux.PlacedStage, fence lentilmux.Revision) {
	changed := false
	for _, name := range stage.Upstreams {
		u := t.Upstreams.Find(name)
		changed = changed || u.Order.Model != spec.Model || u.Order.Layers != stage.Layers
		u.Order = lentilmux.Order{Model: spec.Model, Layers: stage.Layers, Fence: fence}
	}
	if changed {
		t.RecordDecision(now, lentilmux.Decision{
			What: "placement", Subject: spec.Name, Chosen: rangeText(stage.Layers),
			Reason: "balanced by rate", Considered: stage.Upstreams,
		})
	}
}

// placementNodes returns the engines that a pipeline may use and the fencing
// token of a placement over them: the last revision that changed the pipeline
// or any of its engines.
func (s *PlaceLayers) placementNodes(t *table.Tables, spec *lentilmux.PipelineSpec) (nodes []lentilmux.PlacementNode, fence lentilmux.Revision) {
	fence = spec.Revision
	for _, name := range spec.Upstreams {
		u := t.Upstreams.Find(name)
		if u == nil {
			continue
		}
		fence = max(fence, u.Spec.Revision)
		if u.Spec.Excluded {
			continue
		}
		nodes = append(nodes, lentilmux.PlacementNode{
			Upstream: name, Zone: u.Spec.Zone, MaxLayers: u.Spec.MaxLayers, LayerStepsPerSecond: u.Spec.LayerStepsPerSecond,
		})
	}
	return nodes, fence
}

// findStages adds the stages that the pipeline's engines hold, sorted by first
// layer, and sets the pipeline's maximum throughput.
func (s *PlaceLayers) findStages(t *table.Tables, p *table.Pipeline) {
	p.FirstStage = len(t.Stages.Rows)
	var held []placement.HeldRange
	for _, row := range rowNumbers(t, p.Spec.Upstreams) {
		u := &t.Upstreams.Rows[row]
		if !u.Report.HasLayers || u.Report.Model != p.Spec.Model {
			continue
		}
		if u.EjectedUntil.IsZero() {
			held = append(held, placement.HeldRange{Layers: u.Report.Layers, LayerStepsPerSecond: u.Spec.LayerStepsPerSecond})
		}
		addReplica(t, p, u.Report.Layers, row)
	}
	stages := t.Stages.Rows[p.FirstStage:]
	p.StageCount = len(stages)
	p.MaxThroughput = placement.MaxThroughput(p.Spec.Layers, held)
	sort.Slice(stages, func(i, j int) bool {
		if stages[i].Layers.First != stages[j].Layers.First {
			return stages[i].Layers.First < stages[j].Layers.First
		}
		return stages[i].Layers.Last > stages[j].Layers.Last
	})
	markReachesEnd(stages, p.Spec.Layers)
}

// addReplica adds the row of an upstream to the stage of its layer range.
func addReplica(t *table.Tables, p *table.Pipeline, layers lentilmux.LayerRange, row int) {
	for i := p.FirstStage; i < len(t.Stages.Rows); i++ {
		if t.Stages.Rows[i].Layers == layers {
			t.Stages.Rows[i].Replicas = append(t.Stages.Rows[i].Replicas, row)
			return
		}
	}
	t.Stages.Rows = append(t.Stages.Rows, table.Stage{Pipeline: p.Spec.Name, Layers: layers, Replicas: []int{row}})
}

// markReachesEnd marks the stages from which a chain of stages reaches the last
// layer. The stages must be sorted by first layer.
func markReachesEnd(stages []table.Stage, layers int) {
	for i := len(stages) - 1; i >= 0; i-- {
		next := stages[i].Layers.Last + 1
		stages[i].ReachesEnd = next == layers
		for j := i + 1; j < len(stages) && !stages[i].ReachesEnd; j++ {
			stages[i].ReachesEnd = stages[j].ReachesEnd && stages[j].Layers.First == next
		}
	}
}

// rowNumbers returns the row numbers of the named upstreams. Names without a
// row are skipped.
func rowNumbers(t *table.Tables, names []string) (rows []int) {
	for _, name := range names {
		if row, ok := t.Upstreams.Row(name); ok {
			rows = append(rows, row)
		}
	}
	return rows
}
