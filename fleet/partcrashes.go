package fleet

import (
	"slices"
	"time"

	"lentilmux.example/lentilmux"
)

// One part of a prompt can crash each upstream that begins to answer it, whatever
// else the request holds. Such requests are not alike, so the part is found by
// what they share:
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
	// maxCrashDoubt is how long after an attempt broke its upstream may be found
	// gone for this to count as its crash.
	maxCrashDoubt = 3 * time.Second
	// lateProgress is how long after a crash events that were sent before it may
	// still be read.
	lateProgress = 50 * time.Millisecond
)

// TrackPartCrashes finds prompt parts that crash upstreams. It reads
// Events.Digests, Events.FailedAttempts, Events.PartReleases, Requests and
// Upstreams and writes PartSuspects and ProbeBucket.
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
		if request := t.findAttempt(failed.Request, failed.Epoch); request != nil && isUnansweredBreak(request, failed) {
			c.recordBreak(t, request, now)
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

// isUnansweredBreak reports whether the connection of an attempt broke before any
// upstream began to answer the request.
func isUnansweredBreak(request *RequestRow, failed FailedAttemptRow) bool {
	return failed.Kind == lentilmux.FailureCrash && !failed.NotRun && !failed.Answered && !request.AnswerStarted && failed.Delivered == 0
}

// recordBreak records that the connection of an attempt broke. Whether the
// upstream crashed is not known yet, since connections also break without that; a
// probe tells.
func (c *TrackPartCrashes) recordBreak(t *Tables, request *RequestRow, now time.Time) {
	row := t.Upstreams.Find(request.LastUpstream)
	if len(request.SharedParts) == 0 || row == nil || t.Reach.State == ReachLost {
		return
	}
	broken := BrokenAttempt{Upstream: row.ID, StartedAt: row.StartedAt, At: now, Parts: request.SharedParts, AtSend: request.PartsAtSend}
	if broken.AtSend == nil {
		broken.AtSend = make([]PartEvidence, len(request.SharedParts))
	}
	t.PartSuspects.addBroken(broken)
}

// confirmCrashes counts the crashes of upstreams that are gone, or were replaced by
// another process, since an attempt broke, and forgets the attempts whose upstream
// lives on.
func (c *TrackPartCrashes) confirmCrashes(t *Tables, now time.Time) {
	t.PartSuspects.Broken = slices.DeleteFunc(t.PartSuspects.Broken, func(broken BrokenAttempt) bool {
		row := t.Upstreams.Find(broken.Upstream)
		switch {
		case row == nil, row.isGone(now), !row.StartedAt.Equal(broken.StartedAt):
			c.countCrash(t, broken, now)
			return true
		case !row.ProbedAt.Before(broken.At) && row.ReportedAt.After(broken.At), row.Progress.Last().Sub(broken.At) > lateProgress:
			return true
		}
		t.probe(row, now) // once MinProbeInterval has passed
		t.WakeAt(now.Add(t.Limits.MinProbeInterval))
		return now.Sub(broken.At) > maxCrashDoubt
	})
}

// countCrash counts a crash against the parts of an attempt. If one of them is
// held already, the crash is counted against that one alone.
func (c *TrackPartCrashes) countCrash(t *Tables, broken BrokenAttempt, now time.Time) {
	crash := lentilmux.ComputeCrashID(broken.Upstream, broken.StartedAt)
	for i, part := range broken.Parts {
		if row := t.PartSuspects.Find(part); row != nil && row.Held {
			row.countCrash(crash, broken.AtSend[i], now)
			return
		}
	}
	for i, part := range broken.Parts {
		row := t.PartSuspects.GetOrCreate(part)
		row.Position = max(row.Position, i)
		row.countCrash(crash, broken.AtSend[i], now)
	}
	t.NewSuspects = true // peers must learn of the crash
	if t.PartSuspects.JudgeAt.IsZero() {
		t.PartSuspects.JudgeAt = now
	}
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
func (c *TrackPartCrashes) judge(t *Tables, now time.Time) {
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
	if t.isExplained(now) {
		return
	}
	cause, rivals := t.likelyCause(now)
	if cause == nil {
		return
	}
	if len(rivals) > 0 && !delayed {
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
		enough := row.Round >= t.roundsNeeded(row.Part, now)
		if row.Held || !enough && t.isSound(row.Part, now) {
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
func (t *Tables) isSound(part lentilmux.PromptPart, now time.Time) bool {
	return t.PartSuspects.Sound.contains(part, now, t.Limits.SoundPartWindow)
}

// roundsNeeded returns the rounds after which a part is held. A part that was
// sound lately needs more, since it is likely to have been beside the cause.
func (t *Tables) roundsNeeded(part lentilmux.PromptPart, now time.Time) int {
	if t.isSound(part, now) {
		return 2 * t.Limits.MaxCrashes
	}
	return t.Limits.MaxCrashes
}

// isExplained reports whether a held part explains a crash at this time.
func (t *Tables) isExplained(now time.Time) bool {
	return slices.ContainsFunc(t.PartSuspects.Rows, func(row *PartSuspectRow) bool {
		return row.Held && (now.Sub(row.LastCrashAt) < explainedCrashes || now.Sub(row.HeldAt) < explainedCrashes)
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
	row.Position = max(row.Position, s.Position)
	for _, crash := range s.Crashes {
		row.addCrash(crash)
	}
	if s.Round > 0 && lastCrashAt.After(row.LastCrashAt) {
		row.LastCrashAt = lastCrashAt
	}
	if s.Held && !row.Held && row.Round >= t.roundsNeeded(row.Part, now) {
		t.holdPart(row, source, now)
	}
}
