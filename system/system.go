// Package system holds the routing and control rules of an entry VM, as systems
// that run over its tables.
//
// A system is a type with one method, Run, that reads some tables and writes a
// few; its doc comment names both. It does no I/O, takes no lock, reads no
// clock and encodes no messages. Work that needs I/O, such as sending an answer
// or a probe, is added to the tables as an effect. [Schedule] runs all
// systems in a fixed order once per tick and implements [lentilmux.Model].
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

// idlePeriod is the maximum time between two ticks.
const idlePeriod = time.Second

// System is one set of rules that runs on every tick.
type System interface {
	// Run applies the rules to the tables at the time now.
	Run(t *table.Tables, now time.Time)
}

// Schedule runs the systems of one node in order over the node's tables.
type Schedule struct {
	tables       *table.Tables
	sorter       eventSorter
	extraSystems []System
	systems      []System
	dispatch     lentilmux.Dispatch
	placement    lentilmux.Placement
	admission    lentilmux.Admission
}

// Option configures a [Schedule].
type Option func(*Schedule)

// WithDispatch sets the policy that picks an upstream for each stage. The
// default is two choices.
func WithDispatch(d lentilmux.Dispatch) Option {
	return func(s *Schedule) { s.dispatch = d }
}

// WithPlacement sets the policy that assigns layer ranges to engines. The
// default is balanced placement.
func WithPlacement(p lentilmux.Placement) Option {
	return func(s *Schedule) { s.placement = p }
}

// WithAdmission sets the policy that picks the workspace to serve next. The
// default is fair share.
func WithAdmission(a lentilmux.Admission) Option {
	return func(s *Schedule) { s.admission = a }
}

// WithSystem adds a system that runs before the built-in systems. Systems added
// this way run in the order in which they were added.
func WithSystem(system System) Option {
	return func(s *Schedule) { s.extraSystems = append(s.extraSystems, system) }
}

// New returns a schedule of the added and the built-in systems over the tables
// t.
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

// Tick implements [lentilmux.Model]. It adds the messages of batch to the event
// tables, runs all systems and returns their effects and the time at which the
// next tick is due.
func (s *Schedule) Tick(now time.Time, batch []lentilmux.Envelope) (effects []lentilmux.Effect, due time.Time) {
	s.tables.Begin(now.Add(idlePeriod))
	for _, envelope := range batch {
		s.sorter.add(&s.tables.Events, envelope)
	}
	for _, system := range s.systems {
		system.Run(s.tables, now)
	}
	return s.tables.End()
}
