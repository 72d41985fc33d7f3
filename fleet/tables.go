package fleet

import (
	"net/netip"
	"time"

	"lentilmux.example/lentilmux"
)

// Self is what an entry VM knows of itself.
type Self struct {
	Name        string
	Zone        string
	Addr        netip.AddrPort // for load digests
	Incarnation uint64
	Started     time.Time

	Draining bool
	Ready    bool
	Reason   string // why it is not ready
}

// Tables is the state of one node.
type Tables struct {
	Limits          Limits
	Self            Self
	Streams         StreamStates
	Rules           Rules
	Upstreams       Upstreams
	VMs             VMs
	FleetLoads      FleetLoads
	Requests        Requests
	Pending         []PendingRow
	RetryBudgets    RetryBudgets
	CrashSuspects   CrashSuspects
	Zones           Zones
	ProbeBucket     TokenBucket // questions because of signs
	CrossZoneBucket TokenBucket // bits that may cross between availability zones
	Events          Events

	effects  []lentilmux.Effect
	nextTick time.Time
}

func newTables(self Self, limits Limits) *Tables {
	t := &Tables{Limits: limits, Self: self}
	t.Zones.Index(self.Zone)
	return t
}

// beginTick starts a tick: no effects, and the next tick at the latest at idle.
func (t *Tables) beginTick(latest time.Time) {
	t.effects = nil
	t.nextTick = latest
}

// endTick finishes a tick.
func (t *Tables) endTick() (effects []lentilmux.Effect, nextTick time.Time) {
	t.Events.reset()
	return t.effects, t.nextTick
}

// AddEffect adds an effect to carry out after the tick.
func (t *Tables) AddEffect(effect lentilmux.Effect) { t.effects = append(t.effects, effect) }

// Answer adds the answer to the holder of ticket.
func (t *Tables) Answer(correlationID lentilmux.CorrelationID, answer lentilmux.Answer) {
	if correlationID != 0 {
		t.AddEffect(lentilmux.AnswerEffect{CorrelationID: correlationID, Answer: answer})
	}
}

// WakeAt asks for a tick at the time at, if none comes before.
func (t *Tables) WakeAt(at time.Time) {
	if at.Before(t.nextTick) {
		t.nextTick = at
	}
}

// RecordDecision adds the log line of a decision.
func (t *Tables) RecordDecision(decision lentilmux.Decision) {
	t.AddEffect(lentilmux.DecisionEffect{Decision: decision})
}

// Zones numbers availability zones in the order in which they were met.
type Zones struct {
	names []string
}

// Index returns the number of a zone.
func (z *Zones) Index(name string) int {
	for i, known := range z.names {
		if known == name {
			return i
		}
	}
	z.names = append(z.names, name)
	return len(z.names) - 1
}

// Count returns how many zones there are.
func (z *Zones) Count() int { return len(z.names) }
