package fleet

import (
	"fmt"
	"time"

	"lentilmux.example/lentilmux"
)

// FinishRequests records which attempts answer and removes finished requests.
// It reads Events.AnswersStarted and Events.Done and writes Requests, Pending,
// Upstreams, PartSuspects and Costs.
type FinishRequests struct{}

// Run implements [System].
func (f *FinishRequests) Run(t *Tables, now time.Time) {
	for _, msg := range t.Events.AnswersStarted {
		request := t.findAttempt(msg.Request, msg.Epoch)
		if request == nil {
			continue
		}
		request.Older = nil // the relay has canceled them
		if !request.AnswerStarted {
			t.markAnswerStarted(request)
			t.clearEjection(request, false)
			t.clearParts(request, now)
		}
	}
	for _, msg := range t.Events.Done {
		request := t.Requests.Find(msg.Request)
		if msg.End.Panic != "" {
			t.RecordDecision(lentilmux.Decision{What: "request_panicked", Subject: string(msg.Request), Chosen: string(msg.End.Cause), Reason: msg.End.Panic})
		}
		if msg.End.Unanswered {
			t.recordUnanswered(msg, request, now)
		}
		if request == nil {
			t.recordRefusedByRelay(msg)
			t.dropPending(msg.Request)
			continue
		}
		if msg.Outcome == lentilmux.OutcomeAnswered {
			t.clearEjection(request, true)
			t.CrashSuspects.clear(request.Fingerprint)
			if !request.AnswerStarted { // else its parts were cleared then, and may have been suspected since
				t.clearParts(request, now)
			}
		}
		t.observeAnswer(request, msg, now)
		t.observeSpeeds(request, msg, now)
		t.endAttempt(request)
		t.Requests.Remove(request.ID)
		t.RecordDecision(lentilmux.Decision{
			What: "request_done", Subject: string(msg.Request), Chosen: fmt.Sprint(msg.Status),
			// legs is the number of attempts, first the time to the first byte, pause the
			// longest gap between events and took the total duration. promised is the
			// expected time from the first attempt to the first event, waited the measured
			// one. hint is the caller's estimate of the answer and estimated the one that
			// the first path was selected for, in tokens; learned tells whether it follows
			// from answers.
			Reason: fmt.Sprintf("%s %s route=%s legs=%d events=%d first=%dms pause=%dms took=%dms", msg.Outcome, msg.Reason, request.Route.Name, request.Attempts, msg.Events, msg.TimeToFirstByte.Milliseconds(), msg.MaxEventGap.Milliseconds(), msg.Duration.Milliseconds()) + describePromise(msg) + request.describeCost(msg) + request.describeForwarding(),
		})
	}
}

// recordRefusedByRelay logs a request that is not in the table and that the relay has
// refused by itself. It was not sent to an upstream.
func (t *Tables) recordRefusedByRelay(msg lentilmux.ForwardDoneMsg) {
	switch msg.End.Cause {
	case lentilmux.EndNodeStopped, lentilmux.EndNodeFailed, lentilmux.EndPanicked, lentilmux.EndBodyUnreadable:
	default:
		return // the line of the refusal says why
	}
	if msg.End.Unanswered {
		return
	}
	t.RecordDecision(lentilmux.Decision{
		What: "request_refused", Subject: string(msg.Request), Chosen: msg.Outcome.String(),
		Reason: fmt.Sprintf("%s: %s; status=%d took=%dms", msg.Reason, msg.End.Cause, msg.Status, msg.Duration.Milliseconds()),
	})
}

// describePromise returns the expected and the measured time to the first event, for the
// log. It is empty if none was expected.
func describePromise(msg lentilmux.ForwardDoneMsg) (text string) {
	if msg.Promised <= 0 {
		return ""
	}
	return fmt.Sprintf(" promised=%dms waited=%dms", msg.Promised.Milliseconds(), msg.WaitedForFirst.Milliseconds())
}

// recordUnanswered logs a request that ended without a complete answer or a
// refusal. A request that is not in the table was not sent to an upstream.
func (t *Tables) recordUnanswered(msg lentilmux.ForwardDoneMsg, request *RequestRow, now time.Time) {
	route, upstream := "", ""
	if request != nil {
		route, upstream = request.Route.Name, request.LastUpstream
	}
	lastFailure := "none"
	if msg.End.Failures > 0 {
		lastFailure = msg.End.LastFailure.String()
	}
	t.RecordDecision(lentilmux.Decision{
		What: "request_unanswered", Subject: string(msg.Request), Chosen: string(msg.End.Cause),
		// leg is the number of the last attempt, failed and canceled count the attempts
		// that failed and those that were canceled without having failed. rules is the
		// version of the configuration, installed the time since it came into force.
		Reason: fmt.Sprintf("%s %s route=%s upstream=%s leg=%d failed=%d last_failure=%s canceled=%d status_sent=%t events=%d took=%dms rules=%d installed=%dms",
			msg.Outcome, msg.Reason, route, upstream, msg.End.Epoch, msg.End.Failures, lastFailure, msg.End.Canceled, msg.Status != 0, msg.Events, msg.Duration.Milliseconds(),
			t.Rules.Version, now.Sub(t.Rules.InstalledAt).Milliseconds()),
	})
}

// describeForwarding returns by which other VM a request came or went, for the log.
// It is empty if there is none.
func (r *RequestRow) describeForwarding() (text string) {
	if r.Peer != "" {
		text += " peer=" + r.Peer
	}
	if r.Forwarded.IsForwarded() {
		text += " forwarded_by=" + r.Forwarded.VM
	}
	return text
}
