package table

import "time"

// StreamRow is what the node knows of one stream of the platform's log.
type StreamRow struct {
	NextOffset      uint64 // the offset that is read next
	RevisionOffset  uint64 // what is added to an offset for its revision
	EndOffset       uint64 // the stream's end as last heard
	ReadAt          time.Time
	FailedAt        time.Time // the first failure since ReadAt
	KnownSince      time.Time // entries after this time are all known; zero for all
	CaughtUp        bool      // whether Next once reached End
	RegressedSince  time.Time // since when the stream ends before what was read from it
	EverRead        bool      // whether it was ever read
	NewerRecordSeen bool      // whether it held a record of a newer version
}

// Healthy reports whether the stream was read since its last failure and is
// not shorter than it was.
func (s *StreamRow) Healthy() bool {
	return s.EverRead && s.FailedAt.IsZero() && s.RegressedSince.IsZero()
}

// Streams are the streams that the system uses.
type Streams struct {
	Config StreamRow
	Calls  StreamRow
}
