package system

import (
	"fmt"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

const (
	// appendEvery is the time after which an unseen command is appended again.
	appendEvery = 500 * time.Millisecond
	// fetchEvery is the time between two requests for a peer's snapshot.
	fetchEvery = 500 * time.Millisecond
	// repairAfter is how long a log must have been shorter than the
	// configuration in force before a snapshot is published into it.
	repairAfter = 5 * time.Second
)

// Configure keeps the configuration in force equal to the log's. It reads the
// pages, snapshots and commands that arrived and writes the tables of
// configuration, History, Commands, Backlog and the row of the stream.
//
// Commands are decided by their order in the log, alike on every VM. A record
// is applied once by its ID, so an append whose reply was lost can be repeated.
type Configure struct{}

// Run implements [System].
func (s *Configure) Run(t *table.Tables, now time.Time) {
	for _, failure := range t.Events.LogFailures {
		if failure.Stream == lentilmux.StreamConfig && t.Streams.Config.FailedAt.IsZero() {
			t.Streams.Config.FailedAt = now
		}
	}
	for _, page := range t.Events.ConfigPages {
		s.read(t, now, page)
	}
	for _, snapshot := range t.Events.Snapshots {
		s.offer(t, now, snapshot)
	}
	s.advance(t, now)
	for _, event := range t.Events.Commands {
		s.submit(t, now, event)
	}
	s.pending(t, now)
	s.publish(t, now)
	s.repair(t, now)
	for _, ticket := range t.Events.SnapshotRequests {
		t.Answer(ticket, lentilmux.SnapshotAnswer{Snapshot: snapshot(t)})
	}
}

// read takes a page of the log into the backlog. A log that ends before what
// is in force has lost records; the configuration in force stays.
func (s *Configure) read(t *table.Tables, now time.Time, page lentilmux.ConfigPageMsg) {
	row := &t.Streams.Config
	regressed := page.End < row.NextOffset
	if regressed && row.RegressedSince.IsZero() {
		row.RegressedSince = now
		t.RecordDecision(now, lentilmux.Decision{
			What: "config_log", Subject: "config", Chosen: "keep",
			Reason: fmt.Sprintf("log ends at %d before offset %d", page.End, row.NextOffset),
		})
	}
	if !regressed {
		row.RegressedSince = time.Time{}
	}
	row.EverRead = true
	row.EndOffset = page.End
	row.ReadAt = now
	row.FailedAt = time.Time{}
	t.Self.LastContactAt = now
	if len(t.Backlog.Entries) == 0 && len(page.Entries) == 0 && page.Start > row.NextOffset {
		s.fetch(t, now)
	}
	t.Backlog.Entries = append(t.Backlog.Entries, page.Entries...)
}

// advance applies what the backlog allows, in log order. Over a gap it looks
// for a snapshot in the backlog, and else asks a peer.
func (s *Configure) advance(t *table.Tables, now time.Time) {
	row := &t.Streams.Config
	entries := t.Backlog.Entries
	for len(entries) > 0 {
		entry := entries[0]
		switch {
		case s.rebases(t, entry):
			s.rebase(t, now, entry)
			entries = entries[1:]
		case entry.Offset < row.NextOffset:
			entries = entries[1:]
		case entry.Offset == row.NextOffset:
			s.apply(t, now, entry)
			entries = entries[1:]
		default:
			if !s.bridge(t, now, entries) {
				s.fetch(t, now)
				t.Backlog.Entries = entries
				return
			}
		}
	}
	t.Backlog.Entries = nil
	if row.EverRead && row.NextOffset >= row.EndOffset && row.RegressedSince.IsZero() {
		row.CaughtUp = true
	}
}

// rebases reports whether the entry is a snapshot of a higher revision than its
// place in the log gives it, which only happens after the log lost records.
func (s *Configure) rebases(t *table.Tables, entry lentilmux.ConfigEntry) bool {
	snapshot := entry.Record.Snapshot
	return snapshot != nil &&
		uint64(snapshot.Revision) > entry.Offset+t.Streams.Config.RevisionOffset &&
		snapshot.Revision >= t.Self.Revision
}

// rebase goes on from a snapshot that was published after the log lost records:
// revisions rise from its own on.
func (s *Configure) rebase(t *table.Tables, now time.Time, entry lentilmux.ConfigEntry) {
	s.offer(t, now, *entry.Record.Snapshot)
	row := &t.Streams.Config
	row.RevisionOffset = uint64(entry.Record.Snapshot.Revision) - entry.Offset
	row.NextOffset = entry.Offset
	row.RegressedSince = time.Time{}
	t.RecordDecision(now, lentilmux.Decision{
		What: "config_log", Subject: "config", Chosen: "rebase",
		Reason: fmt.Sprintf("snapshot of revision %d at offset %d", entry.Record.Snapshot.Revision, entry.Offset),
	})
	s.apply(t, now, entry)
}

// bridge installs the first snapshot among entries that reaches the first of
// them. It reports whether there was one.
func (s *Configure) bridge(t *table.Tables, now time.Time, entries []lentilmux.ConfigEntry) bool {
	for _, entry := range entries {
		snapshot := entry.Record.Snapshot
		if snapshot != nil && uint64(snapshot.Revision) >= entries[0].Offset+snapshot.RevisionOffset {
			s.offer(t, now, *snapshot)
			return true
		}
	}
	return false
}

// fetch asks the peer with the highest revision for a snapshot.
func (s *Configure) fetch(t *table.Tables, now time.Time) {
	if now.Sub(t.Backlog.SnapshotRequestedAt) < fetchEvery {
		t.WakeAt(t.Backlog.SnapshotRequestedAt.Add(fetchEvery))
		return
	}
	best := -1
	for i := range t.Peers.Rows {
		revision := t.Peers.Rows[i].Digest.Revision
		if revision > t.Self.Revision && (best < 0 || revision > t.Peers.Rows[best].Digest.Revision) {
			best = i
		}
	}
	if best < 0 {
		return
	}
	t.Backlog.SnapshotRequestedAt = now
	peer := &t.Peers.Rows[best]
	t.AddEffect(lentilmux.FetchSnapshotEffect{VM: peer.Name, Addr: peer.Addr})
}

// offer installs a snapshot if it is newer than what is in force.
func (s *Configure) offer(t *table.Tables, now time.Time, snapshot lentilmux.Snapshot) {
	if snapshot.Revision <= t.Self.Revision {
		return
	}
	t.RecordDecision(now, lentilmux.Decision{
		What: "config_snapshot", Subject: "config", Chosen: fmt.Sprint(snapshot.Revision),
		Reason: fmt.Sprintf("newer than revision %d", t.Self.Revision),
	})
	install(t, snapshot)
}

// apply decides one record and counts it, whatever the verdict.
func (s *Configure) apply(t *table.Tables, now time.Time, entry lentilmux.ConfigEntry) {
	t.Streams.Config.NextOffset = entry.Offset + 1
	t.Self.Revision = lentilmux.Revision(entry.Offset + 1 + t.Streams.Config.RevisionOffset)
	record := entry.Record
	if record.Snapshot != nil {
		t.History.SinceSnapshot = 0
		t.History.SnapshotAt = now
		return
	}
	if entry.DecodeError != "" {
		record.ID = fmt.Sprintf("offset-%d", entry.Offset)
		t.Streams.Config.NewerRecordSeen = t.Streams.Config.NewerRecordSeen || entry.NewerVersion
	}
	if row := t.History.Find(record.ID); row != nil {
		s.acknowledge(t, *row)
		return
	}
	t.History.SinceSnapshot++
	row := table.HistoryRow{
		Revision: t.Self.Revision, At: entry.At, ID: record.ID, Who: record.Who, Text: record.Text,
	}
	row.Accepted, row.Detail = s.decide(t, entry)
	t.History.Add(row)
	verdict := "refused"
	if row.Accepted {
		verdict = "accepted"
	}
	t.RecordDecision(now, lentilmux.Decision{
		What: "config", Subject: row.Text, Chosen: verdict, Reason: row.Detail,
		Considered: []string{fmt.Sprintf("revision %d", row.Revision), "who " + row.Who},
	})
	s.acknowledge(t, row)
}

// decide applies the command of an entry if it can be applied.
func (s *Configure) decide(t *table.Tables, entry lentilmux.ConfigEntry) (accepted bool, detail string) {
	if entry.DecodeError != "" {
		return false, "unreadable record: " + entry.DecodeError
	}
	if entry.Record.Command == nil {
		return false, "record without a command"
	}
	command := *entry.Record.Command
	if err := check(t, command); err != nil {
		return false, err.Error()
	}
	apply(t, command, t.Self.Revision)
	return true, "in force"
}

// acknowledge answers the operator who waits for the record of row.
func (s *Configure) acknowledge(t *table.Tables, row table.HistoryRow) {
	command := t.PendingCommands.Find(row.ID)
	if command == nil {
		return
	}
	t.Answer(command.CorrelationID, verdict(row))
	t.PendingCommands.Remove(row.ID)
}

func verdict(row table.HistoryRow) lentilmux.CommandAnswer {
	return lentilmux.CommandAnswer{
		Accepted: row.Accepted, OutcomeKnown: true, Revision: row.Revision, Detail: row.Detail,
	}
}

// submit appends a command to the log, whose order decides it. A dry run is
// decided here, by what this node has in force.
func (s *Configure) submit(t *table.Tables, now time.Time, event table.CommandEvent) {
	if row := t.History.Find(event.ID); row != nil {
		t.Answer(event.CorrelationID, verdict(*row))
		return
	}
	refuse := func(detail string) {
		t.Answer(event.CorrelationID, lentilmux.CommandAnswer{OutcomeKnown: true, Revision: t.Self.Revision, Detail: detail})
	}
	row := &t.Streams.Config
	switch err := check(t, event.Command); {
	case event.DryRun && err != nil:
		refuse("would be refused: " + err.Error())
	case event.DryRun:
		t.Answer(event.CorrelationID, lentilmux.CommandAnswer{
			Accepted: true, OutcomeKnown: true, Revision: t.Self.Revision, Detail: "would be accepted; nothing was changed",
		})
	case !row.RegressedSince.IsZero():
		refuse("the log is shorter than the configuration in force; nothing was changed")
	case !row.Healthy() || !t.Self.Synced:
		refuse("the log is not available; nothing was changed")
	default:
		record := lentilmux.ConfigRecord{ID: event.ID, Who: event.Who, Text: event.Text, Command: &event.Command}
		if older := t.PendingCommands.Find(event.ID); older != nil {
			t.Answer(older.CorrelationID, lentilmux.CommandAnswer{Detail: "sent again by another call"})
		}
		t.PendingCommands.Put(table.PendingCommand{Record: record, CorrelationID: event.CorrelationID, Deadline: event.Deadline, AppendedAt: now})
		t.AddEffect(lentilmux.ConfigAppendEffect{Record: record})
	}
}

// pending appends commands again that were not read back, and gives up at
// their deadlines.
func (s *Configure) pending(t *table.Tables, now time.Time) {
	for i := len(t.PendingCommands.Rows) - 1; i >= 0; i-- {
		command := &t.PendingCommands.Rows[i]
		if !now.Before(command.Deadline) {
			t.Answer(command.CorrelationID, lentilmux.CommandAnswer{
				Detail: "the log did not confirm in time; look for " + command.Record.ID + " in the history",
			})
			t.PendingCommands.Remove(command.Record.ID)
			continue
		}
		if now.Sub(command.AppendedAt) >= appendEvery {
			command.AppendedAt = now
			t.AddEffect(lentilmux.ConfigAppendEffect{Record: command.Record})
		}
		t.WakeAt(command.AppendedAt.Add(appendEvery))
	}
}

// repair publishes a snapshot after the log lost records, so that commands can
// be taken again. The VM with the lowest name among those with the highest
// revision does it.
func (s *Configure) repair(t *table.Tables, now time.Time) {
	row := &t.Streams.Config
	if row.RegressedSince.IsZero() || !row.FailedAt.IsZero() || !t.Self.Synced {
		return
	}
	if due := row.RegressedSince.Add(repairAfter); now.Before(due) {
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
	s.append(t, snapshot(t))
}

// append appends a snapshot to the log.
func (s *Configure) append(t *table.Tables, taken lentilmux.Snapshot) {
	t.AddEffect(lentilmux.ConfigAppendEffect{Record: lentilmux.ConfigRecord{
		ID: fmt.Sprintf("snapshot-%s-%d", t.Self.Name, taken.Revision), Who: t.Self.Name, Snapshot: &taken,
	}})
}

// publish appends a snapshot before the log's retention can take the records
// that it replaces. The VM with the lowest name does it.
func (s *Configure) publish(t *table.Tables, now time.Time) {
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
	if !lowestPeer(t, now, t.Limits.OwnerTimeout) {
		return
	}
	t.History.SinceSnapshot = 0
	t.History.SnapshotAt = now
	s.append(t, snapshot(t))
}

// lowestPeer reports whether the node has the lowest name of the entry VMs
// heard within the time silence.
func lowestPeer(t *table.Tables, now time.Time, silence time.Duration) bool {
	for i := range t.Peers.Rows {
		p := &t.Peers.Rows[i]
		if p.Name < t.Self.Name && now.Sub(p.LastDigestAt) < silence {
			return false
		}
	}
	return true
}
