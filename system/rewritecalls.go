package system

import (
	"fmt"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

// A calls stream that was restored from an earlier copy can lack intents and
// outcomes that VMs have acted on, also some that this node never read. Each VM
// therefore keeps what it knows and appends the lost records again, the VM with the
// lowest name first. Keys from before the restore that a VM knows nothing of are
// refused.

// rewriteInterval is the time that each VM waits longer than the one before it with
// appending lost records again.
const rewriteInterval = 500 * time.Millisecond

// noteRestore begins the timeline of a page.
func (s *ClaimKeys) noteRestore(t *table.Tables, now time.Time, page lentilmux.CallPageMsg) {
	row := &t.Streams.Calls
	if row.EverRead {
		recordRestore(t, now, lentilmux.StreamCalls, row, page.Timeline, page.RestoredAt)
		s.rewriteLost(t, now, page.RestoredAt)
		row.NextOffset = min(row.NextOffset, page.RestoredAt)
	}
	row.Timeline = page.Timeline
	row.KnownSince = now
	if !row.EverRead {
		row.AssumedSince = now
	}
	s.rewrite(t, now, lentilmux.CallRecord{
		Kind: lentilmux.CallRecordTimeline, ID: fmt.Sprint(page.Timeline), VM: t.Self.Name, Incarnation: t.Self.Incarnation, Timeline: page.Timeline,
	})
	s.refuseClaims(t, now)
}

// noteTimelineRecord corrects the time from which a node that started after the
// restore knows all calls.
func (s *ClaimKeys) noteTimelineRecord(t *table.Tables, entry lentilmux.CallEntry) {
	row := &t.Streams.Calls
	if entry.Record.Timeline != row.Timeline || row.AssumedSince.IsZero() {
		return
	}
	if row.KnownSince.Equal(row.AssumedSince) {
		row.KnownSince = entry.At
	}
	row.AssumedSince = time.Time{}
}

// noteOffset notes the offset of the intent that holds a key, or of its outcome.
func noteOffset(t *table.Tables, entry lentilmux.CallEntry) {
	call := t.Calls.Find(entry.Record.Key)
	if call == nil || call.IntentID != entry.Record.ID {
		return
	}
	if entry.Record.Kind == lentilmux.CallRecordIntent {
		call.IntentOffset = entry.Offset
		return
	}
	call.OutcomeOffset = entry.Offset
}

// rewriteLost appends the records again that the stream has lost from an offset on.
// It leaves out intents of released keys, which nothing holds any more.
func (s *ClaimKeys) rewriteLost(t *table.Tables, now time.Time, from uint64) {
	for i := range t.Calls.Rows {
		call := &t.Calls.Rows[i]
		if call.IntentOffset >= from && holdsKey(call) {
			s.rewrite(t, now, intentRecord(call))
		}
		if call.OutcomeOffset >= from && call.OutcomeOffset > 0 {
			s.rewrite(t, now, outcomeRecord(call))
		}
	}
	for _, crash := range t.RecentCrashes.Rows {
		if crash.Offset >= from {
			s.rewrite(t, now, crash.Record)
		}
	}
}

// rewrite appends a record, unless another VM has done so before it is this node's
// turn.
func (s *ClaimKeys) rewrite(t *table.Tables, now time.Time, record lentilmux.CallRecord) {
	if t.PendingAppends.Find(appendID(record)) != nil {
		return
	}
	turn := now.Add(time.Duration(countLowerNames(t, now)) * rewriteInterval)
	t.PendingAppends.Put(table.PendingAppend{ID: appendID(record), Record: record, AppendedAt: turn.Add(-appendRetryInterval)})
	t.WakeAt(turn)
}

// countLowerNames returns the number of entry VMs with a lower name than this
// node's whose digests arrived within the owner timeout.
func countLowerNames(t *table.Tables, now time.Time) (count int) {
	for i := range t.Peers.Rows {
		p := &t.Peers.Rows[i]
		if p.Name < t.Self.Name && now.Sub(p.LastDigestAt) < t.Limits.OwnerTimeout {
			count++
		}
	}
	return count
}

// holdsKey reports whether no other intent may take the key of call.
func holdsKey(call *table.Call) bool {
	switch call.State {
	case table.CallRunning, table.CallAnswered, table.CallUnknown:
		return true
	default:
		return false
	}
}

// intentRecord returns the record of the call's winning intent.
func intentRecord(call *table.Call) lentilmux.CallRecord {
	return lentilmux.CallRecord{
		Kind: lentilmux.CallRecordIntent, ID: call.IntentID, VM: call.VM, Incarnation: call.Incarnation,
		Key: call.Key, CreatedAt: call.CreatedAt, Fingerprint: call.Fingerprint,
	}
}

// outcomeRecord returns the record of the call's outcome.
func outcomeRecord(call *table.Call) lentilmux.CallRecord {
	record := lentilmux.CallRecord{
		Kind: lentilmux.CallRecordOutcome, ID: call.IntentID, VM: call.VM, Incarnation: call.Incarnation,
		Key: call.Key, Outcome: lentilmux.OutcomeUnknown,
	}
	switch call.State {
	case table.CallReleased, table.CallClaiming:
		record.Outcome = lentilmux.OutcomeNotRun
	case table.CallAnswered:
		record.Outcome = lentilmux.OutcomeAnswered
		record.Status, record.ContentType, record.Body = call.Reply.Status, call.Reply.ContentType, call.Reply.Body
		record.Truncated = call.Truncated
	}
	return record
}

// refuseClaims refuses the requests that wait for the intents of keys from before
// the restore: another VM may have run them and its records may be lost.
func (s *ClaimKeys) refuseClaims(t *table.Tables, now time.Time) {
	for i := len(t.Requests.Rows) - 1; i >= 0; i-- {
		if i >= len(t.Requests.Rows) {
			continue // refusing a request can remove others
		}
		r := &t.Requests.Rows[i]
		call := t.Calls.Find(r.PendingKey)
		if call != nil && call.State == table.CallClaiming && mayHaveLostCall(t, r.Request, r.PendingKey) {
			refuse(t, now, r, lostCallRefusal())
		}
	}
}

// mayHaveLostCall reports whether a call with the request's idempotency key may have
// run without this node knowing, because the log has lost its records.
func mayHaveLostCall(t *table.Tables, request lentilmux.Request, key string) bool {
	knownSince := t.Streams.Calls.KnownSince
	if request.Key == "" || key != callKey(request) || request.FirstWithKey || knownSince.IsZero() {
		return false
	}
	return request.KeyCreatedAt.Before(knownSince.Add(t.Limits.ClockSkew))
}

func lostCallRefusal() lentilmux.Refusal {
	return notRunRefusal(lentilmux.ReasonKeyExpired, 0, "the key is older than what the log still tells")
}
