package fleet

import (
	"fmt"
	"time"

	"lentilmux.example/lentilmux"
)

// Finish takes note of first events and ends. It reads Events.Begun and
// Events.Done and writes Flights and Members.
type Finish struct{}

// Run implements [System].
func (f *Finish) Run(t *Tables, now time.Time) {
	for _, msg := range t.Events.Begun {
		if flight := t.Flights.Find(msg.Request); flight != nil && flight.Epoch == msg.Epoch && !flight.Begun {
			t.begun(flight)
			t.answered(flight)
		}
	}
	for _, msg := range t.Events.Done {
		flight := t.Flights.Find(msg.Request)
		if flight == nil {
			t.forget(msg.Request)
			continue
		}
		if msg.Outcome == lentilmux.OutcomeAnswered {
			t.answered(flight)
		}
		t.release(flight)
		t.Flights.Remove(flight.ID)
		t.Decide(lentilmux.Decision{
			What: "request_done", Subject: string(msg.Request), Chosen: fmt.Sprint(msg.Status),
			Reason: fmt.Sprintf("%s %s route=%s legs=%d events=%d first=%dms pause=%dms took=%dms", msg.Outcome, msg.Reason, flight.Route.Name, flight.Sends, msg.Events, msg.First.Milliseconds(), msg.Pause.Milliseconds(), msg.Took.Milliseconds()),
		})
	}
}
