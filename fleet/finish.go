package fleet

import (
	"fmt"
	"time"

	"lentilmux.example/lentilmux"
)

// FinishRequests takes note of first events and ends. It reads Events.Begun and
// Events.Done and writes Flights and Members.
type FinishRequests struct{}

// Run implements [System].
func (f *FinishRequests) Run(t *Tables, now time.Time) {
	for _, msg := range t.Events.AnswersStarted {
		if flight := t.Requests.Find(msg.Request); flight != nil && flight.Epoch == msg.Epoch && !flight.AnswerStarted {
			t.begun(flight)
			t.answered(flight)
		}
	}
	for _, msg := range t.Events.Done {
		flight := t.Requests.Find(msg.Request)
		if flight == nil {
			t.forget(msg.Request)
			continue
		}
		if msg.Outcome == lentilmux.OutcomeAnswered {
			t.answered(flight)
		}
		t.release(flight)
		t.Requests.Remove(flight.ID)
		t.RecordDecision(lentilmux.Decision{
			What: "request_done", Subject: string(msg.Request), Chosen: fmt.Sprint(msg.Status),
			Reason: fmt.Sprintf("%s %s route=%s legs=%d events=%d first=%dms pause=%dms took=%dms", msg.Outcome, msg.Reason, flight.Route.Name, flight.Attempts, msg.Events, msg.TimeToFirstByte.Milliseconds(), msg.MaxEventGap.Milliseconds(), msg.Duration.Milliseconds()),
		})
	}
}
