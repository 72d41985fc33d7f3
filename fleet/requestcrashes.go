package fleet

import (
	"slices"
	"time"

	"lentilmux.example/lentilmux"
)

// holdRequest holds a part that stands for a whole request once it has enough rounds,
// or more crashes than that: several VMs may have sent the request at the same time. If
// another request was held lately, it first waits for the digests of peers, which tell
// whether that one explains the crashes.
func (t *Tables) holdRequest(row *PartSuspectRow, now time.Time) {
	if !row.Own || row.Held || row.Round == 0 || t.PartSuspects.isExplained(row) {
		return
	}
	needed := t.roundsNeeded(row, now)
	if row.Round < needed && len(row.Crashes) <= needed {
		return
	}
	if due := row.LastCrashAt.Add(judgeDelay); now.Before(due) && t.PartSuspects.heldRequestLately(now) {
		t.PartSuspects.JudgeAt = due
		t.WakeAt(due)
		return
	}
	row.MustStore, row.Decided = true, true
	t.holdPart(row, "", now)
}

// heldRequestLately reports whether a request was held within explainedCrashes.
func (p *PartSuspects) heldRequestLately(now time.Time) bool {
	return slices.ContainsFunc(p.Rows, func(row *PartSuspectRow) bool {
		return row.Held && row.Own && now.Sub(row.HeldAt) < explainedCrashes
	})
}

// isBeside reports whether requests with a part were in flight beside a held request at
// each of its crashes, while that one had others, too.
func (p *PartSuspects) isBeside(row *PartSuspectRow) bool {
	return len(row.Crashes) > 0 && slices.ContainsFunc(p.Rows, func(other *PartSuspectRow) bool {
		return other.Held && other.Own && len(other.Crashes) > len(row.Crashes) &&
			!slices.ContainsFunc(row.Crashes, func(crash lentilmux.CrashID) bool { return !slices.Contains(other.Crashes, crash) })
	})
}

// isAmongDropped reports whether the crashes of a request may be among those of a held
// part which has had more than are kept: they came shortly before its hold.
func (p *PartSuspects) isAmongDropped(row *PartSuspectRow) bool {
	return slices.ContainsFunc(p.Rows, func(other *PartSuspectRow) bool {
		return other.Held && !other.Own && len(other.Crashes) >= lentilmux.MaxCrashIDs && other.HeldAt.Sub(row.LastCrashAt).Abs() < explainedCrashes
	})
}
