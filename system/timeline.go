package system

import (
	"fmt"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

// A log that was restored from an earlier copy begins a new timeline. Commands that
// were in force can be gone from it, and other VMs may have read more or fewer of
// them. All VMs therefore keep their configuration until a snapshot in the log
// starts the timeline, and apply only what follows it. Entries between the copy and
// that snapshot have no effect; the VMs that wait for theirs append them again.

// timelineRevisionGap is added to the revision of a snapshot that starts a timeline,
// so that it is above each revision that any VM gave out before.
const timelineRevisionGap = 1000

// timelineStarted reports whether the configuration in force belongs to the log's
// timeline.
func timelineStarted(t *table.Tables) bool {
	return t.Streams.Config.AppliedTimeline >= t.Streams.Config.Timeline
}

// isTentative reports whether the configuration in force may contain commands that
// other VMs never apply: a node that is not synced applies all that it reads, since it
// cannot tell the copy from what was appended before the timeline started.
func isTentative(t *table.Tables) bool {
	return !t.Self.Synced && !timelineStarted(t)
}

// publicRevision returns the revision for peers to compare with theirs. It is 0 for a
// tentative configuration.
func publicRevision(t *table.Tables) lentilmux.Revision {
	if isTentative(t) {
		return 0
	}
	return t.Self.Revision
}

// publicSnapshot returns the snapshot for peers. It is empty for a tentative
// configuration.
func publicSnapshot(t *table.Tables) lentilmux.Snapshot {
	if isTentative(t) {
		return lentilmux.Snapshot{}
	}
	return takeSnapshot(t)
}

// noteRestore begins the timeline of a page. The entries of earlier timelines that
// could not be applied yet are dropped.
func (s *Configure) noteRestore(t *table.Tables, now time.Time, page lentilmux.ConfigPageMsg) {
	row := &t.Streams.Config
	if row.EverRead {
		recordRestore(t, now, lentilmux.StreamConfig, row, page.Timeline, page.RestoredAt)
	}
	row.Timeline = page.Timeline
	row.RegressedSince = now
	t.Backlog.Entries = nil
}

// recordRestore records that a stream continues on a later timeline.
func recordRestore(t *table.Tables, now time.Time, stream lentilmux.Stream, row *table.StreamRow, timeline lentilmux.Timeline, restoredAt uint64) {
	t.RecordDecision(now, lentilmux.Decision{
		What: "store_restored", Subject: string(stream), Chosen: "keep",
		Reason:     fmt.Sprintf("timeline %d after %d", timeline, row.Timeline),
		Considered: []string{fmt.Sprintf("read up to %d", row.NextOffset), fmt.Sprintf("differs from %d", restoredAt)},
	})
}

// startTimeline installs the first snapshot of the log's timeline in the backlog and
// reports whether there is one. It leaves the entries that follow in the backlog.
func (s *Configure) startTimeline(t *table.Tables, now time.Time) bool {
	for i, entry := range t.Backlog.Entries {
		snapshot := entry.Record.Snapshot
		if snapshot == nil || snapshot.Timeline != t.Streams.Config.Timeline {
			continue
		}
		if s.isRebase(t, entry) {
			s.rebase(t, now, entry)
			t.Backlog.Entries = t.Backlog.Entries[i+1:]
		} else {
			s.installIfNewer(t, now, *snapshot)
		}
		return timelineStarted(t)
	}
	return false
}

// adoptTimeline installs a snapshot of the timeline in force or a later one. A synced
// node notes the accepted commands that a later timeline lacks.
func adoptTimeline(t *table.Tables, snapshot lentilmux.Snapshot) {
	if snapshot.Timeline == t.Streams.Config.AppliedTimeline {
		installSnapshot(t, snapshot)
		return
	}
	revision := t.Self.Revision
	dropped := t.History.DropAfter(snapshot.AppliedIDs)
	installSnapshot(t, snapshot)
	if t.Self.Synced {
		noteLostCommands(t, dropped, revision)
	}
}

// canRepair reports whether this node may publish a snapshot after the log lost
// records. A node that is not synced may do so only if it has read the whole log and
// no VM that knew more has done it for a long time.
func canRepair(t *table.Tables, now time.Time) bool {
	if t.Self.Synced {
		return true
	}
	row := &t.Streams.Config
	return !timelineStarted(t) && row.NextOffset >= row.EndOffset && now.Sub(row.RegressedSince) >= t.Limits.OwnerTimeout
}

// takeTimelineStart returns the snapshot that starts the log's timeline with the
// configuration in force.
func takeTimelineStart(t *table.Tables) lentilmux.Snapshot {
	snapshot := takeSnapshot(t)
	snapshot.Timeline = t.Streams.Config.Timeline
	snapshot.StartsTimeline = true
	snapshot.Revision += timelineRevisionGap
	return snapshot
}
