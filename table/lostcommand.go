package table

import "lentilmux.example/lentilmux"

// LostCommand is an accepted command that the log lost in a restore and the snapshot
// that starts the timeline lacks.
type LostCommand struct {
	ID         string
	Who        string
	Text       string
	Command    lentilmux.Command
	IfRevision lentilmux.Revision // at which the command's entity must still be
}

// LostCommands is the table of [LostCommand] rows in the order in which they were
// accepted.
type LostCommands struct {
	Rows []LostCommand
}
