package table

import (
	"time"

	"lentilmux.example/lentilmux"
)

// StreamRow is the read state of one stream of the platform's log.
type StreamRow struct {
	Timeline        lentilmux.Timeline // of the last page
	AppliedTimeline lentilmux.Timeline // of the configuration in force; not used by the calls stream
	NextOffset      uint64             // next offset to read
	RevisionOffset  uint64             // added to NextOffset to get the revision in force
	EndOffset       uint64             // end of the stream at the last read
	ReadAt          time.Time          // of the last read that returned all that was new
	FailedAt        time.Time          // of the first failure since ReadAt; zero without one
	KnownSince      time.Time          // all entries after this time are known; zero if all are
	// AssumedSince is the time of the first read if that was after a restore, until
	// the record that begins the timeline shows when that was.
	AssumedSince    time.Time
	CaughtUp        bool      // whether NextOffset has reached EndOffset since the start
	RegressedSince  time.Time // since when the stream lacks entries that the log lost and that are not made up for; zero if it does not
	EverRead        bool      // whether a read has succeeded since the start
	NewerRecordSeen bool      // whether a record was written by a newer version of the program
}

// Healthy reports whether the last read of the stream succeeded and the stream
// lacks no entries that the log lost.
func (s *StreamRow) Healthy() bool {
	return s.EverRead && s.FailedAt.IsZero() && s.RegressedSince.IsZero()
}

// Streams holds the read state of each stream of the log.
type Streams struct {
	Config StreamRow
	Calls  StreamRow
}
