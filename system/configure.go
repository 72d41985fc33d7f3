package system

import (
	"fmt"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

const (
	// appendRetryInterval is the time after which a record that was not read
	// back is appended again. For records of the calls stream it is the first
	// interval of a backoff.
	appendRetryInterval = 500 * time.Millisecond
	// snapshotFetchInterval is the minimum time between two fetches of a
	// snapshot from a peer.
	snapshotFetchInterval = 500 * time.Millisecond
	// logRepairDelay is how long the log must have been shorter than the
	// configuration in force before a snapshot is published to repair it.
	logRepairDelay = 5 * time.Second
	// timelineStartDelay is how long a VM waits after a restore of the log for
	// peers with a higher revision before it starts the new timeline.
	timelineStartDelay = 2 * time.Second
)

// Configure keeps the configuration in force in step with the configuration
// stream of the log. It reads the pages, snapshots and commands that arrived
// and writes Upstreams, Pipelines, Services, Workspaces, History,
// PendingCommands, Backlog and the stream's row.
//
// Every VM applies the commands in log order and so comes to the same result. A
// record is applied once per ID, so an append whose reply was lost can be
// repeated.
type Configure struct{}

// Run implements [System].
func (s *Configure) Run(t *table.Tables, now time.Time) {
	for _, failure := range t.Events.LogFailures {
		if failure.Stream == lentilmux.StreamConfig && t.Streams.Config.FailedAt.IsZero() {
			t.Streams.Config.FailedAt = now
		}
	}
	for _, page := range t.Events.ConfigPages {
		s.readPage(t, now, page)
	}
	for _, snapshot := range t.Events.Snapshots {
		s.installIfNewer(t, now, snapshot)
	}
	s.applyBacklog(t, now)
	for _, event := range t.Events.Commands {
		s.submitCommand(t, now, event)
	}
	s.rewriteLostCommands(t, now)
	s.retryPendingCommands(t, now)
	s.publishSnapshot(t, now)
	s.repairLog(t, now)
	for _, correlationID := range t.Events.SnapshotRequests {
		t.Answer(correlationID, lentilmux.SnapshotAnswer{Snapshot: publicSnapshot(t)})
	}
}

// readPage adds a page of the log to the backlog. If the log ends before the
// next expected offset, it has lost records; the configuration in force is
// kept. A page that ends before the log does makes the configuration no more current.
func (s *Configure) readPage(t *table.Tables, now time.Time, page lentilmux.ConfigPageMsg) {
	row := &t.Streams.Config
	if page.Timeline < row.Timeline {
		return // a late answer
	}
	if page.Timeline > row.Timeline {
		s.noteRestore(t, now, page)
	}
	regressed := page.End < row.NextOffset || !timelineStarted(t)
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
	row.FailedAt = time.Time{}
	if page.ReachesEnd() {
		row.ReadAt = now
		t.Self.LastContactAt = now
	}
	if len(t.Backlog.Entries) == 0 && len(page.Entries) == 0 && page.Start > row.NextOffset {
		s.fetchSnapshot(t, now)
	}
	t.Backlog.Entries = append(t.Backlog.Entries, page.Entries...)
}

// applyBacklog applies the entries of the backlog in log order. It bridges a
// gap with a snapshot from the backlog or, without one, fetches a snapshot from
// a peer and keeps the rest.
func (s *Configure) applyBacklog(t *table.Tables, now time.Time) {
	row := &t.Streams.Config
	if t.Self.Synced && !timelineStarted(t) && !s.startTimeline(t, now) {
		return
	}
	entries := t.Backlog.Entries
	for len(entries) > 0 {
		entry := entries[0]
		switch {
		case s.isRebase(t, entry):
			s.rebase(t, now, entry)
			entries = entries[1:]
		case entry.Offset < row.NextOffset:
			entries = entries[1:]
		case entry.Offset == row.NextOffset:
			s.applyEntry(t, now, entry)
			entries = entries[1:]
		default:
			rest, bridged := s.bridgeGap(t, now, entries)
			if !bridged {
				s.fetchSnapshot(t, now)
				t.Backlog.Entries = entries
				return
			}
			entries = rest
		}
	}
	t.Backlog.Entries = nil
	if row.EverRead && row.NextOffset >= row.EndOffset && row.RegressedSince.IsZero() {
		row.CaughtUp = true
	}
}

// isRebase reports whether the entry is a snapshot that starts a later timeline, or
// one with a higher revision than its log offset accounts for, which only happens
// after the log lost records.
func (s *Configure) isRebase(t *table.Tables, entry lentilmux.ConfigEntry) bool {
	snapshot, row := entry.Record.Snapshot, &t.Streams.Config
	switch {
	case snapshot == nil:
		return false
	case snapshot.StartsTimeline:
		return snapshot.Timeline > row.AppliedTimeline && snapshot.Timeline <= row.Timeline
	default:
		return snapshot.Timeline >= row.AppliedTimeline &&
			uint64(snapshot.Revision) > entry.Offset+snapshot.RevisionOffset &&
			snapshot.Revision >= t.Self.Revision
	}
}

// rebase continues from a snapshot that was published after the log lost
// records. Revisions continue from that of the snapshot.
func (s *Configure) rebase(t *table.Tables, now time.Time, entry lentilmux.ConfigEntry) {
	row := &t.Streams.Config
	if entry.Record.Snapshot.StartsTimeline {
		adoptTimeline(t, *entry.Record.Snapshot)
	} else {
		s.installIfNewer(t, now, *entry.Record.Snapshot)
	}
	row.RevisionOffset = uint64(entry.Record.Snapshot.Revision) - entry.Offset
	row.NextOffset = entry.Offset
	row.RegressedSince = time.Time{}
	t.RecordDecision(now, lentilmux.Decision{
		What: "config_log", Subject: "config", Chosen: "rebase",
		Reason: fmt.Sprintf("snapshot of revision %d at offset %d", entry.Record.Snapshot.Revision, entry.Offset),
	})
	s.applyEntry(t, now, entry)
}

// bridgeGap installs the first snapshot of entries that covers the gap before
// them. It returns the entries that are still to be applied, and whether there is
// such a snapshot.
func (s *Configure) bridgeGap(t *table.Tables, now time.Time, entries []lentilmux.ConfigEntry) (rest []lentilmux.ConfigEntry, bridged bool) {
	for i, entry := range entries {
		snapshot := entry.Record.Snapshot
		if s.isRebase(t, entry) {
			s.rebase(t, now, entry)
			return entries[i+1:], true
		}
		if snapshot != nil && s.isNewer(t, *snapshot) && uint64(snapshot.Revision) >= entries[0].Offset+snapshot.RevisionOffset {
			s.installIfNewer(t, now, *snapshot)
			return entries, true
		}
	}
	return nil, false
}

// fetchSnapshot requests a snapshot from the peer with the highest revision, if
// that is above this node's own.
func (s *Configure) fetchSnapshot(t *table.Tables, now time.Time) {
	if now.Sub(t.Backlog.SnapshotRequestedAt) < snapshotFetchInterval {
		t.WakeAt(t.Backlog.SnapshotRequestedAt.Add(snapshotFetchInterval))
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

// installIfNewer installs a snapshot if it is newer than the configuration in
// force.
func (s *Configure) installIfNewer(t *table.Tables, now time.Time, snapshot lentilmux.Snapshot) {
	if !s.isNewer(t, snapshot) {
		return
	}
	t.RecordDecision(now, lentilmux.Decision{
		What: "config_snapshot", Subject: "config", Chosen: fmt.Sprint(snapshot.Revision),
		Reason: fmt.Sprintf("newer than revision %d", t.Self.Revision),
	})
	adoptTimeline(t, snapshot)
}

// isNewer reports whether a snapshot is newer than the configuration in force.
func (s *Configure) isNewer(t *table.Tables, snapshot lentilmux.Snapshot) bool {
	return snapshot.Revision > t.Self.Revision && snapshot.Timeline >= t.Streams.Config.AppliedTimeline
}

// applyEntry applies one entry. The entry takes a revision even if its command
// is refused.
func (s *Configure) applyEntry(t *table.Tables, now time.Time, entry lentilmux.ConfigEntry) {
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
		s.answerPending(t, *row)
		return
	}
	t.History.SinceSnapshot++
	row := table.HistoryRow{
		Revision: t.Self.Revision, At: entry.At, ID: record.ID, Who: record.Who, Text: record.Text, Command: record.Command,
	}
	row.Accepted, row.Detail = s.executeRecord(t, entry)
	t.History.Add(row)
	verdict := "refused"
	if row.Accepted {
		verdict = "accepted"
	}
	t.RecordDecision(now, lentilmux.Decision{
		What: "config", Subject: row.Text, Chosen: verdict, Reason: row.Detail,
		Considered: []string{fmt.Sprintf("revision %d", row.Revision), "who " + row.Who},
	})
	s.answerPending(t, row)
}

// executeRecord applies the command of an entry if the configuration allows it.
func (s *Configure) executeRecord(t *table.Tables, entry lentilmux.ConfigEntry) (accepted bool, detail string) {
	if entry.DecodeError != "" {
		return false, "unreadable record: " + entry.DecodeError
	}
	if entry.Record.Command == nil {
		return false, "record without a command"
	}
	command := *entry.Record.Command
	if err := checkCommand(t, command); err != nil {
		return false, err.Error()
	}
	applyCommand(t, command, t.Self.Revision)
	return true, "in force"
}

// answerPending answers the operator who waits for the record of row, if there
// is one.
func (s *Configure) answerPending(t *table.Tables, row table.HistoryRow) {
	command := t.PendingCommands.Find(row.ID)
	if command == nil {
		return
	}
	t.Answer(command.CorrelationID, commandAnswer(row))
	t.PendingCommands.Remove(row.ID)
}

func commandAnswer(row table.HistoryRow) lentilmux.CommandAnswer {
	return lentilmux.CommandAnswer{
		Accepted: row.Accepted, OutcomeKnown: !row.VerdictUnknown, Revision: row.Revision, Detail: row.Detail,
	}
}

// submitCommand appends an operator's command to the log. Whether the command
// is accepted is decided in log order, when it is read back. A dry run is
// checked against the configuration in force at this node.
func (s *Configure) submitCommand(t *table.Tables, now time.Time, event table.CommandEvent) {
	if row := t.History.Find(event.ID); row != nil {
		t.Answer(event.CorrelationID, commandAnswer(*row))
		return
	}
	refuse := func(detail string) {
		t.Answer(event.CorrelationID, lentilmux.CommandAnswer{OutcomeKnown: true, Revision: t.Self.Revision, Detail: detail})
	}
	row := &t.Streams.Config
	switch err := checkCommand(t, event.Command); {
	case event.DryRun && err != nil:
		refuse("would be refused: " + err.Error())
	case event.DryRun:
		t.Answer(event.CorrelationID, lentilmux.CommandAnswer{
			Accepted: true, OutcomeKnown: true, Revision: t.Self.Revision, Detail: "would be accepted; nothing was changed",
		})
	case !row.RegressedSince.IsZero():
		refuse("the log has lost records of the configuration in force; nothing was changed")
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

// retryPendingCommands appends commands again that were not read back, until
// their deadlines. Then it answers that the outcome is unknown.
func (s *Configure) retryPendingCommands(t *table.Tables, now time.Time) {
	for i := len(t.PendingCommands.Rows) - 1; i >= 0; i-- {
		command := &t.PendingCommands.Rows[i]
		if !now.Before(command.Deadline) {
			t.Answer(command.CorrelationID, lentilmux.CommandAnswer{
				Detail: "the log did not confirm in time; look for " + command.Record.ID + " in the history",
			})
			t.PendingCommands.Remove(command.Record.ID)
			continue
		}
		if now.Sub(command.AppendedAt) >= appendRetryInterval {
			command.AppendedAt = now
			t.AddEffect(lentilmux.ConfigAppendEffect{Record: command.Record})
		}
		t.WakeAt(command.AppendedAt.Add(appendRetryInterval))
	}
}

// hasLowestName reports whether the node has the lowest name of the entry VMs
// whose digests arrived within the timeout.
func hasLowestName(t *table.Tables, now time.Time, timeout time.Duration) bool {
	for i := range t.Peers.Rows {
		p := &t.Peers.Rows[i]
		if p.Name < t.Self.Name && now.Sub(p.LastDigestAt) < timeout {
			return false
		}
	}
	return true
}
