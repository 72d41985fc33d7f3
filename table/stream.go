package table

import "time"

// StreamRow is what the node knows of one stream of the platform's log.
type StreamRow struct {
	Next       uint64 // the offset that is read next
	Shift      uint64 // what is added to an offset for its revision
	End        uint64 // the stream's end as last heard
	ReadAt     time.Time
	FailedAt   time.Time // the first failure since ReadAt
	KnownSince time.Time // entries after this time are all known; zero for all
	CaughtUp   bool      // whether Next once reached End
	Regressed  time.Time // since when the stream ends before what was read from it
	Seen       bool      // whether it was ever read
	Outdated   bool      // whether it held a record of a newer version
}

// Healthy reports whether the stream was read since its last failure and is
// not shorter than it was.
func (s *StreamRow) Healthy() bool {
	return s.Seen && s.FailedAt.IsZero() && s.Regressed.IsZero()
}

// Streams are the streams that the system uses.
type Streams struct {
	Config StreamRow
	Calls  StreamRow
}
