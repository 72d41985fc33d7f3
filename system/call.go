package system

import (
	"fmt"
	"strings"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

// appendCall appends a record to the calls stream and keeps it in
// PendingAppends until it is read back.
func appendCall(t *table.Tables, now time.Time, record lentilmux.CallRecord) {
	t.PendingAppends.Put(table.PendingAppend{ID: appendID(record), Record: record, AppendedAt: now})
	t.AddEffect(lentilmux.CallAppendEffect{Record: record})
	t.WakeAt(now.Add(appendRetryInterval))
}

func appendID(record lentilmux.CallRecord) string {
	return string(record.Kind) + "/" + record.ID
}

// setOutcome sets the state of a call from its outcome. A trial's key is always
// released, since crashes are counted separately; a trial that was answered
// clears its fingerprint of suspicion.
func setOutcome(t *table.Tables, call *table.Call, outcome lentilmux.Outcome, reply lentilmux.ServiceReply, truncated bool) {
	call.Request = ""
	trial := strings.HasPrefix(call.Key, trialPrefix)
	if trial && outcome == lentilmux.OutcomeAnswered {
		t.CrashSuspects.Remove(strings.TrimPrefix(call.Key, trialPrefix))
	}
	switch {
	case trial || outcome == lentilmux.OutcomeNotRun:
		call.State = table.CallReleased
	case outcome == lentilmux.OutcomeAnswered:
		call.State = table.CallAnswered
		call.Reply = reply
		call.Truncated = truncated
	default:
		call.State = table.CallUnknown
	}
}

// resumeWaiting handles the requests that wait for the key once its outcome is
// known. They are answered from the call; if the key was released, the oldest
// of them claims it.
func resumeWaiting(t *table.Tables, now time.Time, key string) {
	call := t.Calls.Find(key)
	if call == nil {
		return
	}
	switch call.State {
	case table.CallReleased:
		if r := oldestWaiting(t, key); r != nil {
			r.PendingKey = ""
			advanceRequest(t, now, r)
		}
	case table.CallAnswered, table.CallUnknown:
		for r := oldestWaiting(t, key); r != nil; r = oldestWaiting(t, key) {
			answerFromCall(t, now, r, call)
		}
	}
}

// refuseMismatched refuses the requests that wait for the key but have another
// fingerprint than the request that holds it.
func refuseMismatched(t *table.Tables, now time.Time, key string) {
	call := t.Calls.Find(key)
	for i := len(t.Requests.Rows) - 1; i >= 0; i-- {
		if i >= len(t.Requests.Rows) {
			continue // refusing a request can remove others
		}
		r := &t.Requests.Rows[i]
		if r.PendingKey == key && r.Request.Fingerprint != call.Fingerprint {
			answerFromCall(t, now, r, call)
		}
	}
}

// answerFromCall answers a request from the recorded call of its key.
func answerFromCall(t *table.Tables, now time.Time, r *table.Request, call *table.Call) {
	switch {
	case call.Fingerprint != r.Request.Fingerprint:
		refuse(t, now, r, notRunRefusal(lentilmux.ReasonKeyReused, 0, "the key was used with another request"))
	case call.State == table.CallUnknown:
		refuse(t, now, r, unknownRefusal(lentilmux.ReasonOutcomeUnknown, 0, "a request with this key was started and its outcome is not known"))
	case call.Truncated:
		refuse(t, now, r, lentilmux.Refusal{
			Outcome: lentilmux.OutcomeAnswered, Reason: lentilmux.ReasonAnswerTooLarge,
			Detail: "a request with this key was answered; the answer was too large to keep",
		})
	default:
		t.Answer(r.CorrelationID, lentilmux.StoredReplyAnswer{Reply: call.Reply})
		t.RecordDecision(now, lentilmux.Decision{
			What: "recall", Subject: string(r.Request.ID), Chosen: "remembered_answer", Reason: "the key was answered before",
		})
		removeRequest(t, now, r, lentilmux.OutcomeNotRun, lentilmux.ServiceReply{})
	}
}

// claimKey appends an intent for the key, or joins the call that already holds
// it. A request that could only be served with a new intent is refused while
// the log is unavailable.
func claimKey(t *table.Tables, now time.Time, r *table.Request, key string) {
	r.PendingKey = key
	call := t.Calls.Find(key)
	if call != nil && call.State != table.CallReleased {
		setState(t, r, table.RequestJoined)
		if call.Fingerprint != r.Request.Fingerprint {
			answerFromCall(t, now, r, call)
			return
		}
		resumeWaiting(t, now, key)
		return
	}
	if mayHaveLostCall(t, r.Request, key) {
		refuse(t, now, r, lostCallRefusal())
		resumeWaiting(t, now, key)
		return
	}
	if !t.Streams.Calls.Healthy() || !t.Streams.Calls.CaughtUp {
		refuse(t, now, r, notRunRefusal(lentilmux.ReasonLogUnavailable, 2*time.Second, "the log is not available, so the call could not be shown to run once"))
		return
	}
	t.Self.LastCallRecord++
	record := lentilmux.CallRecord{
		Kind: lentilmux.CallRecordIntent, ID: fmt.Sprintf("%s-%d", t.Self.Incarnation, t.Self.LastCallRecord),
		VM: t.Self.Name, Incarnation: t.Self.Incarnation,
		Key: key, CreatedAt: r.Request.KeyCreatedAt, Fingerprint: r.Request.Fingerprint,
	}
	if record.CreatedAt.IsZero() {
		record.CreatedAt = now
	}
	releasedIntent := ""
	if call != nil {
		releasedIntent = call.IntentID
	}
	t.Calls.Put(table.Call{
		Key: key, State: table.CallClaiming, CreatedAt: record.CreatedAt, Fingerprint: record.Fingerprint,
		IntentID: releasedIntent, Request: r.Request.ID,
	})
	setState(t, r, table.RequestClaiming)
	r.QueuedAt = now
	appendCall(t, now, record)
}

// abandonClaim withdraws the claim of a request whose intent was not read back.
// The intent may still appear in the log; the key is then released or granted
// to another request that waits for it.
func abandonClaim(t *table.Tables, r *table.Request) {
	if call := t.Calls.Find(r.PendingKey); call != nil && call.Request == r.Request.ID {
		call.Request = ""
	}
}

// publishOutcome records the outcome of a held key in the log for the other VMs
// and, unless the call did not run, immediately in Calls.
func publishOutcome(t *table.Tables, now time.Time, key string, outcome lentilmux.Outcome, reply lentilmux.ServiceReply) {
	call := t.Calls.Find(key)
	if call == nil {
		return
	}
	truncated := len(reply.Body) > t.Limits.MaxAnswerBytes
	if truncated {
		reply.Body = nil
	}
	appendCall(t, now, lentilmux.CallRecord{
		Kind: lentilmux.CallRecordOutcome, ID: call.IntentID, VM: t.Self.Name, Incarnation: t.Self.Incarnation,
		Key: key, Outcome: outcome, Status: reply.Status, ContentType: reply.ContentType,
		Body: reply.Body, Truncated: truncated,
	})
	if outcome == lentilmux.OutcomeNotRun {
		return // the key is released when the record is read back, in log order
	}
	setOutcome(t, call, outcome, reply, truncated)
	resumeWaiting(t, now, key)
}
