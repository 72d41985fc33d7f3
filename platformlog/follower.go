package platformlog

import (
	"context"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

const (
	// followTimeout bounds a read beyond its wait.
	followTimeout = 500 * time.Millisecond
	// followRetry is the pause after a read that failed; it doubles with each
	// further one up to followRetryMost.
	followRetry     = 150 * time.Millisecond
	followRetryMost = 900 * time.Millisecond
)

// DecodeFunc makes a fact of an entry. An entry that cannot be read gives a fact
// that says why.
type DecodeFunc func(entry lentilmux.KeyedEntry) (fact lentilmux.StreamUpdate)

// PollTiming is how often a stream is read.
type PollTiming struct {
	MaxWait     time.Duration // for news, of one read
	MinInterval time.Duration // the least time between two reads, for a busy stream
}

// Follower keeps a node informed of a compacted stream: first of its newest
// entries, then of each change. Every message tells when the read was sent,
// since the answer is no newer than that.
type Follower struct {
	log    lentilmux.KeyedLog
	node   lentilmux.NodeClient
	clock  func() time.Time
	stream lentilmux.Stream
	decode DecodeFunc
	pace   func(stream lentilmux.Stream) PollTiming
	retry  time.Duration // the last pause after a read that failed; zero if it did not
}

// NewFollower returns a follower of one stream. The clock has to go on while
// the VM is suspended. The answer about a quiet stream renews the age of what
// is known. The pace is asked for before each read.
func NewFollower(log lentilmux.KeyedLog, node lentilmux.NodeClient, clock func() time.Time, stream lentilmux.Stream, decode DecodeFunc, pace func(stream lentilmux.Stream) PollTiming) *Follower {
	return &Follower{log: log, node: node, clock: clock, stream: stream, decode: decode, pace: pace}
}

// Run follows the stream until ctx ends or the node stops.
func (f *Follower) Run(ctx context.Context) {
	var next uint64
	listed := false
	for ctx.Err() == nil {
		started := time.Now()
		var msg lentilmux.StreamUpdatesMsg
		var err error
		if !listed {
			msg, next, err = f.list(ctx)
		} else {
			msg, next, err = f.follow(ctx, next)
		}
		switch {
		case err == nil:
			listed, f.retry = true, 0
			err = f.node.Send(ctx, msg)
		case errors.Is(err, lentilmux.ErrTruncated):
			listed, err = false, nil
		default:
			f.retry = min(max(2*f.retry, followRetry), followRetryMost)
			err = f.node.Send(ctx, lentilmux.StreamReadFailedMsg{Stream: f.stream, Err: err})
			sleep(ctx, f.retry)
		}
		if err != nil {
			return
		}
		sleep(ctx, f.pace(f.stream).MinInterval-time.Since(started))
	}
}

// list reads the newest entries of all keys. They are no snapshot, so what
// changed meanwhile is read again from the end that the first part named.
func (f *Follower) list(ctx context.Context) (msg lentilmux.StreamUpdatesMsg, next uint64, err error) {
	defer errors.DeferredAnnotatef(&err, "listing %s", f.stream)
	msg = lentilmux.StreamUpdatesMsg{Stream: f.stream, AsOf: f.clock(), AllKeys: true}
	after := ""
	for part := 0; ; part++ {
		page, err := f.newest(ctx, after)
		if err != nil {
			return msg, 0, err
		}
		if part == 0 {
			next = page.End
			msg.AsOf = msg.AsOf.Add(-page.Lag)
		}
		for _, entry := range page.Entries {
			msg.Updates = append(msg.Updates, f.decode(entry))
			after = entry.Key
		}
		if !page.More || len(page.Entries) == 0 {
			return msg, next, nil
		}
	}
}

func (f *Follower) newest(ctx context.Context, after string) (page lentilmux.KeyedPage, err error) {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	return f.log.Newest(ctx, f.stream, after)
}

// follow reads what came since next.
func (f *Follower) follow(ctx context.Context, next uint64) (msg lentilmux.StreamUpdatesMsg, end uint64, err error) {
	defer errors.DeferredAnnotatef(&err, "following %s", f.stream)
	wait := f.pace(f.stream).MaxWait
	if f.retry > 0 {
		wait = 0 // news of whether the store answers comes first
	}
	ctx, cancel := context.WithTimeout(ctx, wait+followTimeout)
	defer cancel()
	msg = lentilmux.StreamUpdatesMsg{Stream: f.stream, AsOf: f.clock()}
	page, err := f.log.Follow(ctx, f.stream, next, wait)
	if err != nil {
		return msg, next, err
	}
	msg.AsOf = msg.AsOf.Add(-page.Lag)
	for _, entry := range page.Entries {
		msg.Updates = append(msg.Updates, f.decode(entry))
		next = entry.Offset + 1
	}
	return msg, next, nil
}
