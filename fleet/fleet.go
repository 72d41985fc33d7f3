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

// idlePeriod is the longest time between two ticks.
const idlePeriod = 500 * time.Millisecond

// System is one set of rules that runs every tick.
type System interface {
	// Run reads and writes the tables at the time now.
	Run(t *Tables, now time.Time)
}

// Schedule runs the systems over one node's tables. It implements
// [lentilmux.Model].
type Schedule struct {
	tables   *Tables
	systems  []System
	chains   lentilmux.PathSelector
	dispatch lentilmux.Dispatch
	ranges   lentilmux.RangePlacement
}

// Option changes a [Schedule] while it is made.
type Option func(*Schedule)

// WithPathSelector sets the policy that picks paths.
func WithPathSelector(c lentilmux.PathSelector) Option {
	return func(s *Schedule) { s.chains = c }
}

// WithDispatch sets the policy that picks upstreams of plain services.
func WithDispatch(d lentilmux.Dispatch) Option {
	return func(s *Schedule) { s.dispatch = d }
}

// WithRanges sets the policy that spreads layers.
func WithRanges(p lentilmux.RangePlacement) Option {
	return func(s *Schedule) { s.ranges = p }
}

// New returns a schedule over empty tables.
func New(self Self, limits Limits, options ...Option) *Schedule {
	s := &Schedule{
		tables:   newTables(self, limits),
		chains:   dispatch.NewCheapestPath(self.Incarnation),
		dispatch: dispatch.NewTwoChoices(self.Incarnation),
		ranges:   placement.ZoneBalanced{},
	}
	for _, option := range options {
		option(s)
	}
	admit := &AdmitRequests{PathSelector: s.chains, Dispatch: s.dispatch}
	s.systems = []System{
		&ApplyStoreUpdates{},
		&ApplyReports{},
		&FinishRequests{},
		&DetectFailures{},
		&PlaceLayers{Placement: s.ranges},
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
func (s *Schedule) Tick(now time.Time, batch []lentilmux.Envelope) (effects []lentilmux.Effect, due time.Time) {
	s.tables.begin(now.Add(idlePeriod))
	for _, envelope := range batch {
		s.tables.Events.take(envelope)
	}
	for _, system := range s.systems {
		system.Run(s.tables, now)
	}
	return s.tables.end()
}
