package system

import (
	"fmt"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

// repairLog publishes a snapshot after the log lost records, so that commands
// are accepted again. Of the VMs with the highest revision the one with the
// lowest name does it.
func (s *Configure) repairLog(t *table.Tables, now time.Time) {
	row := &t.Streams.Config
	if row.RegressedSince.IsZero() || !row.FailedAt.IsZero() || !canRepair(t, now) {
		return
	}
	delay := logRepairDelay
	if !timelineStarted(t) {
		delay = timelineStartDelay
	}
	if due := row.RegressedSince.Add(delay); now.Before(due) {
		t.WakeAt(due)
		return
	}
	for i := range t.Peers.Rows {
		p := &t.Peers.Rows[i]
		ahead := p.Digest.Revision > t.Self.Revision || (p.Digest.Revision == t.Self.Revision && p.Name < t.Self.Name)
		if ahead && now.Sub(p.LastDigestAt) < t.Limits.OwnerTimeout {
			return
		}
	}
	row.RegressedSince = now
	if !timelineStarted(t) {
		s.appendSnapshot(t, takeTimelineStart(t))
		return
	}
	s.appendSnapshot(t, takeSnapshot(t))
}

// appendSnapshot appends a snapshot to the configuration stream.
func (s *Configure) appendSnapshot(t *table.Tables, taken lentilmux.Snapshot) {
	t.AddEffect(lentilmux.ConfigAppendEffect{Record: lentilmux.ConfigRecord{
		ID: fmt.Sprintf("snapshot-%s-%d", t.Self.Name, taken.Revision), Who: t.Self.Name, Snapshot: &taken,
	}})
}

// publishSnapshot appends a snapshot before the log's retention removes the
// records that the snapshot replaces. The VM with the lowest name does it.
func (s *Configure) publishSnapshot(t *table.Tables, now time.Time) {
	if !t.Self.Synced || !t.Streams.Config.Healthy() || t.History.SinceSnapshot == 0 {
		return
	}
	if t.History.SnapshotAt.IsZero() {
		t.History.SnapshotAt = now
	}
	aged := now.Sub(t.History.SnapshotAt) >= t.Limits.SnapshotInterval
	if !aged && t.History.SinceSnapshot < t.Limits.SnapshotRecords {
		return
	}
	if !hasLowestName(t, now, t.Limits.OwnerTimeout) {
		return
	}
	t.History.SinceSnapshot = 0
	t.History.SnapshotAt = now
	s.appendSnapshot(t, takeSnapshot(t))
}
