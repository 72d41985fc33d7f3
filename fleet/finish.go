package fleet

import (
	"fmt"
	"time"

	"lentilmux.example/lentilmux"
)

// FinishRequests records first events of answers and removes finished requests.
// It reads Events.AnswersStarted and Events.Done and writes Requests, Pending,
// Upstreams and PartSuspects.
type FinishRequests struct{}

// Run implements [System].
func (f *FinishRequests) Run(t *Tables, now time.Time) {
	for _, msg := range t.Events.AnswersStarted {
		if request := t.Requests.Find(msg.Request); request != nil && request.Epoch == msg.Epoch && !request.AnswerStarted {
			t.markAnswerStarted(request)
			t.clearEjection(request)
			t.clearParts(request, now)
		}
	}
	for _, msg := range t.Events.Done {
		request := t.Requests.Find(msg.Request)
		if request == nil {
			t.dropPending(msg.Request)
			continue
		}
		if msg.Outcome == lentilmux.OutcomeAnswered {
			t.clearEjection(request)
			t.clearParts(request, now)
		}
		t.release(request)
		t.Requests.Remove(request.ID)
		t.RecordDecision(lentilmux.Decision{
			What: "request_done", Subject: string(msg.Request), Chosen: fmt.Sprint(msg.Status),
			// legs is the number of attempts, first the time to the first byte, pause the
			// longest gap between events and took the total duration.
			Reason: fmt.Sprintf("%s %s route=%s legs=%d events=%d first=%dms pause=%dms took=%dms", msg.Outcome, msg.Reason, request.Route.Name, request.Attempts, msg.Events, msg.TimeToFirstByte.Milliseconds(), msg.MaxEventGap.Milliseconds(), msg.Duration.Milliseconds()),
		})
	}
}
