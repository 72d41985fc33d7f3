package system

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

// maxAppendDoublings limits how many times the interval between two appends of
// a record doubles.
const maxAppendDoublings = 4

// sweepRowsPerTick is the maximum number of rows of Calls that a tick checks
// for expiry.
const sweepRowsPerTick = 64

// ClaimKeys keeps the table of idempotency keys in step with the calls stream
// of the log. It reads the pages that arrived and Peers and writes Calls,
// PendingAppends, CrashSuspects, the crash times of Upstreams, the stream's row
// and the requests that wait for a key.
//
// An entry VM runs a call with a key only after it has read its own intent back
// from the log and no earlier intent held the key. A key passes to another
// request only after the log states that the call did not run; no timeout alone
// passes it on. A VM that was paused and resumes therefore still holds its own
// keys, but those released in the log meanwhile, and no others. If requests wait
// for the key of a holder that is gone, their VM releases it in the log if the
// work may run again; otherwise the outcome becomes unknown.
type ClaimKeys struct{}

// Run implements [System].
func (s *ClaimKeys) Run(t *table.Tables, now time.Time) {
	for _, failure := range t.Events.LogFailures {
		if failure.Stream == lentilmux.StreamCalls && t.Streams.Calls.FailedAt.IsZero() {
			t.Streams.Calls.FailedAt = now
		}
	}
	for _, page := range t.Events.CallPages {
		s.readPage(t, now, page)
	}
	s.retryAppends(t, now)
	s.resolveLostOwners(t, now)
	s.sweepExpired(t, now)
}

// readPage applies a page of the calls stream and updates the stream's row.
func (s *ClaimKeys) readPage(t *table.Tables, now time.Time, page lentilmux.CallPageMsg) {
	row := &t.Streams.Calls
	if page.Timeline < row.Timeline {
		return // a late answer
	}
	if page.Timeline > row.Timeline {
		s.noteRestore(t, now, page)
	}
	s.noteLogGap(t, now, page)
	row.EverRead = true
	row.EndOffset = page.End
	row.ReadAt = now
	row.FailedAt = time.Time{}
	t.Self.LastContactAt = now
	for _, entry := range page.Entries {
		if entry.Offset < row.NextOffset {
			continue
		}
		row.NextOffset = entry.Offset + 1
		if entry.DecodeError == "" {
			s.applyRecord(t, now, entry)
		}
	}
	if row.NextOffset >= row.EndOffset {
		row.CaughtUp = true
	}
}

// noteLogGap detects entries that this node missed, because the log lost them
// or its retention removed them, and sets KnownSince to the time from which all
// entries are known.
func (s *ClaimKeys) noteLogGap(t *table.Tables, now time.Time, page lentilmux.CallPageMsg) {
	row := &t.Streams.Calls
	switch {
	case page.End < row.NextOffset:
		t.RecordDecision(now, lentilmux.Decision{
			What: "calls_log", Subject: "calls", Chosen: "refuse_older_keys",
			Reason: fmt.Sprintf("log ends at %d before offset %d", page.End, row.NextOffset),
		})
		row.NextOffset = page.End
		row.KnownSince = now
	case page.Start > row.NextOffset:
		row.NextOffset = page.Start
		row.KnownSince = now
		if len(page.Entries) > 0 {
			row.KnownSince = page.Entries[0].At
		}
	}
}

// retryAppends appends records again that were not read back, with backoff,
// since a failed append may or may not have taken effect. Duplicates are
// ignored by ID.
func (s *ClaimKeys) retryAppends(t *table.Tables, now time.Time) {
	if !t.Streams.Calls.Healthy() {
		return
	}
	for i := range t.PendingAppends.Rows {
		pending := &t.PendingAppends.Rows[i]
		wait := appendRetryInterval << min(pending.Tries, maxAppendDoublings)
		if now.Sub(pending.AppendedAt) >= wait {
			pending.AppendedAt = now
			pending.Tries++
			t.AddEffect(lentilmux.CallAppendEffect{Record: pending.Record})
		}
		t.WakeAt(pending.AppendedAt.Add(wait))
	}
}

// applyRecord applies one record of the log. Every VM applies the records in
// the same order with the same result.
func (s *ClaimKeys) applyRecord(t *table.Tables, now time.Time, entry lentilmux.CallEntry) {
	record := entry.Record
	t.PendingAppends.Remove(appendID(record))
	switch record.Kind {
	case lentilmux.CallRecordIntent:
		s.applyIntent(t, now, record)
		noteOffset(t, entry)
	case lentilmux.CallRecordOutcome:
		noteOffset(t, entry)
		s.applyOutcome(t, now, record)
	case lentilmux.CallRecordTimeline:
		s.noteTimelineRecord(t, entry)
	case lentilmux.CallRecordRelease:
		t.RecentCrashes.Add(table.CrashEntry{Offset: entry.Offset, Record: record})
		t.CrashSuspects.Remove(fingerprintText(record.Fingerprint))
	case lentilmux.CallRecordCrash:
		t.RecentCrashes.Add(table.CrashEntry{Offset: entry.Offset, Record: record})
		if u := t.Upstreams.Find(record.Upstream); u != nil {
			u.CrashedAt = now
		}
		addCrash(t, now, record.Fingerprint, record.Upstream)
		addPartCrashes(t, now, record.Parts, record.Upstream)
	}
}

// applyIntent grants the key to the first intent that names it. Later intents
// are ignored until the key is released.
func (s *ClaimKeys) applyIntent(t *table.Tables, now time.Time, record lentilmux.CallRecord) {
	call := t.Calls.Find(record.Key)
	if call != nil && !claimable(call, record.ID) {
		s.joinHolder(t, now, record.Key)
		return
	}
	own := record.Incarnation == t.Self.Incarnation
	claimant := lentilmux.RequestID("")
	if call != nil {
		claimant = call.Request
	}
	t.Calls.Put(table.Call{
		Key: record.Key, State: table.CallRunning, CreatedAt: record.CreatedAt, Fingerprint: record.Fingerprint,
		IntentID: record.ID, VM: record.VM, Incarnation: record.Incarnation, Request: claimant,
	})
	if own {
		s.grantKey(t, now, record, claimant)
		return
	}
	s.joinHolder(t, now, record.Key)
}

// claimable reports whether the intent with the ID may take the key of call. A
// duplicate of the intent whose call was released may not.
func claimable(call *table.Call, id string) bool {
	switch call.State {
	case table.CallClaiming, table.CallReleased:
		return call.IntentID != id
	default:
		return false
	}
}

// grantKey gives the key of this node's winning intent to a request that waits
// for it: the one that claimed it, else one that joined. If there is none, the
// key is released in the log.
func (s *ClaimKeys) grantKey(t *table.Tables, now time.Time, record lentilmux.CallRecord, claimant lentilmux.RequestID) {
	r := t.Requests.Find(string(claimant))
	if r == nil || r.PendingKey != record.Key {
		r = oldestWaiting(t, record.Key)
	}
	if r == nil {
		publishOutcome(t, now, record.Key, lentilmux.OutcomeNotRun, lentilmux.ServiceReply{})
		return
	}
	t.Calls.Find(record.Key).Request = r.Request.ID
	r.PendingKey = ""
	r.HeldKeys = append(r.HeldKeys, record.Key)
	t.RecordDecision(now, lentilmux.Decision{
		What: "claim", Subject: string(r.Request.ID), Chosen: record.Key, Reason: "first intent in the log",
	})
	advanceRequest(t, now, r)
}

// oldestWaiting returns the oldest request that waits for the key, or nil.
func oldestWaiting(t *table.Tables, key string) *table.Request {
	var oldest *table.Request
	for i := range t.Requests.Rows {
		r := &t.Requests.Rows[i]
		if r.PendingKey == key && (oldest == nil || r.ArrivedAt.Before(oldest.ArrivedAt)) {
			oldest = r
		}
	}
	return oldest
}

// joinHolder makes the requests that claim the key wait for its holder, and
// resumes them if the outcome is already known.
func (s *ClaimKeys) joinHolder(t *table.Tables, now time.Time, key string) {
	for i := range t.Requests.Rows {
		r := &t.Requests.Rows[i]
		if r.PendingKey == key && r.State == table.RequestClaiming {
			setState(t, r, table.RequestJoined)
		}
	}
	refuseMismatched(t, now, key)
	resumeWaiting(t, now, key)
}

// applyOutcome applies an outcome to the call if it names the call's winning
// intent. A reply that no caller can be given, which an older build may have stored,
// leaves the outcome unknown.
func (s *ClaimKeys) applyOutcome(t *table.Tables, now time.Time, record lentilmux.CallRecord) {
	call := t.Calls.Find(record.Key)
	if call == nil || call.IntentID != record.ID {
		return
	}
	if call.State != table.CallRunning && call.State != table.CallUnknown {
		return
	}
	reply := lentilmux.ServiceReply{Status: record.Status, ContentType: record.ContentType, Body: record.Body}
	outcome := record.Outcome
	if outcome == lentilmux.OutcomeAnswered && !reply.HasFinalStatus() {
		outcome = lentilmux.OutcomeUnknown
		t.RecordDecision(now, lentilmux.Decision{What: "reply_ignored", Subject: record.Key, Chosen: outcome.String(), Reason: fmt.Sprintf("the stored reply has the status %d", record.Status)})
	}
	setOutcome(t, call, outcome, reply, record.Truncated)
	resumeWaiting(t, now, record.Key)
}

// resolveLostOwners ends the running calls whose holder is gone and for which
// requests wait. Their outcome becomes unknown. If the work may run again, or
// the key is that of a trial, the key is released through the log instead, so
// that all VMs release it alike.
func (s *ClaimKeys) resolveLostOwners(t *table.Tables, now time.Time) {
	var lostKeys []string
	for i := range t.Requests.Rows {
		r := &t.Requests.Rows[i]
		if r.State != table.RequestJoined {
			continue
		}
		call := t.Calls.Find(r.PendingKey)
		if call != nil && call.State == table.CallRunning && s.ownerLost(t, now, call) {
			lostKeys = append(lostKeys, call.Key)
		}
	}
	for _, key := range slices.Compact(lostKeys) {
		call := t.Calls.Find(key)
		if call.State != table.CallRunning {
			continue
		}
		r := oldestWaiting(t, key)
		mayRunAgain := r.Request.Fingerprint == call.Fingerprint && repeatable(t, r)
		if mayRunAgain || strings.HasPrefix(key, trialPrefix) {
			s.releaseLostCall(t, now, call)
			continue
		}
		setOutcome(t, call, lentilmux.OutcomeUnknown, lentilmux.ServiceReply{}, false)
		t.RecordDecision(now, lentilmux.Decision{What: "owner_lost", Subject: key, Chosen: "unknown", Reason: "VM " + call.VM + " is gone"})
		resumeWaiting(t, now, key)
	}
}

// releaseLostCall records in the log that the call of a lost holder may run
// again.
func (s *ClaimKeys) releaseLostCall(t *table.Tables, now time.Time, call *table.Call) {
	record := lentilmux.CallRecord{
		Kind: lentilmux.CallRecordOutcome, ID: call.IntentID, VM: t.Self.Name, Incarnation: t.Self.Incarnation,
		Key: call.Key, Outcome: lentilmux.OutcomeNotRun,
	}
	if t.PendingAppends.Find(appendID(record)) != nil {
		return
	}
	t.RecordDecision(now, lentilmux.Decision{What: "owner_lost", Subject: call.Key, Chosen: "freed", Reason: "VM " + call.VM + " is gone and the work may run again"})
	appendCall(t, now, record)
}

// ownerLost reports whether the VM that holds the call is gone or has restarted
// since.
func (s *ClaimKeys) ownerLost(t *table.Tables, now time.Time, call *table.Call) bool {
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
	if !p.LastDigestAt.IsZero() && p.Digest.Incarnation != call.Incarnation {
		return true
	}
	lastDigestAt := p.LastDigestAt
	if lastDigestAt.IsZero() {
		lastDigestAt = t.Self.StartedAt
	}
	return now.Sub(lastDigestAt) >= t.Limits.OwnerTimeout
}

// sweepExpired removes calls whose keys are too old to be accepted again.
func (s *ClaimKeys) sweepExpired(t *table.Tables, now time.Time) {
	retention := t.Limits.KeyWindow + 2*t.Limits.ClockSkew
	for range min(sweepRowsPerTick, len(t.Calls.Rows)) {
		t.Calls.SweepRow++
		if t.Calls.SweepRow >= len(t.Calls.Rows) {
			t.Calls.SweepRow = 0
		}
		if call := &t.Calls.Rows[t.Calls.SweepRow]; now.Sub(call.CreatedAt) > retention {
			t.Calls.Remove(call.Key)
		}
		if len(t.Calls.Rows) == 0 {
			return
		}
	}
}
