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
	Limits    Limits
	Self      Self
	Knowledge Knowledge
	Rules     Rules
	Members   Members
	VMs       VMs
	Whole     Whole
	Flights   Flights
	Held      []HeldRow
	Budgets   Budgets
	Poisons   Poisons
	Zones     Zones
	Asks      Bucket // questions because of signs
	Pipes     Bucket // bits that may cross between availability zones
	Events    Events

	effects []lentilmux.Effect
	due     time.Time
}

func newTables(self Self, limits Limits) *Tables {
	t := &Tables{Limits: limits, Self: self}
	t.Zones.Index(self.Zone)
	return t
}

// begin starts a tick: no effects, and the next tick at the latest at idle.
func (t *Tables) begin(idle time.Time) {
	t.effects = nil
	t.due = idle
}

// end finishes a tick.
func (t *Tables) end() (effects []lentilmux.Effect, due time.Time) {
	t.Events.clear()
	return t.effects, t.due
}

// Add adds an effect to carry out after the tick.
func (t *Tables) Add(effect lentilmux.Effect) { t.effects = append(t.effects, effect) }

// Answer adds the answer to the holder of ticket.
func (t *Tables) Answer(ticket lentilmux.Ticket, answer lentilmux.Answer) {
	if ticket != 0 {
		t.Add(lentilmux.AnswerEffect{Ticket: ticket, Answer: answer})
	}
}

// WakeAt asks for a tick at the time at, if none comes before.
func (t *Tables) WakeAt(at time.Time) {
	if at.Before(t.due) {
		t.due = at
	}
}

// Decide adds the log line of a decision.
func (t *Tables) Decide(decision lentilmux.Decision) {
	t.Add(lentilmux.DecisionEffect{Decision: decision})
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
