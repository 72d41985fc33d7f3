package system

import (
	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

// maxAppliedIDs is the maximum number of record IDs in a snapshot.
const maxAppliedIDs = 512

// takeSnapshot returns a snapshot of the configuration in force.
func takeSnapshot(t *table.Tables) lentilmux.Snapshot {
	s := lentilmux.Snapshot{Revision: t.Self.Revision, RevisionOffset: t.Streams.Config.RevisionOffset, Timeline: t.Streams.Config.AppliedTimeline}
	for i := range t.Upstreams.Rows {
		s.Upstreams = append(s.Upstreams, t.Upstreams.Rows[i].Spec)
	}
	for i := range t.Pipelines.Rows {
		s.Pipelines = append(s.Pipelines, t.Pipelines.Rows[i].Spec)
	}
	for i := range t.Services.Rows {
		s.Services = append(s.Services, t.Services.Rows[i].Spec)
	}
	for i := range t.Workspaces.Rows {
		s.Workspaces = append(s.Workspaces, t.Workspaces.Rows[i].Spec)
	}
	rows := t.History.Rows
	for _, row := range rows[max(0, len(rows)-maxAppliedIDs):] {
		s.AppliedIDs = append(s.AppliedIDs, row.ID)
		s.Verdicts = append(s.Verdicts, lentilmux.CommandVerdict{Revision: row.Revision, Accepted: row.Accepted})
	}
	return s
}

// installSnapshot replaces the complete configuration by a newer snapshot. The
// state of upstreams and workspaces that remain is kept.
func installSnapshot(t *table.Tables, s lentilmux.Snapshot) {
	inSnapshot := make(map[string]bool)
	for _, spec := range s.Upstreams {
		putUpstream(t, spec)
		inSnapshot["upstream "+spec.Name] = true
	}
	for _, spec := range s.Pipelines {
		t.Pipelines.Put(table.Pipeline{Spec: spec})
		inSnapshot["pipeline "+spec.Name] = true
	}
	for _, spec := range s.Services {
		t.Services.Put(table.Service{Spec: spec})
		inSnapshot["service "+spec.Name] = true
	}
	for _, spec := range s.Workspaces {
		putWorkspace(t, spec)
		inSnapshot["workspace "+spec.Name] = true
	}
	removeMissing(t, inSnapshot)
	for i, id := range s.AppliedIDs {
		if !t.History.Applied(id) {
			t.History.Add(historyRow(s, i))
		}
	}
	t.Self.Revision = s.Revision
	t.Streams.Config.RevisionOffset = s.RevisionOffset
	t.Streams.Config.NextOffset = uint64(s.Revision) - s.RevisionOffset
	t.Streams.Config.AppliedTimeline = s.Timeline
	t.Streams.Config.Timeline = max(t.Streams.Config.Timeline, s.Timeline)
	t.Stages.Stale = true
}

// historyRow returns the row of one of the snapshot's last records.
func historyRow(s lentilmux.Snapshot, index int) table.HistoryRow {
	row := table.HistoryRow{ID: s.AppliedIDs[index], Revision: s.Revision, Detail: "from a snapshot"}
	if index >= len(s.Verdicts) {
		row.VerdictUnknown = true
		return row
	}
	row.Revision, row.Accepted = s.Verdicts[index].Revision, s.Verdicts[index].Accepted
	return row
}

// removeMissing removes the entities that are not in the snapshot. Names are
// prefixed with the kind of entity.
func removeMissing(t *table.Tables, inSnapshot map[string]bool) {
	for i := len(t.Upstreams.Rows) - 1; i >= 0; i-- {
		if name := t.Upstreams.Rows[i].Spec.Name; !inSnapshot["upstream "+name] {
			t.Upstreams.Remove(name)
		}
	}
	for i := len(t.Pipelines.Rows) - 1; i >= 0; i-- {
		if name := t.Pipelines.Rows[i].Spec.Name; !inSnapshot["pipeline "+name] {
			t.Pipelines.Remove(name)
		}
	}
	for i := len(t.Services.Rows) - 1; i >= 0; i-- {
		if name := t.Services.Rows[i].Spec.Name; !inSnapshot["service "+name] {
			t.Services.Remove(name)
		}
	}
	for i := len(t.Workspaces.Rows) - 1; i >= 0; i-- {
		if name := t.Workspaces.Rows[i].Spec.Name; !inSnapshot["workspace "+name] {
			t.Workspaces.Remove(name)
		}
	}
}
