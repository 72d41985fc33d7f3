package fleet

import (
	"fmt"
	"slices"
	"time"

	"lentilmux.example/lentilmux"
)

// One part of a prompt can crash each upstream that begins to answer it, whatever
// else the request holds. Such requests are not alike, so the part is found by
// what they share. A part is suspected when an upstream crashes before it began to
// answer a request with it, and cleared when any upstream begins to answer one.
// The crashes in a row are counted over all VMs: an attempt adds one to those that
// were known when it was sent, so that several upstreams that die together count
// once. After MaxCrashes in a row the part is held: requests with it are refused.

// trialInterval is the time between two trials of one VM with a part whose hold
// has ended.
const trialInterval = 2 * time.Second

// storeHoldInterval is the time after which a hold that was not read back from
// the store is written again.
const storeHoldInterval = 5 * time.Second

// TrackPartCrashes finds prompt parts that crash upstreams. It reads
// Events.Digests, Events.FailedAttempts, Events.PartReleases and Requests and
// writes PartSuspects.
type TrackPartCrashes struct{}

// Run implements [System].
func (c *TrackPartCrashes) Run(t *Tables, now time.Time) {
	for _, digest := range t.Events.Digests {
		if digest.VM == t.Self.Name {
			continue
		}
		for _, suspicion := range digest.Parts {
			t.mergeSuspicion(suspicion, digest.VM, now)
		}
	}
	for _, failed := range t.Events.FailedAttempts {
		if request := t.Requests.Find(failed.Request); request != nil && request.Epoch == failed.Epoch && isUnansweredCrash(request, failed) {
			c.recordCrash(t, request, now)
		}
	}
	for _, release := range t.Events.PartReleases {
		c.release(t, release, now)
	}
	if len(t.PartSuspects.Rows) > 0 {
		c.storeHolds(t, now)
		c.expire(t, now)
	}
	t.publishHeldParts()
}

// isUnansweredCrash reports whether the upstream of an attempt crashed before it
// began to answer.
func isUnansweredCrash(request *RequestRow, failed FailedAttemptRow) bool {
	return failed.Kind == lentilmux.FailureCrash && !failed.NotRun && !failed.Answered && !request.AnswerStarted
}

// recordCrash counts a crash against the parts of a request, and holds one of them
// if that makes enough in a row. If one is held already, it explains the crash.
func (c *TrackPartCrashes) recordCrash(t *Tables, request *RequestRow, now time.Time) {
	var candidate *PartSuspectRow
	for i, part := range request.SharedParts {
		if row := t.PartSuspects.Find(part); row != nil && row.Held {
			row.countCrash(request.partEvidence(i), now)
			return
		}
	}
	for i, part := range request.SharedParts {
		row := t.PartSuspects.GetOrCreate(part)
		row.countCrash(request.partEvidence(i), now)
		needed := t.Limits.MaxCrashes
		if t.PartSuspects.Sound.contains(part, now, t.Limits.SoundPartWindow) {
			needed = 2 * t.Limits.MaxCrashes
		}
		if row.Crashes < needed {
			continue
		}
		// Of several candidates, the last one is held, which fewer sound requests
		// have. If it is not the cause, the next crash shows that.
		if candidate != nil {
			candidate.Crashes = min(candidate.Crashes, t.Limits.MaxCrashes-1)
		}
		candidate = row
	}
	t.NewSuspects = t.NewSuspects || len(request.SharedParts) > 0 // peers must learn of the crash
	if candidate != nil {
		candidate.MustStore = true
		t.hold(candidate, fmt.Sprintf("%d upstreams crashed in a row, the last one %s by request %s", candidate.Crashes, request.LastUpstream, request.ID))
	}
}

// partEvidence returns what was known of a shared part when the last attempt of
// the request was sent.
func (r *RequestRow) partEvidence(i int) PartEvidence {
	if r.PartsAtSend == nil {
		return PartEvidence{}
	}
	return r.PartsAtSend[i]
}

// countCrash adds a crash to those that were known when the attempt was sent. An
// attempt that was sent before the part was last cleared counts as the first.
func (p *PartSuspectRow) countCrash(atSend PartEvidence, now time.Time) {
	crashes := 1
	if atSend.Clears == p.Clears {
		crashes = atSend.Crashes + 1
	}
	p.Crashes, p.LastCrashAt, p.ChangedAt = max(p.Crashes, crashes), now, now
}

// hold starts to refuse requests with a part.
func (t *Tables) hold(row *PartSuspectRow, reason string) {
	row.Held = true
	t.NewSuspects, t.PartSuspects.heldChanged = true, true
	t.RecordDecision(lentilmux.Decision{What: "part_held", Subject: row.Part.String(), Chosen: t.holdDuration(row.Crashes).String(), Reason: reason})
}

// holdDuration returns for how long a part is held after the last of a number of
// crashes in a row.
func (t *Tables) holdDuration(crashes int) time.Duration {
	duration := t.Limits.BasePartHold
	for i := t.Limits.MaxCrashes; i < crashes && duration < t.Limits.MaxPartHold; i++ {
		duration *= 2
	}
	return min(duration, t.Limits.MaxPartHold)
}

// heldPart returns the first of the parts that is held, or nil. When a hold has
// ended, one request passes as a trial in each trialInterval.
func (t *Tables) heldPart(parts []lentilmux.PromptPart, now time.Time) *PartSuspectRow {
	for _, part := range parts {
		row := t.PartSuspects.Find(part)
		if row != nil && row.Held && (now.Before(row.LastCrashAt.Add(t.holdDuration(row.Crashes))) || now.Sub(row.TrialAt) < trialInterval) {
			return row
		}
	}
	return nil
}

// heldPartRefusal returns the refusal of a request with a held part.
func (t *Tables) heldPartRefusal(row *PartSuspectRow, now time.Time) *lentilmux.Refusal {
	refusal := t.notRunRefusal(lentilmux.ReasonQuarantined, fmt.Sprintf("prompt part %s crashed %d upstreams in a row", row.Part, row.Crashes))
	refusal.RetryAfter = max(row.LastCrashAt.Add(t.holdDuration(row.Crashes)).Sub(now), trialInterval)
	return refusal
}

// startTrial records what is known of a request's parts as an attempt is sent. If
// one of them is suspected, the attempt is a trial, and no other request starts at
// its upstream: a crash then tells which of them is the cause.
func (t *Tables) startTrial(request *RequestRow, now time.Time) {
	request.PartsAtSend = t.PartSuspects.evidence(request.SharedParts)
	if !slices.ContainsFunc(request.PartsAtSend, func(e PartEvidence) bool { return e.Crashes > 0 }) {
		return
	}
	for _, part := range request.SharedParts {
		if row := t.PartSuspects.Find(part); row != nil && row.Held {
			row.TrialAt = now
			t.RecordDecision(lentilmux.Decision{What: "part_tried", Subject: part.String(), Chosen: request.LastUpstream, Reason: "the hold has ended, request " + string(request.ID)})
		}
	}
	if row := t.Upstreams.Find(request.LastUpstream); row != nil {
		request.TrialUpstream = row.ID
		row.Trials++
	}
}

// endTrial ends the trial of a request, if there is one.
func (t *Tables) endTrial(request *RequestRow) {
	if request.TrialUpstream == "" {
		return
	}
	if row := t.Upstreams.Find(request.TrialUpstream); row != nil {
		row.Trials = max(row.Trials-1, 0)
	}
	request.TrialUpstream = ""
}

// clearParts records that an upstream began to answer a request: its parts do not
// crash upstreams.
func (t *Tables) clearParts(request *RequestRow, now time.Time) {
	for _, part := range request.SharedParts {
		t.PartSuspects.Sound.record(part, now, t.Limits.SoundPartWindow)
		if row := t.PartSuspects.Find(part); row != nil && row.Crashes > 0 {
			t.clearPart(row, "request "+string(request.ID)+" was answered", now)
		}
	}
}

// clearPart ends the suspicion of a part on all VMs.
func (t *Tables) clearPart(row *PartSuspectRow, reason string, now time.Time) {
	if row.Held {
		t.RecordDecision(lentilmux.Decision{What: "part_released", Subject: row.Part.String(), Reason: reason})
		t.AddEffect(lentilmux.PutEffect{Stream: lentilmux.StreamVMs, Key: lentilmux.HeldPartKey(row.Part)})
		t.NewSuspects, t.PartSuspects.heldChanged = true, true
	}
	row.Clears++
	row.Crashes, row.Held, row.MustStore, row.ChangedAt = 0, false, false, now
}

// release ends the suspicion of a part on an operator's request.
func (c *TrackPartCrashes) release(t *Tables, release PartReleaseRow, now time.Time) {
	row := t.PartSuspects.Find(release.Part)
	found := row != nil && row.Crashes > 0
	if found {
		t.clearPart(row, "by "+release.Who, now)
	}
	t.Answer(release.CorrelationID, lentilmux.ReleasePartAnswer{Found: found})
}

// mergeSuspicion merges what another VM knows of a part, see
// [lentilmux.PartSuspicion].
func (t *Tables) mergeSuspicion(s lentilmux.PartSuspicion, source string, now time.Time) {
	row := t.PartSuspects.Find(s.Part)
	lastCrashAt := now.Add(-max(s.Age, 0))
	switch {
	case row == nil && (s.Crashes <= 0 || s.Age > t.partRetention(s.Crashes, s.Held)):
		return
	case row == nil:
		row = t.PartSuspects.GetOrCreate(s.Part)
		row.Clears = s.Clears
	case s.Clears < row.Clears:
		row.ChangedAt = now // the other VM has to learn that the part was cleared
		return
	case s.Clears > row.Clears:
		if row.Held && !s.Held {
			t.PartSuspects.heldChanged = true
			t.RecordDecision(lentilmux.Decision{What: "part_released", Subject: row.Part.String(), Reason: "reported by " + source})
		}
		held := row.Held && s.Held
		row.Clears, row.Crashes, row.Held, row.MustStore, row.ChangedAt = s.Clears, 0, held, false, now
	}
	if s.Crashes > row.Crashes {
		row.Crashes, row.ChangedAt = s.Crashes, now
	}
	if s.Crashes > 0 && lastCrashAt.After(row.LastCrashAt) {
		row.LastCrashAt = lastCrashAt
	}
	if s.Held && !row.Held {
		t.hold(row, fmt.Sprintf("%d upstreams crashed in a row, reported by %s", row.Crashes, source))
	}
}

// applyHeldPart merges a hold that was read from the store. The leader deletes a
// record that no VM needs any more.
func (t *Tables) applyHeldPart(record lentilmux.HeldPartRecord, now time.Time) {
	if now.Sub(record.LastCrashAt) > t.partRetention(record.Crashes, true) {
		t.deleteHeldPart(record.Part, now)
		return
	}
	t.mergeSuspicion(lentilmux.PartSuspicion{
		Part: record.Part, Clears: record.Clears, Crashes: record.Crashes, Held: true, Age: now.Sub(record.LastCrashAt),
	}, "the store", now)
	if row := t.PartSuspects.Find(record.Part); row != nil && row.Clears == record.Clears {
		row.MustStore = false
	}
}

// storeHolds writes the holds that this VM started until it reads them back.
func (c *TrackPartCrashes) storeHolds(t *Tables, now time.Time) {
	for _, row := range t.PartSuspects.Rows {
		if row.MustStore && row.Held && now.Sub(row.StoredBy) >= storeHoldInterval {
			row.StoredBy = now
			record := row.record()
			t.AddEffect(lentilmux.PutEffect{Stream: lentilmux.StreamVMs, Key: lentilmux.HeldPartKey(row.Part), HeldPart: &record})
		}
	}
}

// partRetention returns how long after its last crash a part is remembered: a held
// one for twice the hold, so that a trial is possible.
func (t *Tables) partRetention(crashes int, held bool) time.Duration {
	if held {
		return 2 * t.holdDuration(crashes)
	}
	return t.Limits.CrashRetention
}

// deleteHeldPart deletes the record of a part from the store, if this VM is the
// leader.
func (t *Tables) deleteHeldPart(part lentilmux.PromptPart, now time.Time) {
	if t.IsLeader(now) {
		t.AddEffect(lentilmux.PutEffect{Stream: lentilmux.StreamVMs, Key: lentilmux.HeldPartKey(part)})
	}
}

// expire forgets parts whose last crash is long ago.
func (c *TrackPartCrashes) expire(t *Tables, now time.Time) {
	for i := len(t.PartSuspects.Rows) - 1; i >= 0; i-- {
		row := t.PartSuspects.Rows[i]
		if now.Sub(row.LastCrashAt) <= t.partRetention(row.Crashes, row.Held) {
			continue
		}
		t.PartSuspects.remove(row.Part)
		if row.Held {
			t.PartSuspects.heldChanged = true
			t.RecordDecision(lentilmux.Decision{What: "part_released", Subject: row.Part.String(), Reason: "no crash for " + now.Sub(row.LastCrashAt).Round(time.Second).String()})
			t.deleteHeldPart(row.Part, now)
		}
	}
}

// publishHeldParts publishes the held parts if they changed in this tick.
func (t *Tables) publishHeldParts() {
	if !t.PartSuspects.heldChanged {
		return
	}
	t.PartSuspects.heldChanged = false
	var records []lentilmux.HeldPartRecord
	for _, row := range t.PartSuspects.Rows {
		if row.Held {
			records = append(records, row.record())
		}
	}
	t.AddEffect(lentilmux.HeldPartsEffect{Parts: records})
}

// record returns the row as the store keeps it.
func (p *PartSuspectRow) record() lentilmux.HeldPartRecord {
	return lentilmux.HeldPartRecord{Part: p.Part, Clears: p.Clears, Crashes: p.Crashes, LastCrashAt: p.LastCrashAt}
}
