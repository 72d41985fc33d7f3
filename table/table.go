// Package table holds all state of one node in tables of plain rows.
//
// A table is a slice of rows of one type with an index by key. Rows are data
// without logic. The systems of package system read and write them, all on the
// control goroutine, so there are no locks. Rows are always visited in row order
// and never in the order of a map, so that the same messages always lead to the
// same decisions.
//
// Messages that arrive between two ticks are rows too: [Events] has one list for
// each kind, which the systems read and which is cleared after the tick. Effects
// are rows that the systems add and the node executes after the tick.
//
// The package does no I/O; it is named for what it holds.
//
// # Usage
//
//	t := table.New(table.Self{Name: "entry-1", Zone: "kochi"})
//	t.Upstreams.Put(table.Upstream{Spec: spec})
//	if u := t.Upstreams.Find("worker-1"); u != nil {
//		u.InFlight++
//	}
//
// A pointer that Find or Put returns is valid until the next Put or Remove on
// the same table.
package table

import (
	"time"

	"lentilmux.example/lentilmux"
)

// Tables is the state of one node.
type Tables struct {
	Limits          Limits
	Self            Self
	Streams         Streams
	VMs             VMs
	Peers           Peers
	Upstreams       Upstreams
	Pipelines       Pipelines
	Stages          Stages
	Services        Services
	Workspaces      Workspaces
	History         History
	Backlog         Backlog
	LostCommands    LostCommands
	RecentCrashes   RecentCrashes
	PendingCommands PendingCommands
	Requests        Requests
	Queue           Queue
	Calls           Calls
	PendingAppends  PendingAppends
	CrashSuspects   CrashSuspects
	Decisions       Decisions
	Timers          Timers
	Events          Events

	effects  []lentilmux.Effect
	nextTick time.Time
}

// New returns empty tables for the node self.
func New(self Self) *Tables {
	return &Tables{Limits: DefaultLimits(), Self: self, Decisions: Decisions{capacity: maxDecisionRows}}
}

// Begin starts a tick. It clears the effects and sets the next tick to the time
// latest; [Tables.WakeAt] can move it to an earlier time.
func (t *Tables) Begin(latest time.Time) {
	t.effects = nil
	t.nextTick = latest
}

// End finishes a tick. It clears the events and returns the effects to execute
// and the time of the next tick.
func (t *Tables) End() (effects []lentilmux.Effect, nextTick time.Time) {
	t.Events.clear()
	return t.effects, t.nextTick
}

// AddEffect adds an effect to execute after the tick.
func (t *Tables) AddEffect(effect lentilmux.Effect) {
	t.effects = append(t.effects, effect)
}

// Answer adds an effect that answers the message with the correlation ID. It
// does nothing if the ID is zero.
func (t *Tables) Answer(correlationID lentilmux.CorrelationID, answer lentilmux.Answer) {
	if correlationID == 0 {
		return
	}
	t.AddEffect(lentilmux.AnswerEffect{CorrelationID: correlationID, Answer: answer})
}

// WakeAt asks for a tick at the given time or earlier.
func (t *Tables) WakeAt(at time.Time) {
	if at.Before(t.nextTick) {
		t.nextTick = at
	}
}

// RecordDecision adds a decision to the table of decisions and an effect that
// logs it.
func (t *Tables) RecordDecision(now time.Time, decision lentilmux.Decision) {
	t.Decisions.add(DecisionRow{At: now, Decision: decision})
	t.AddEffect(lentilmux.DecisionEffect{Decision: decision})
}
