package system

import (
	"slices"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

// A VM can know accepted commands that the log lost and that no VM knew which was up
// when the timeline started. It appends them again, one at a time, on the condition
// that their entities have not been changed since.

// lostCommandTimeout is how long a lost command is appended again before the next
// attempt begins.
const lostCommandTimeout = 10 * time.Second

// noteLostCommands notes the operators' accepted commands among the rows, but not
// those whose entities have been changed on the new timeline, and so have a revision
// above the last one of the old timeline.
func noteLostCommands(t *table.Tables, rows []table.HistoryRow, last lentilmux.Revision) {
	for _, row := range rows {
		if !row.Accepted || row.Command == nil || row.Command.Automatic {
			continue
		}
		revision, _ := entityRevision(t, row.Command.Entity, row.Command.Name)
		if revision > last {
			continue
		}
		t.LostCommands.Rows = append(t.LostCommands.Rows, table.LostCommand{
			ID: row.ID, Who: row.Who, Text: row.Text, Command: *row.Command, IfRevision: revision,
		})
	}
}

// rewriteLostCommands appends the first lost command again until its verdict is
// known, then continues with the next.
func (s *Configure) rewriteLostCommands(t *table.Tables, now time.Time) {
	for len(t.LostCommands.Rows) > 0 {
		lost := t.LostCommands.Rows[0]
		row := t.History.Find(lost.ID)
		if row == nil {
			s.appendLostCommand(t, now, lost)
			return
		}
		t.LostCommands.Rows = t.LostCommands.Rows[1:]
		settleEntity(t, lost, *row)
	}
}

// appendLostCommand appends a lost command again if the log takes commands.
func (s *Configure) appendLostCommand(t *table.Tables, now time.Time, lost table.LostCommand) {
	if t.PendingCommands.Find(lost.ID) != nil || !t.Streams.Config.Healthy() {
		return
	}
	command := lost.Command
	command.IfRevision = lost.IfRevision
	record := lentilmux.ConfigRecord{ID: lost.ID, Who: lost.Who, Text: lost.Text, Command: &command}
	t.PendingCommands.Put(table.PendingCommand{Record: record, Deadline: now.Add(lostCommandTimeout), AppendedAt: now})
	t.AddEffect(lentilmux.ConfigAppendEffect{Record: record})
	t.RecordDecision(now, lentilmux.Decision{What: "config", Subject: lost.Text, Chosen: "append_again", Reason: "the log lost the accepted command"})
}

// settleEntity prepares the later lost commands for the same entity: they follow an
// accepted command, and are dropped after a refused one, since the entity has been
// changed by others.
func settleEntity(t *table.Tables, lost table.LostCommand, verdict table.HistoryRow) {
	t.LostCommands.Rows = slices.DeleteFunc(t.LostCommands.Rows, func(l table.LostCommand) bool {
		return !verdict.Accepted && sameEntity(l, lost)
	})
	for i := range t.LostCommands.Rows {
		if l := &t.LostCommands.Rows[i]; sameEntity(*l, lost) {
			l.IfRevision = verdict.Revision
		}
	}
}

func sameEntity(a, b table.LostCommand) bool {
	return a.Command.Entity == b.Command.Entity && a.Command.Name == b.Command.Name
}
