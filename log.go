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
	// StreamCalls carries intents and outcomes of keyed calls.
	StreamCalls Stream = "calls"
)

// Log is the platform's append-only log.
type Log interface {
	// Append adds entries in order as one unit. After an error it is not
	// known whether they were added.
	Append(ctx context.Context, stream Stream, entries [][]byte) (err error)
	// Read returns entries from the offset from on. If there are none it
	// waits up to wait for the first.
	Read(ctx context.Context, stream Stream, from uint64, wait time.Duration) (page LogPage, err error)
}

// LogPage is a part of a stream.
type LogPage struct {
	Start   uint64 // the oldest offset still kept
	End     uint64 // the offset that the next entry will get
	Entries []LogEntry
}

// LogEntry is one entry of a stream.
type LogEntry struct {
	Offset uint64
	At     time.Time // when the log took it in
	Data   []byte
}
