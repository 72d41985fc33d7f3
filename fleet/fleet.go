// Package fleet implements the control logic of an entry VM whose upstreams
// register themselves in the platform's store and pass activations to one
// another along a path.
//
// It has the same structure as packages table and system: tables of plain rows
// that the control goroutine owns, and systems that run over them in a fixed
// order on each tick. The two groups of packages share no rows. There the router
// drives each pipeline stage and records calls in the log; here it sends an
// attempt to the first hop of a path only, and the state comes from compacted
// streams and may be stale.
//
// The package is named for the state it holds. It does not communicate with
// peers itself: it returns effects, which the caller carries out.
//
// # Usage
//
//	model := fleet.New(fleet.Self{Name: "entry-1", Zone: "kochi"}, limits,
//		fleet.WithPathSelector(dispatch.NewCheapestPath(seed)),
//	)
//	node := lentilmux.NewNode(model, lentilmux.WithEffector(effects))
package fleet

import (
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/admission"
	"lentilmux.example/lentilmux/dispatch"
	"lentilmux.example/lentilmux/workload"
)

// maxTickInterval is the longest time between two ticks.
const maxTickInterval = 500 * time.Millisecond

// System is one set of rules that runs on every tick.
type System interface {
	// Run reads and updates the tables. Now is the time of the tick.
	Run(t *Tables, now time.Time)
}

// Schedule runs the systems over the tables of one entry VM. It implements
// [lentilmux.Model].
type Schedule struct {
	tables       *Tables
	systems      []System
	pathSelector lentilmux.PathSelector
	dispatch     lentilmux.Dispatch
	shortage     lentilmux.ShortagePolicy
	estimator    lentilmux.CostEstimator
}

// Option configures a [Schedule] in [New].
type Option func(*Schedule)

// WithPathSelector sets the policy that selects paths over upstreams that hold
// layer ranges. The default is [dispatch.NewCheapestPath].
func WithPathSelector(selector lentilmux.PathSelector) Option {
	return func(s *Schedule) { s.pathSelector = selector }
}

// WithDispatch sets the policy that selects an upstream of a service without
// layers. The default is [dispatch.NewTwoChoices].
func WithDispatch(d lentilmux.Dispatch) Option {
	return func(s *Schedule) { s.dispatch = d }
}

// WithShortagePolicy sets the policy that decides which requests get capacity first while
// there is too little. The default is [admission.UrgentFirst].
func WithShortagePolicy(policy lentilmux.ShortagePolicy) Option {
	return func(s *Schedule) { s.shortage = policy }
}

// WithCostEstimator sets what learns the lengths of answers. The default is
// [workload.NewEstimator].
func WithCostEstimator(estimator lentilmux.CostEstimator) Option {
	return func(s *Schedule) { s.estimator = estimator }
}

// New returns a schedule with empty tables.
func New(self Self, limits Limits, options ...Option) *Schedule {
	s := &Schedule{
		tables:       newTables(self, limits),
		pathSelector: dispatch.NewCheapestPath(self.Incarnation),
		dispatch:     dispatch.NewTwoChoices(self.Incarnation),
		shortage:     admission.UrgentFirst{},
		estimator:    workload.NewEstimator(),
	}
	for _, option := range options {
		option(s)
	}
	admit := &AdmitRequests{PathSelector: s.pathSelector, Dispatch: s.dispatch, Shortage: s.shortage}
	s.tables.Costs.Estimator = s.estimator
	s.systems = []System{
		&ApplyStoreUpdates{},
		&TrackReach{},
		&ApplyReports{},
		&MeasureStreams{},
		&FinishRequests{},
		&TrackCrashes{},
		&ApplyRequestLimits{},
		&ApplyDrains{},
		&ApplyBackOffs{},
		&ApplyShortages{},
		&ApplyRefusedRequests{},
		&DetectFailures{},
		&PlaceLayers{},
		&SendOrders{},
		&MoveRequests{Admit: admit},
		admit,
		&ExplainRequests{Admit: admit},
		&ProbeUpstreams{},
		&SendDigests{},
		&SelectReadSource{},
		&Readiness{},
	}
	return s
}

// Tables returns the tables, for tests.
func (s *Schedule) Tables() *Tables { return s.tables }

// Tick implements [lentilmux.Model]. It runs all systems once and returns their
// effects and the time at which the next tick is due.
func (s *Schedule) Tick(now time.Time, batch []lentilmux.Envelope) (effects []lentilmux.Effect, nextTick time.Time) {
	s.tables.beginTick(now.Add(maxTickInterval))
	for _, envelope := range batch {
		s.tables.Events.add(envelope)
	}
	for _, system := range s.systems {
		system.Run(s.tables, now)
	}
	return s.tables.endTick()
}
