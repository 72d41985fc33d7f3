package lentilmux

import (
	"context"
	"time"
)

// Stream names one stream of the platform's append-only log.
type Stream string

// The streams that the system uses.
const (
	// StreamConfig carries operators' commands and snapshots.
	StreamConfig Stream = "config"
	// StreamCalls carries [CallRecord] entries: intents and outcomes of calls
	// with an idempotency key, crashes, and releases from quarantine.
	StreamCalls Stream = "calls"
)

// Log is the platform's append-only log.
type Log interface {
	// Append appends entries in order, atomically. After an error it is unknown
	// whether they were appended.
	Append(ctx context.Context, stream Stream, entries [][]byte) (err error)
	// Read returns the entries from the offset first onward. If there are none,
	// it waits for one, at most for the duration wait.
	Read(ctx context.Context, stream Stream, first uint64, wait time.Duration) (page LogPage, err error)
}

// LogPage is the result of one read of a stream.
type LogPage struct {
	Timeline Timeline // of the offsets
	Start    uint64   // the oldest offset still kept
	End      uint64   // the offset that the next entry will get
	Entries  []LogEntry
}

// LogEntry is one entry of a stream.
type LogEntry struct {
	Offset uint64
	At     time.Time // when the log appended it, by the log's clock
	Data   []byte
}
