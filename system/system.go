// Package system holds the rules of a node as systems that run over its tables.
//
// A system is a type with one method, Run, that reads some tables and writes
// few; its comment names both. It does no input or output, takes no lock,
// reads no clock and encodes nothing. What it wants done it adds to the tables
// as an effect. [Schedule] runs all systems in a fixed order once a tick and
// implements [lentilmux.Model].
//
// The package speaks to no peer; it is named for what it holds.
//
// # Usage
//
//	schedule := system.New(tables,
//		system.WithDispatch(dispatch.NewTwoChoices(seed)),
//	)
//	effects, due := schedule.Tick(now, batch)
package system

import (
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/admission"
	"lentilmux.example/lentilmux/dispatch"
	"lentilmux.example/lentilmux/placement"
	"lentilmux.example/lentilmux/table"
)

// idlePeriod is the longest time between two ticks.
const idlePeriod = time.Second

// System is one set of rules that runs every tick.
type System interface {
	// Run reads and writes the tables at the time now.
	Run(t *table.Tables, now time.Time)
}

// Schedule runs systems in order over one node's tables.
type Schedule struct {
	tables       *table.Tables
	intake       eventSorter
	extraSystems []System
	systems      []System
	dispatch     lentilmux.Dispatch
	placement    lentilmux.Placement
	admission    lentilmux.Admission
}

// Option changes a [Schedule] while it is made.
type Option func(*Schedule)

// WithDispatch sets the policy that picks upstreams.
func WithDispatch(d lentilmux.Dispatch) Option {
	return func(s *Schedule) { s.dispatch = d }
}

// WithPlacement sets the policy that spreads layers.
func WithPlacement(p lentilmux.Placement) Option {
	return func(s *Schedule) { s.placement = p }
}

// WithAdmission sets the policy that picks the next workspace.
func WithAdmission(a lentilmux.Admission) Option {
	return func(s *Schedule) { s.admission = a }
}

// WithSystem adds a system that runs before all others.
func WithSystem(system System) Option {
	return func(s *Schedule) { s.extraSystems = append(s.extraSystems, system) }
}

// New returns a schedule of all systems over the tables t.
func New(t *table.Tables, options ...Option) *Schedule {
	s := &Schedule{
		tables:    t,
		dispatch:  dispatch.NewTwoChoices(1),
		placement: placement.Balanced{},
		admission: admission.FairShare{},
	}
	for _, option := range options {
		option(s)
	}
	t.Self.RetryTokens = t.Limits.InitialRetryTokens
	s.systems = append(s.extraSystems,
		&Configure{},
		&Membership{},
		&Health{},
		&PlaceLayers{Placement: s.placement},
		&MeasureThroughput{},
		&FinishRequests{},
		&ClaimKeys{},
		&Quarantine{},
		&Retry{},
		&AcceptRequests{},
		&ExpireRequests{},
		&AssignRoutes{Dispatch: s.dispatch, Admission: s.admission},
		&ExcludeDeadEngines{},
		&Reconcile{},
		&Gossip{},
		&Readiness{},
		&Query{},
	)
	return s
}

// Tick implements [lentilmux.Model].
func (s *Schedule) Tick(now time.Time, batch []lentilmux.Envelope) (effects []lentilmux.Effect, due time.Time) {
	s.tables.Begin(now.Add(idlePeriod))
	for _, envelope := range batch {
		s.intake.add(&s.tables.Events, envelope)
	}
	for _, system := range s.systems {
		system.Run(s.tables, now)
	}
	return s.tables.End()
}
