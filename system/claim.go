package system

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

// sweepRows is how many rows of Calls are checked for their age in a tick.
const sweepRows = 64

// Claim keeps the table of keyed calls equal to the log's. It reads the pages
// that arrived and writes Calls, Appends, Suspects and the requests that wait
// for a key.
//
// An entry VM runs a keyed call only after it has read its own intent back from
// the log and no earlier intent held the key. A key has one holder for good: a
// VM that pauses and wakes still holds its own keys and nobody else's. A key
// passes on only after its holder has stated in the log that the call did not
// run.
type Claim struct{}

// Run implements [System].
func (s *Claim) Run(t *table.Tables, now time.Time) {
	for _, failure := range t.Events.LogFailures {
		if failure.Stream == lentilmux.StreamCalls && t.Streams.Calls.FailedAt.IsZero() {
			t.Streams.Calls.FailedAt = now
		}
	}
	for _, page := range t.Events.CallPages {
		s.read(t, now, page)
	}
	s.repeat(t, now)
	s.findLostOwners(t, now)
	s.sweep(t, now)
}

// read takes a page of the log in.
func (s *Claim) read(t *table.Tables, now time.Time, page lentilmux.CallPageMsg) {
	row := &t.Streams.Calls
	s.noteGap(t, now, page)
	row.Seen = true
	row.End = page.End
	row.ReadAt = now
	row.FailedAt = time.Time{}
	t.Self.Contact = now
	for _, entry := range page.Entries {
		if entry.Offset < row.Next {
			continue
		}
		row.Next = entry.Offset + 1
		if entry.Bad == "" {
			s.apply(t, now, entry.Record)
		}
	}
	if row.Next >= row.End {
		row.CaughtUp = true
	}
}

// noteGap moves the time since which all entries are known when the page shows
// that some were missed.
func (s *Claim) noteGap(t *table.Tables, now time.Time, page lentilmux.CallPageMsg) {
	row := &t.Streams.Calls
	switch {
	case page.End < row.Next:
		t.Decide(now, lentilmux.Decision{
			What: "calls_log", Subject: "calls", Chosen: "refuse_older_keys",
			Reason: fmt.Sprintf("log ends at %d before offset %d", page.End, row.Next),
		})
		row.Next = page.End
		row.KnownSince = now
	case page.Start > row.Next:
		row.Next = page.Start
		row.KnownSince = now
		if len(page.Entries) > 0 {
			row.KnownSince = page.Entries[0].At
		}
	}
}

// repeat appends records again that were not read back, since an append that
// failed may or may not have taken effect. A record counts once by its ID.
func (s *Claim) repeat(t *table.Tables, now time.Time) {
	if !t.Streams.Calls.Healthy() {
		return
	}
	for i := range t.Appends.Rows {
		pending := &t.Appends.Rows[i]
		if now.Sub(pending.AppendedAt) >= appendEvery {
			pending.AppendedAt = now
			t.Add(lentilmux.CallAppendEffect{Record: pending.Record})
		}
		t.WakeAt(pending.AppendedAt.Add(appendEvery))
	}
}

// appendCall appends a record and keeps it until it is read back.
func appendCall(t *table.Tables, now time.Time, record lentilmux.CallRecord) {
	t.Appends.Put(table.Append{ID: appendID(record), Record: record, AppendedAt: now})
	t.Add(lentilmux.CallAppendEffect{Record: record})
	t.WakeAt(now.Add(appendEvery))
}

func appendID(record lentilmux.CallRecord) string {
	return string(record.Kind) + "/" + record.ID
}

// apply decides one record, alike on every VM.
func (s *Claim) apply(t *table.Tables, now time.Time, record lentilmux.CallRecord) {
	t.Appends.Remove(appendID(record))
	switch record.Kind {
	case lentilmux.CallIntent:
		s.intent(t, now, record)
	case lentilmux.CallOutcome:
		s.outcome(t, now, record)
	case lentilmux.CallRelease:
		t.Suspects.Remove(fingerprintText(record.Fingerprint))
	case lentilmux.CallCrash:
		if u := t.Upstreams.Find(record.Upstream); u != nil {
			u.CrashedAt = now
		}
		noteCrash(t, now, record.Fingerprint, record.Upstream)
	}
}

// intent gives the key to the first intent that names it. A later one is
// ignored unless the holder has released the key.
func (s *Claim) intent(t *table.Tables, now time.Time, record lentilmux.CallRecord) {
	call := t.Calls.Find(record.Key)
	if call != nil && !free(call, record.ID) {
		s.join(t, now, record.Key)
		return
	}
	own := record.Incarnation == t.Self.Incarnation
	claimant := lentilmux.RequestID("")
	if call != nil {
		claimant = call.Request
	}
	t.Calls.Put(table.Call{
		Key: record.Key, State: table.CallRunning, Born: record.Born, Fingerprint: record.Fingerprint,
		Intent: record.ID, VM: record.VM, Incarnation: record.Incarnation, Request: claimant,
	})
	if own {
		s.won(t, now, record, claimant)
		return
	}
	s.join(t, now, record.Key)
}

// free reports whether an intent may take the key of call.
func free(call *table.Call, id string) bool {
	switch call.State {
	case table.CallClaiming, table.CallReleased:
		return call.Intent != id
	default:
		return false
	}
}

// won hands an own winning intent to a request that waits for its key: the
// one that claimed it, else one that joined. Without one the key is released.
func (s *Claim) won(t *table.Tables, now time.Time, record lentilmux.CallRecord, claimant lentilmux.RequestID) {
	r := t.Requests.Find(string(claimant))
	if r == nil || r.Claiming != record.Key {
		r = nextWaiting(t, record.Key)
	}
	if r == nil {
		closeCall(t, now, record.Key, lentilmux.OutcomeNotRun, lentilmux.ServiceReply{})
		return
	}
	t.Calls.Find(record.Key).Request = r.Request.ID
	r.Claiming = ""
	r.Held = append(r.Held, record.Key)
	t.Decide(now, lentilmux.Decision{
		What: "claim", Subject: string(r.Request.ID), Chosen: record.Key, Reason: "first intent in the log",
	})
	proceed(t, now, r)
}

// nextWaiting returns the oldest request that waits for the key, or nil.
func nextWaiting(t *table.Tables, key string) *table.Request {
	var oldest *table.Request
	for i := range t.Requests.Rows {
		r := &t.Requests.Rows[i]
		if r.Claiming == key && (oldest == nil || r.ArrivedAt.Before(oldest.ArrivedAt)) {
			oldest = r
		}
	}
	return oldest
}

// join makes the requests that claim the key wait for its holder, and settles
// them if the outcome is known.
func (s *Claim) join(t *table.Tables, now time.Time, key string) {
	for i := range t.Requests.Rows {
		r := &t.Requests.Rows[i]
		if r.Claiming == key && r.State == table.RequestClaiming {
			setState(t, r, table.RequestJoined)
		}
	}
	settle(t, now, key)
}

// outcome closes the winning intent that the record names.
func (s *Claim) outcome(t *table.Tables, now time.Time, record lentilmux.CallRecord) {
	call := t.Calls.Find(record.Key)
	if call == nil || call.Intent != record.ID {
		return
	}
	if call.State != table.CallRunning && call.State != table.CallUnknown {
		return
	}
	reply := lentilmux.ServiceReply{Status: record.Status, ContentType: record.ContentType, Body: record.Body}
	setOutcome(t, call, record.Outcome, reply, record.Truncated)
	settle(t, now, record.Key)
}

// setOutcome moves a call to the state that an outcome leads to. The key of a
// trial is free again after it, whatever came out, since crashes are counted
// apart.
func setOutcome(t *table.Tables, call *table.Call, outcome lentilmux.Outcome, reply lentilmux.ServiceReply, truncated bool) {
	call.Request = ""
	trial := strings.HasPrefix(call.Key, trialPrefix)
	if trial && outcome == lentilmux.OutcomeAnswered {
		t.Suspects.Remove(strings.TrimPrefix(call.Key, trialPrefix))
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

// settle answers the requests that joined the key, if its outcome is known. Of
// those that waited for a released key one claims it anew.
func settle(t *table.Tables, now time.Time, key string) {
	call := t.Calls.Find(key)
	if call == nil {
		return
	}
	switch call.State {
	case table.CallReleased:
		if r := nextWaiting(t, key); r != nil {
			r.Claiming = ""
			proceed(t, now, r)
		}
	case table.CallAnswered, table.CallUnknown:
		for r := nextWaiting(t, key); r != nil; r = nextWaiting(t, key) {
			recall(t, now, r, call)
		}
	}
}

// recall answers a request with what is known of its key.
func recall(t *table.Tables, now time.Time, r *table.Request, call *table.Call) {
	switch {
	case call.Fingerprint != r.Request.Fingerprint:
		refuse(t, now, r, notRun(lentilmux.ReasonKeyReused, 0, "the key was used with another request"))
	case call.State == table.CallUnknown:
		refuse(t, now, r, unknown(lentilmux.ReasonOutcomeUnknown, 0, "a request with this key was started and its outcome is not known"))
	case call.Truncated:
		refuse(t, now, r, lentilmux.Refusal{
			Outcome: lentilmux.OutcomeAnswered, Reason: lentilmux.ReasonAnswerTooLarge,
			Detail: "a request with this key was answered; the answer was too large to keep",
		})
	default:
		t.Answer(r.Ticket, lentilmux.RememberedAnswer{Reply: call.Reply})
		t.Decide(now, lentilmux.Decision{
			What: "recall", Subject: string(r.Request.ID), Chosen: "remembered_answer", Reason: "the key was answered before",
		})
		remove(t, now, r, lentilmux.OutcomeNotRun, lentilmux.ServiceReply{})
	}
}

// claim appends an intent for the key, or joins the call that has it.
func claim(t *table.Tables, now time.Time, r *table.Request, key string) {
	r.Claiming = key
	call := t.Calls.Find(key)
	if call != nil && call.State != table.CallReleased {
		setState(t, r, table.RequestJoined)
		if call.Fingerprint != r.Request.Fingerprint {
			recall(t, now, r, call)
			return
		}
		settle(t, now, key)
		return
	}
	if !t.Streams.Calls.Healthy() || !t.Streams.Calls.CaughtUp {
		refuse(t, now, r, notRun(lentilmux.ReasonLogUnavailable, 2*time.Second, "the log is not available, so the call could not be shown to run once"))
		return
	}
	t.Self.LastIntent++
	record := lentilmux.CallRecord{
		Kind: lentilmux.CallIntent, ID: fmt.Sprintf("%s-%d", t.Self.Incarnation, t.Self.LastIntent),
		VM: t.Self.Name, Incarnation: t.Self.Incarnation,
		Key: key, Born: r.Request.Born, Fingerprint: r.Request.Fingerprint,
	}
	if record.Born.IsZero() {
		record.Born = now
	}
	released := ""
	if call != nil {
		released = call.Intent
	}
	t.Calls.Put(table.Call{
		Key: key, State: table.CallClaiming, Born: record.Born, Fingerprint: record.Fingerprint,
		Intent: released, Request: r.Request.ID,
	})
	setState(t, r, table.RequestClaiming)
	r.QueuedAt = now
	appendCall(t, now, record)
}

// abandon gives up a claim that was not read back yet. Its intent may still
// turn up in the log; then the key is released or handed to another request.
func abandon(t *table.Tables, r *table.Request) {
	if call := t.Calls.Find(r.Claiming); call != nil && call.Request == r.Request.ID {
		call.Request = ""
	}
}

// closeCall states the outcome of a held key, here at once and in the log for
// the others.
func closeCall(t *table.Tables, now time.Time, key string, outcome lentilmux.Outcome, reply lentilmux.ServiceReply) {
	call := t.Calls.Find(key)
	if call == nil {
		return
	}
	truncated := len(reply.Body) > t.Limits.AnswerMost
	if truncated {
		reply.Body = nil
	}
	appendCall(t, now, lentilmux.CallRecord{
		Kind: lentilmux.CallOutcome, ID: call.Intent, VM: t.Self.Name, Incarnation: t.Self.Incarnation,
		Key: key, Outcome: outcome, Status: reply.Status, ContentType: reply.ContentType,
		Body: reply.Body, Truncated: truncated,
	})
	if outcome == lentilmux.OutcomeNotRun {
		return // freed when the record is read back, in log order
	}
	setOutcome(t, call, outcome, reply, truncated)
	settle(t, now, key)
}

// findLostOwners settles as unknown the calls that requests wait for and whose
// holder is gone.
func (s *Claim) findLostOwners(t *table.Tables, now time.Time) {
	var lost []string
	for i := range t.Requests.Rows {
		r := &t.Requests.Rows[i]
		if r.State != table.RequestJoined {
			continue
		}
		call := t.Calls.Find(r.Claiming)
		if call != nil && call.State == table.CallRunning && s.ownerLost(t, now, call) {
			lost = append(lost, call.Key)
		}
	}
	for _, key := range slices.Compact(lost) {
		call := t.Calls.Find(key)
		if call.State != table.CallRunning {
			continue
		}
		setOutcome(t, call, lentilmux.OutcomeUnknown, lentilmux.ServiceReply{}, false)
		t.Decide(now, lentilmux.Decision{What: "owner_lost", Subject: key, Chosen: "unknown", Reason: "VM " + call.VM + " is gone"})
		settle(t, now, key)
	}
}

// ownerLost reports whether the VM that holds the call is gone or was started
// anew since.
func (s *Claim) ownerLost(t *table.Tables, now time.Time, call *table.Call) bool {
	if call.Incarnation == t.Self.Incarnation {
		return false
	}
	if call.VM == t.Self.Name {
		return true
	}
	p := t.Peers.Find(call.VM)
	if p == nil {
		return now.Sub(t.Self.StartedAt) >= t.Limits.OwnerTimeout
	}
	if !p.HeardAt.IsZero() && p.Digest.Incarnation != call.Incarnation {
		return true
	}
	heard := p.HeardAt
	if heard.IsZero() {
		heard = t.Self.StartedAt
	}
	return now.Sub(heard) >= t.Limits.OwnerTimeout
}

// sweep forgets calls whose keys are too old to be accepted again.
func (s *Claim) sweep(t *table.Tables, now time.Time) {
	keep := t.Limits.KeyWindow + 2*t.Limits.ClockSkew
	for range min(sweepRows, len(t.Calls.Rows)) {
		t.Calls.Sweep++
		if t.Calls.Sweep >= len(t.Calls.Rows) {
			t.Calls.Sweep = 0
		}
		if call := &t.Calls.Rows[t.Calls.Sweep]; now.Sub(call.Born) > keep {
			t.Calls.Remove(call.Key)
		}
		if len(t.Calls.Rows) == 0 {
			return
		}
	}
}
