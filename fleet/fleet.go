// Package fleet holds the rules of an entry VM before upstreams that register
// themselves in the platform's store and pass activations on among themselves.
//
// It has the same shape as packages table and system: rows of plain data that
// one goroutine owns, and systems that run over them in a fixed order once a
// tick. The two share no row: there the router drives each stage and calls are
// kept in the log, here a request is sent whole along a path, and what is known
// comes from compacted streams and grows old.
//
// The package speaks to no peer; it is named for what it holds.
//
// # Usage
//
//	model := fleet.New(fleet.Self{Name: "entry-1", Zone: "kochi"}, bounds,
//		fleet.WithChains(dispatch.NewChains(seed)),
//	)
//	node := lentilmux.NewNode(model, lentilmux.WithEffector(effects))
package fleet

import (
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/dispatch"
	"lentilmux.example/lentilmux/placement"
)

// maxTickInterval is the longest time between two ticks.
const maxTickInterval = 500 * time.Millisecond

// System is one set of rules that runs every tick.
type System interface {
	// Run reads and writes the tables at the time now.
	Run(t *Tables, now time.Time)
}

// Schedule runs the systems over one node's tables. It implements
// [lentilmux.Model].
type Schedule struct {
	tables       *Tables
	systems      []System
	pathSelector lentilmux.PathSelector
	dispatch     lentilmux.Dispatch
	placement    lentilmux.RangePlacement
}

// Option changes a [Schedule] while it is made.
type Option func(*Schedule)

// WithPathSelector sets the policy that picks paths.
func WithPathSelector(selector lentilmux.PathSelector) Option {
	return func(s *Schedule) { s.pathSelector = selector }
}

// WithDispatch sets the policy that picks upstreams of plain services.
func WithDispatch(d lentilmux.Dispatch) Option {
	return func(s *Schedule) { s.dispatch = d }
}

// WithRanges sets the policy that spreads layers.
func WithRanges(p lentilmux.RangePlacement) Option {
	return func(s *Schedule) { s.placement = p }
}

// New returns a schedule over empty tables.
func New(self Self, limits Limits, options ...Option) *Schedule {
	s := &Schedule{
		tables:       newTables(self, limits),
		pathSelector: dispatch.NewCheapestPath(self.Incarnation),
		dispatch:     dispatch.NewTwoChoices(self.Incarnation),
		placement:    placement.ZoneBalanced{},
	}
	for _, option := range options {
		option(s)
	}
	admit := &AdmitRequests{PathSelector: s.pathSelector, Dispatch: s.dispatch}
	s.systems = []System{
		&ApplyStoreUpdates{},
		&ApplyReports{},
		&FinishRequests{},
		&DetectFailures{},
		&PlaceLayers{Placement: s.placement},
		&SendOrders{},
		&MoveRequests{Admit: admit},
		admit,
		&ProbeUpstreams{},
		&SendDigests{},
		&SelectReadSource{},
		&Readiness{},
	}
	return s
}

// Tables returns the state, for scenarios.
func (s *Schedule) Tables() *Tables { return s.tables }

// Tick implements [lentilmux.Model].
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
