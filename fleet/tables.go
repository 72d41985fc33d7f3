package fleet

import (
	"net/netip"
	"time"

	"lentilmux.example/lentilmux"
)

// Self is the identity of this entry VM, and whether it is draining and ready.
type Self struct {
	Name        string
	Zone        string
	Addr        netip.AddrPort // address that receives load digests
	Incarnation uint64         // start of this process; higher for later starts
	Started     time.Time

	Draining bool
	DrainAt  time.Time // when the drain began
	Unlisted bool      // whether the store lacks this VM's record and it has to be written again
	Ready    bool
	Reason   string // why the VM is not ready; empty if it is
}

// Tables is the complete control state of one entry VM. Only the control
// goroutine uses it.
type Tables struct {
	Limits          Limits
	Self            Self
	Streams         StreamStates
	Rules           Rules
	Upstreams       Upstreams
	Departures      Departures
	Reach           Reach
	VMs             VMs
	FleetLoads      FleetLoads
	Requests        Requests
	Pending         []PendingRow
	ResumeWaits     []ResumeWaitRow
	Drains          Drains
	BackOffs        BackOffs
	Costs           Costs
	RetryBudgets    RetryBudgets
	StreamDurations StreamDurations
	PriorityShares  PriorityShares
	Shortages       Shortages
	RefusedRequests RefusedRequests
	CrashSuspects   CrashSuspects
	PartSuspects    PartSuspects
	Zones           Zones
	ProbeBucket     TokenBucket // rate limit of probes because of failures and stalls
	CrossZoneBucket TokenBucket // rate limit of activations that cross zones, in bits
	CrowdedAt       time.Time   // when a request last found no room, or was refused for lack of it; zero if none was
	Events          Events
	NewSuspects     bool // whether an upstream was found dead that the last digest does not list
	NewRules        bool // whether a configuration replaced another one that the last digest names
	NewDrains       bool // whether an upstream announced its drain that the last digest does not list

	effects  []lentilmux.Effect // of this tick
	nextTick time.Time
}

func newTables(self Self, limits Limits) *Tables {
	t := &Tables{Limits: limits, Self: self}
	t.Zones.Index(self.Zone)
	return t
}

// beginTick starts a tick without effects. The next tick is due at latest,
// unless a system calls [Tables.WakeAt].
func (t *Tables) beginTick(latest time.Time) {
	t.effects = nil
	t.nextTick = latest
}

// endTick discards the events of the tick and returns its effects and the time
// of the next tick.
func (t *Tables) endTick() (effects []lentilmux.Effect, nextTick time.Time) {
	t.Events.reset()
	return t.effects, t.nextTick
}

// AddEffect adds an effect to carry out after the tick.
func (t *Tables) AddEffect(effect lentilmux.Effect) { t.effects = append(t.effects, effect) }

// Answer answers the message with the given correlation ID. It does nothing for
// ID 0, since such a message expects no answer.
func (t *Tables) Answer(correlationID lentilmux.CorrelationID, answer lentilmux.Answer) {
	if correlationID != 0 {
		t.AddEffect(lentilmux.AnswerEffect{CorrelationID: correlationID, Answer: answer})
	}
}

// WakeAt schedules a tick no later than at.
func (t *Tables) WakeAt(at time.Time) {
	if at.Before(t.nextTick) {
		t.nextTick = at
	}
}

// RecordDecision adds the effect that logs a decision.
func (t *Tables) RecordDecision(decision lentilmux.Decision) {
	t.AddEffect(lentilmux.DecisionEffect{Decision: decision})
}

// Zones assigns an index to each availability zone, in the order in which the
// zones were first seen.
type Zones struct {
	names    []string
	forgetAt int // number of zones from which on unused ones are forgotten
}

// Index returns the index of a zone. A new zone gets the next free index.
func (z *Zones) Index(name string) int {
	for i, known := range z.names {
		if known == name {
			return i
		}
	}
	z.names = append(z.names, name)
	return len(z.names) - 1
}

// Count returns the number of known zones.
func (z *Zones) Count() int { return len(z.names) }
