package fleet

import (
	"fmt"
	"slices"
	"time"

	"lentilmux.example/lentilmux"
)

const (
	// trialInterval is the time between two trials of one VM with a part whose
	// hold has ended.
	trialInterval = 2 * time.Second
	// storeHoldInterval is the time after which a hold, or the deletion of one, that
	// was not read back from the store is written again.
	storeHoldInterval = 5 * time.Second
	// mistakenHold is the time after the beginning of a hold in which that of
	// another part can show that it was a mistake.
	mistakenHold = 10 * time.Second
	// maxClockSkew bounds how far the clocks of two VMs are apart.
	maxClockSkew = time.Minute
)

// holdPart starts to refuse requests with a part. Source is the VM that reported
// the hold, or empty if this VM decided on it. A hold that began shortly before
// was a mistake if the part explains all of its crashes.
func (t *Tables) holdPart(row *PartSuspectRow, source string, now time.Time) {
	row.Held, row.HeldAt = true, now
	kind := "a prompt part"
	if row.Own {
		kind = "a request"
	}
	t.NewSuspects, t.PartSuspects.heldChanged = true, true
	if source == "" {
		source = "this VM"
	}
	t.RecordDecision(lentilmux.Decision{
		What: "part_held", Subject: row.Part.String(), Chosen: t.holdDuration(row.Round).String(),
		Reason: fmt.Sprintf("%s: %d crashes in %d rounds, reported by %s", kind, len(row.Crashes), row.Round, source),
	})
	t.endMistakenHolds(row, now)
}

// endMistakenHolds ends the holds that began shortly before if a held part explains all
// of their crashes.
func (t *Tables) endMistakenHolds(cause *PartSuspectRow, now time.Time) {
	for _, other := range t.PartSuspects.Rows {
		if other == cause || !other.Held || now.Sub(other.HeldAt) >= mistakenHold || len(other.Crashes) == 0 || !t.PartSuspects.isExplained(other) {
			continue
		}
		t.endHold(other, "part "+cause.Part.String()+" explains its crashes")
		t.deleteHeldPart(other.Part, now)
	}
}

// endHold ends the hold of a part.
func (t *Tables) endHold(row *PartSuspectRow, reason string) {
	row.Held, row.MustStore, row.Decided = false, false, false
	t.NewSuspects, t.PartSuspects.heldChanged = true, true
	t.RecordDecision(lentilmux.Decision{What: "part_released", Subject: row.Part.String(), Reason: reason})
}

// holdDuration returns for how long a part is held after the last crash of a
// round.
func (t *Tables) holdDuration(round int) time.Duration {
	duration := t.Limits.BasePartHold
	for i := t.Limits.MaxCrashes; i < round && duration < t.Limits.MaxPartHold; i++ {
		duration *= 2
	}
	return min(duration, t.Limits.MaxPartHold)
}

// heldPart returns the first of the parts that is held, or nil. When a hold has
// ended, one request passes as a trial in each trialInterval.
func (t *Tables) heldPart(parts []lentilmux.PromptPart, now time.Time) *PartSuspectRow {
	for _, part := range parts {
		row := t.PartSuspects.Find(part)
		if row != nil && row.Held && (now.Before(row.LastCrashAt.Add(t.holdDuration(row.Round))) || now.Sub(row.TrialAt) < trialInterval) {
			return row
		}
	}
	return nil
}

// heldPartRefusal returns the refusal of a request with a held part.
func (t *Tables) heldPartRefusal(row *PartSuspectRow, now time.Time) *lentilmux.Refusal {
	cause := "prompt part " + row.Part.String()
	if row.Own {
		cause = "the request, part " + row.Part.String() + ","
	}
	refusal := t.notRunRefusal(lentilmux.ReasonQuarantined, fmt.Sprintf("%s crashed upstreams in %d rounds", cause, row.Round))
	refusal.RetryAfter = max(row.LastCrashAt.Add(t.holdDuration(row.Round)).Sub(now), trialInterval)
	return refusal
}

// startTrial records what is known of a request's parts as an attempt is sent. If
// one of them is suspected, the attempt is a trial, and no other request starts at
// its upstream: a crash then tells which of them is the cause.
func (t *Tables) startTrial(request *RequestRow, now time.Time) {
	request.PartsAtSend = t.PartSuspects.evidence(request.Parts)
	if request.Delivered > 0 || !t.PartSuspects.anySuspected(request.Parts) {
		return
	}
	for _, part := range request.Parts {
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
	for i, part := range request.Parts {
		sound := &t.PartSuspects.Sound
		if i >= len(request.SharedParts) {
			sound = &t.PartSuspects.SoundRequests
		}
		sound.record(part, now, t.Limits.SoundPartWindow)
		if row := t.PartSuspects.Find(part); row != nil && row.Round > 0 {
			t.clearPart(row, "request "+string(request.ID)+" was answered", now)
		}
	}
}

// clearPart ends the suspicion of a part on all VMs.
func (t *Tables) clearPart(row *PartSuspectRow, reason string, now time.Time) {
	if row.Held {
		t.endHold(row, reason)
		t.AddEffect(lentilmux.PutEffect{Stream: lentilmux.StreamVMs, Key: lentilmux.HeldPartKey(row.Part)})
	}
	row.Clears++
	row.Round, row.Crashes, row.ChangedAt = 0, nil, now
}

// releasePart ends the suspicion of a part on an operator's request.
func (t *Tables) releasePart(release PartReleaseRow, now time.Time) {
	row := t.PartSuspects.Find(release.Part)
	found := row != nil && row.Round > 0
	if found {
		t.clearPart(row, "by "+release.Who, now)
	}
	t.Answer(release.CorrelationID, lentilmux.ReleasePartAnswer{Found: found})
}

// applyHeldPart merges a hold that was read from the store. The leader deletes a
// record that no VM needs any more, or that names a time to come.
func (t *Tables) applyHeldPart(record lentilmux.HeldPartRecord, now time.Time) {
	age := now.Sub(record.LastCrashAt)
	if age > t.partRetention(record.Round, true) || age < -maxClockSkew {
		t.deleteHeldPart(record.Part, now)
		return
	}
	if t.isOutdatedHold(record) {
		row := t.PartSuspects.Find(record.Part)
		row.MustDelete, row.ChangedAt = true, now // VMs that start must learn that the hold has ended
		return
	}
	t.mergeSuspicion(lentilmux.PartSuspicion{Part: record.Part, Clears: record.Clears, Round: record.Round, Held: true, Age: max(age, 0), Own: record.Own}, "the store", now)
	if row := t.PartSuspects.Find(record.Part); row != nil && row.Clears == record.Clears {
		row.MustStore = false
	}
}

// isOutdatedHold reports whether a hold in the store ended since it was written: its
// part was cleared, or other held parts explain all of its crashes. A store that is
// restored from an earlier copy has such holds again.
func (t *Tables) isOutdatedHold(record lentilmux.HeldPartRecord) bool {
	row := t.PartSuspects.Find(record.Part)
	if row == nil {
		return false
	}
	explained := !row.Held && len(row.Crashes) > 0 && t.PartSuspects.isExplained(row)
	return record.Clears < row.Clears || explained
}

// applyHeldPartDeletion notes that a hold is no longer in the store.
func (t *Tables) applyHeldPartDeletion(key string) {
	for _, row := range t.PartSuspects.Rows {
		if lentilmux.HeldPartKey(row.Part) == key {
			row.MustDelete = false
		}
	}
}

// restoreHolds has the holds written again that a restored store lacks.
func (t *Tables) restoreHolds(listed map[string]bool) {
	for _, row := range t.PartSuspects.Rows {
		row.StoredAt = time.Time{}
		if row.Held && !listed[lentilmux.HeldPartKey(row.Part)] {
			row.MustStore = true
		}
	}
}

// storeHolds writes holds and deletes outdated ones until they are read back. The VM
// that decided on a hold writes it, and the leader, since that VM may be gone.
func (t *Tables) storeHolds(now time.Time) {
	for _, row := range t.PartSuspects.Rows {
		if now.Sub(row.StoredAt) < storeHoldInterval {
			continue
		}
		switch {
		case row.MustStore && row.Held && (row.Decided || t.IsLeader(now)):
			row.StoredAt = now
			record := row.record()
			t.AddEffect(lentilmux.PutEffect{Stream: lentilmux.StreamVMs, Key: lentilmux.HeldPartKey(row.Part), HeldPart: &record})
		case row.MustDelete && !row.Held && t.IsLeader(now):
			row.StoredAt = now
			t.deleteHeldPart(row.Part, now)
		}
	}
}

// partRetention returns how long after its last crash a part is remembered: a held
// one for twice the hold, so that a trial is possible.
func (t *Tables) partRetention(round int, held bool) time.Duration {
	if held {
		return 2 * t.holdDuration(round)
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

// expireParts forgets parts whose last crash is long ago, and cleared ones whose
// clearing is: until then a restored store may have the hold again.
func (t *Tables) expireParts(now time.Time) {
	for _, row := range slices.Backward(t.PartSuspects.Rows) {
		age := now.Sub(row.LastCrashAt)
		if row.Round == 0 {
			age = min(age, now.Sub(row.ChangedAt))
		}
		if age <= t.partRetention(row.Round, row.Held) {
			continue
		}
		if row.Held {
			t.endHold(row, "no crash for "+age.Round(time.Second).String())
			t.deleteHeldPart(row.Part, now)
		}
		t.PartSuspects.remove(row.Part)
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
