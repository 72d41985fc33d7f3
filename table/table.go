// Package table holds all state of one node as tables of plain rows.
//
// A table is a slice of rows of one kind with an index by key. Rows are plain
// data without methods that decide anything; the systems of package system
// read and write them, all on the control goroutine, so nothing here locks.
// Rows are always visited in row order, never in a map's, so that the same
// messages give the same decisions.
//
// Events that arrive between two ticks are rows too: [Events] has one list for
// each kind, which the systems read and which is empty again after the tick.
// Effects are rows that systems add and the node carries out.
//
// The package speaks to no peer; it is named for what it holds.
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

// Begin starts a tick: no effects, and the next tick at the latest at idle.
func (t *Tables) Begin(latest time.Time) {
	t.effects = nil
	t.nextTick = latest
}

// End finishes a tick. It clears the events and returns the effects and the
// time of the next tick.
func (t *Tables) End() (effects []lentilmux.Effect, nextTick time.Time) {
	t.Events.clear()
	return t.effects, t.nextTick
}

// AddEffect adds an effect to carry out after the tick.
func (t *Tables) AddEffect(effect lentilmux.Effect) {
	t.effects = append(t.effects, effect)
}

// Answer adds the answer to the holder of ticket; the zero ticket has none.
func (t *Tables) Answer(correlationID lentilmux.CorrelationID, answer lentilmux.Answer) {
	if correlationID == 0 {
		return
	}
	t.AddEffect(lentilmux.AnswerEffect{CorrelationID: correlationID, Answer: answer})
}

// WakeAt asks for a tick at the time at, if none comes before.
func (t *Tables) WakeAt(at time.Time) {
	if at.Before(t.nextTick) {
		t.nextTick = at
	}
}

// RecordDecision records a decision and adds its log line.
func (t *Tables) RecordDecision(now time.Time, decision lentilmux.Decision) {
	t.Decisions.add(DecisionRow{At: now, Decision: decision})
	t.AddEffect(lentilmux.DecisionEffect{Decision: decision})
}
