package fleet

import (
	"slices"
	"time"

	"lentilmux.example/lentilmux"
)

// One part of a prompt can crash each upstream that begins to answer it, whatever
// else the request holds. Such requests are not alike, so the part is found by
// what they share. A whole request can do so, too, when it comes again, at any VM; it is
// found by the part that stands for it, see [lentilmux.OwnPart].
//
//   - A part is suspected when an upstream crashes before it began to answer a
//     request with it, and cleared when any upstream begins to answer one. A broken
//     connection is a crash only if the process has ended, too.
//   - Crashes are counted in rounds over all VMs: an attempt adds one to the round
//     that was known when it was sent. Several upstreams that die together are one
//     round.
//   - After MaxCrashes rounds, the part with the most crashes is the cause and is
//     held: requests with it are refused. Crashes of other parts that are also
//     crashes of a held part are explained.
//   - A part that stands for a whole request is held after as many rounds, whatever
//     other parts are suspected, since no other request has it.
//   - A request that crashes upstreams after they began to answer it is counted by its
//     VM alone, in CrashSuspects, since one crash breaks many such attempts.

const (
	// judgeDelay is how long the decision between several suspected parts waits
	// for the digests of peers.
	judgeDelay = 150 * time.Millisecond
	// tiedCrashes is the number of further crashes after which one of several
	// parts with equally many is held.
	tiedCrashes = 2
	// explainedCrashes is how long after the crash of a held part, or after its
	// hold began, no other part is held: requests with it may still be in flight on
	// other VMs.
	explainedCrashes = time.Second
)

// TrackCrashes finds prompt parts and requests that crash upstreams. It reads
// Events.Digests, Events.FailedAttempts, Events.ConnectResults, Events.PartReleases,
// and Upstreams and writes Requests, PartSuspects, CrashSuspects and ProbeBucket.
type TrackCrashes struct{}

// Run implements [System].
func (c *TrackCrashes) Run(t *Tables, now time.Time) {
	for _, digest := range t.Events.Digests {
		if digest.VM == t.Self.Name {
			continue
		}
		for _, suspicion := range digest.Parts {
			t.mergeSuspicion(suspicion, digest.VM, now)
		}
	}
	for _, failed := range t.Events.FailedAttempts {
		if request := t.findAttempt(failed.Request, failed.Epoch); request != nil && failed.Kind == lentilmux.FailureCrash && !failed.NotRun && !failed.Answered {
			c.recordBreak(t, request, failed, now)
		}
	}
	c.confirmCrashes(t, now)
	for _, release := range t.Events.PartReleases {
		t.releasePart(release, now)
	}
	c.judge(t, now)
	if len(t.PartSuspects.Rows) > 0 {
		t.storeHolds(now)
		t.expireParts(now)
	}
	t.publishHeldParts()
}

// countCrash adds a crash. It is one round more than was known when the attempt
// was sent, or the first round if the part was cleared since then.
func (p *PartSuspectRow) countCrash(crash lentilmux.CrashID, atSend PartEvidence, now time.Time) {
	round := 1
	if atSend.Clears == p.Clears {
		round = atSend.Round + 1
	}
	p.Round, p.LastCrashAt, p.ChangedAt = max(p.Round, round), now, now
	p.addCrash(crash)
}

// judge decides whether a part is the cause of the last crashes. If several are
// likely, it waits once for judgeDelay.
func (c *TrackCrashes) judge(t *Tables, now time.Time) {
	judgeAt := t.PartSuspects.JudgeAt
	if judgeAt.IsZero() {
		return
	}
	if now.Before(judgeAt) {
		t.WakeAt(judgeAt)
		return
	}
	delayed := t.PartSuspects.JudgeDelayed
	t.PartSuspects.JudgeAt, t.PartSuspects.JudgeDelayed = time.Time{}, false
	for _, row := range t.PartSuspects.Rows {
		t.holdRequest(row, now)
	}
	if t.isCrashExplained(now) {
		return
	}
	cause, rivals := t.likelyCause(now)
	if cause == nil {
		return
	}
	if (len(rivals) > 0 || t.PartSuspects.heldRequestLately(now)) && !delayed {
		t.PartSuspects.JudgeAt, t.PartSuspects.JudgeDelayed = now.Add(judgeDelay), true
		t.WakeAt(t.PartSuspects.JudgeAt)
		return
	}
	tied := slices.ContainsFunc(rivals, func(rival *PartSuspectRow) bool {
		return t.PartSuspects.unexplained(rival) >= t.PartSuspects.unexplained(cause)
	})
	if !tied || t.PartSuspects.unexplained(cause) >= t.Limits.MaxCrashes+tiedCrashes {
		cause.MustStore, cause.Decided = true, true
		t.holdPart(cause, "", now)
	}
}

// likelyCause returns the part with the most unexplained crashes, if it has enough
// rounds, and its rivals, which have as many or one fewer. Of parts with equally
// many, the one that stands last in its prompt is the likely cause, since fewer
// sound requests have it.
func (t *Tables) likelyCause(now time.Time) (cause *PartSuspectRow, rivals []*PartSuspectRow) {
	var suspects []*PartSuspectRow
	for _, row := range t.PartSuspects.Rows {
		enough := row.Round >= t.roundsNeeded(row, now)
		if row.Held || row.Own || t.PartSuspects.isBeside(row) || !enough && t.isSound(row, now) {
			continue
		}
		suspects = append(suspects, row)
		if !enough || t.PartSuspects.unexplained(row) < t.Limits.MaxCrashes {
			continue
		}
		if cause == nil || t.compareCauses(row, cause) > 0 {
			cause = row
		}
	}
	for _, row := range suspects {
		if cause != nil && row != cause && t.PartSuspects.unexplained(row) >= t.PartSuspects.unexplained(cause)-1 {
			rivals = append(rivals, row)
		}
	}
	return cause, rivals
}

// compareCauses orders suspected parts by how likely they are the cause.
func (t *Tables) compareCauses(a, b *PartSuspectRow) int {
	if difference := t.PartSuspects.unexplained(a) - t.PartSuspects.unexplained(b); difference != 0 {
		return difference
	}
	return a.Position - b.Position
}

// isSound reports whether this VM saw a prompt with the part answered lately.
func (t *Tables) isSound(row *PartSuspectRow, now time.Time) bool {
	if row.Own {
		return t.PartSuspects.SoundRequests.contains(row.Part, now, t.Limits.SoundPartWindow)
	}
	return t.PartSuspects.Sound.contains(row.Part, now, t.Limits.SoundPartWindow)
}

// roundsNeeded returns the rounds after which a part is held. A part that was
// sound lately needs more, since it is likely to have been beside the cause.
func (t *Tables) roundsNeeded(row *PartSuspectRow, now time.Time) int {
	if t.isSound(row, now) {
		return 2 * t.Limits.MaxCrashes
	}
	return t.Limits.MaxCrashes
}

// isCrashExplained reports whether a held part explains a crash at this time. A held
// request does not.
func (t *Tables) isCrashExplained(now time.Time) bool {
	return slices.ContainsFunc(t.PartSuspects.Rows, func(row *PartSuspectRow) bool {
		return row.Held && !row.Own && (now.Sub(row.LastCrashAt) < explainedCrashes || now.Sub(row.HeldAt) < explainedCrashes)
	})
}

// mergeSuspicion merges what another VM knows of a part, see
// [lentilmux.PartSuspicion]. A VM that saw the part answered lately holds it only
// if the rounds are enough for that.
func (t *Tables) mergeSuspicion(s lentilmux.PartSuspicion, source string, now time.Time) {
	row := t.PartSuspects.Find(s.Part)
	lastCrashAt := now.Add(-max(s.Age, 0))
	switch {
	case row == nil && (s.Round <= 0 || s.Age > t.partRetention(s.Round, s.Held)):
		return
	case row == nil:
		row = t.PartSuspects.GetOrCreate(s.Part)
		row.Clears = s.Clears
	case s.Clears < row.Clears:
		row.ChangedAt = now // the other VM has to learn that the part was cleared
		return
	case s.Clears > row.Clears:
		if row.Held && !s.Held {
			t.endHold(row, "reported by "+source)
		}
		row.Clears, row.Round, row.Crashes, row.ChangedAt = s.Clears, 0, nil, now
	}
	if s.Round > row.Round {
		row.Round, row.ChangedAt = s.Round, now
	}
	row.Position, row.Own = max(row.Position, s.Position), row.Own || s.Own
	known := len(row.Crashes)
	for _, crash := range s.Crashes {
		row.addCrash(crash)
	}
	if row.Held && len(row.Crashes) > known {
		t.endMistakenHolds(row, now)
	}
	if s.Round > 0 && lastCrashAt.After(row.LastCrashAt) {
		row.LastCrashAt = lastCrashAt
	}
	t.holdRequest(row, now)
	if s.Held && !row.Held && !t.PartSuspects.isExplained(row) && row.Round >= t.roundsNeeded(row, now) {
		t.holdPart(row, source, now)
	}
}
