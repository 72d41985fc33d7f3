package platformlog

import (
	"context"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

const (
	// followTimeout bounds a read, in addition to the wait that it asks for.
	followTimeout = 500 * time.Millisecond
	// minRetryDelay is the backoff after a first failed read. It doubles with
	// each further failure, up to maxRetryDelay.
	minRetryDelay = 150 * time.Millisecond
	// maxRetryDelay bounds the backoff after failed reads.
	maxRetryDelay = 900 * time.Millisecond
	// retryDuration is how long the read takes that follows a failed one.
	retryDuration = 150 * time.Millisecond
)

// SilenceDelay is the time from the end of a read's wait, which no answer ended since
// the connection is silent, until the next read has been answered on another one.
const SilenceDelay = followTimeout + minRetryDelay + retryDuration

const (
	// errRestored reports that the log was restored from an earlier copy since the
	// stream was listed.
	errRestored = errors.ConstError("log was restored from an earlier copy")
	// errBehind reports that a page ends before the log does.
	errBehind = errors.ConstError("page ends before the log does")
	// errOutdatedTimeline reports an answer from before the last known restore.
	errOutdatedTimeline = errors.ConstError("answer is of an earlier timeline")
)

// DecodeFunc decodes an entry of a compacted stream. If the entry cannot be
// decoded, the update's DecodeError says why.
type DecodeFunc func(entry lentilmux.CompactedEntry) (update lentilmux.StreamUpdate)

// PollTiming sets how often a stream is read.
type PollTiming struct {
	MaxWait     time.Duration // how long one read waits for new entries
	MinInterval time.Duration // minimum time from the start of one read to the next, for a busy stream
}

// Follower sends the contents of a compacted stream to a node: first the newest
// entry of each key, then every change. Each message carries the time at which
// the read was sent, since the data may be as old as that.
type Follower struct {
	log        lentilmux.CompactedLog
	node       lentilmux.NodeClient
	clock      func() time.Time
	stream     lentilmux.Stream
	decode     DecodeFunc
	timing     func(stream lentilmux.Stream) PollTiming
	position   lentilmux.LogPosition // where the next read starts
	listed     bool                  // whether the stream was listed and can be followed from there
	retryDelay time.Duration         // backoff after the last read; zero if it succeeded
}

// NewFollower returns a follower of one stream. The clock has to continue while
// the VM is suspended, so that data does not seem fresh afterwards. Each
// successful read renews the age of the node's data, also if it returns no
// entries. The follower calls timing for each read.
func NewFollower(log lentilmux.CompactedLog, node lentilmux.NodeClient, clock func() time.Time, stream lentilmux.Stream, decode DecodeFunc, timing func(stream lentilmux.Stream) PollTiming) *Follower {
	return &Follower{log: log, node: node, clock: clock, stream: stream, decode: decode, timing: timing}
}

// Run follows the stream until ctx ends or the node stops. It lists the stream
// again at once if the store has dropped entries that were not read yet, or was
// restored from an earlier copy: its offsets mean other entries then. It does so, too,
// if a read returns only part of what is new: the rest may be many pages, of which
// the listing has only the newest entry of each key.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		msg, err := f.read(ctx)
		switch {
		case err == nil:
			f.listed, f.position, f.retryDelay = true, msg.Position, 0
			err = f.node.Send(ctx, msg)
		case errors.Is(err, errRestored), errors.Is(err, errBehind), f.listed && errors.Is(err, lentilmux.ErrTruncated):
			f.listed = false
			continue
		default:
			f.retryDelay = min(max(2*f.retryDelay, minRetryDelay), maxRetryDelay)
			err = f.node.Send(ctx, lentilmux.StreamReadFailedMsg{Stream: f.stream, Err: err})
			sleep(ctx, f.retryDelay)
		}
		if err != nil {
			return
		}
		sleep(ctx, f.timing(f.stream).MinInterval-time.Since(started))
	}
}

// read lists the stream, or follows it once it was listed.
func (f *Follower) read(ctx context.Context) (msg lentilmux.StreamUpdatesMsg, err error) {
	if f.listed {
		return f.follow(ctx)
	}
	return f.list(ctx)
}

// checkTimeline returns an error unless an answer is of the timeline that is
// expected: [errRestored] for a later one, [errOutdatedTimeline] for an earlier one.
func checkTimeline(got, expected lentilmux.Timeline) (err error) {
	defer errors.DeferredAnnotatef(&err, "timeline %d, expected %d", got, expected)
	switch {
	case got > expected:
		return errRestored
	case got < expected:
		return errOutdatedTimeline
	}
	return nil
}

// list reads the newest entry of each key, page by page. The pages are not a
// consistent snapshot. Following therefore starts at the end offset of the
// first page, so that entries added during the listing are read again. All pages
// have to be of one timeline.
func (f *Follower) list(ctx context.Context) (msg lentilmux.StreamUpdatesMsg, err error) {
	defer errors.DeferredAnnotatef(&err, "listing stream %s", f.stream)
	msg = lentilmux.StreamUpdatesMsg{Stream: f.stream, AsOf: f.clock(), AllKeys: true}
	after := ""
	for pageNumber := 0; ; pageNumber++ {
		page, err := f.listPage(ctx, after)
		if err != nil {
			return msg, err
		}
		if pageNumber == 0 {
			if page.Timeline < f.position.Timeline {
				return msg, checkTimeline(page.Timeline, f.position.Timeline)
			}
			msg.Position = lentilmux.LogPosition{Timeline: page.Timeline, Offset: page.End}
			msg.AsOf = msg.AsOf.Add(-page.Lag)
		}
		if err := checkTimeline(page.Timeline, msg.Position.Timeline); err != nil {
			return msg, err
		}
		for _, entry := range page.Entries {
			msg.Updates = append(msg.Updates, f.decode(entry))
			after = entry.Key
		}
		if !page.More || len(page.Entries) == 0 {
			return msg, nil
		}
	}
}

// listPage reads the newest entries of the keys after the given one.
func (f *Follower) listPage(ctx context.Context, after string) (page lentilmux.CompactedPage, err error) {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	return f.log.Newest(ctx, f.stream, after)
}

// follow reads the entries after the last read.
func (f *Follower) follow(ctx context.Context) (msg lentilmux.StreamUpdatesMsg, err error) {
	defer errors.DeferredAnnotatef(&err, "following stream %s", f.stream)
	wait := f.timing(f.stream).MaxWait
	if f.retryDelay > 0 {
		wait = 0 // after a failure, find out without delay whether the store responds
	}
	ctx, cancel := context.WithTimeout(ctx, wait+followTimeout)
	defer cancel()
	msg = lentilmux.StreamUpdatesMsg{Stream: f.stream, AsOf: f.clock(), Position: f.position}
	page, err := f.log.Follow(ctx, f.stream, f.position, wait)
	if err != nil {
		return msg, err
	}
	if err := checkTimeline(page.Timeline, f.position.Timeline); err != nil {
		return msg, err
	}
	if !page.ReachesEnd(f.position.Offset) {
		return msg, f.reportBehind(ctx, page)
	}
	msg.AsOf = msg.AsOf.Add(-page.Lag)
	msg.Position.Offset = page.Next(f.position.Offset)
	for _, entry := range page.Entries {
		msg.Updates = append(msg.Updates, f.decode(entry))
	}
	return msg, nil
}

// reportBehind tells the node that a page ends before the log does, and returns
// [errBehind].
func (f *Follower) reportBehind(ctx context.Context, page lentilmux.CompactedPage) (err error) {
	position := lentilmux.LogPosition{Timeline: page.Timeline, Offset: page.Next(f.position.Offset)}
	if err := f.node.Send(ctx, lentilmux.StreamBehindMsg{Stream: f.stream, Position: position, End: page.End}); err != nil {
		return err
	}
	return errBehind
}
