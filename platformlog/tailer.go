package platformlog

import (
	"context"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

const (
	// readWait is how long a read waits for a first new entry.
	readWait = time.Second
	// retryDelay is the delay after a failed read or append.
	retryDelay = 200 * time.Millisecond
)

// Tailer reads the configuration stream and the calls stream from their
// beginning and sends every page to a node, in order.
type Tailer struct {
	log  lentilmux.Log
	node lentilmux.NodeClient
}

// NewTailer returns a tailer that reads log and sends to node.
func NewTailer(log lentilmux.Log, node lentilmux.NodeClient) *Tailer {
	return &Tailer{log: log, node: node}
}

// Run reads both streams until ctx ends or the node stops. Failed reads are
// reported to the node and retried.
func (t *Tailer) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.tail(ctx, lentilmux.StreamConfig, decodeConfigPage)
	}()
	t.tail(ctx, lentilmux.StreamCalls, decodeCallPage)
	<-done
}

// tail reads one stream. A page that ends before the requested offset is also
// sent to the node, since it shows that the log has become shorter. Reading
// continues at the end of that page. On a new timeline it continues at the first
// entry that differs from those that it has read.
func (t *Tailer) tail(ctx context.Context, stream lentilmux.Stream, decode func(lentilmux.LogPage, uint64) lentilmux.Msg) {
	var position readPosition
	for ctx.Err() == nil {
		wait := readWait
		if position.comparing {
			wait = 0
		}
		page, err := t.log.Read(ctx, stream, position.next(), wait)
		if err != nil {
			if t.node.Send(ctx, lentilmux.LogFailedMsg{Stream: stream, Err: err}) != nil {
				return
			}
			sleep(ctx, retryDelay)
			continue
		}
		if page.Timeline < position.timeline { // a late answer
			sleep(ctx, retryDelay)
			continue
		}
		if page.Timeline > position.timeline {
			position.restored(page.Timeline)
			continue
		}
		asked := position.next()
		if position.comparing && !position.compare(&page) {
			if position.next() == asked { // a faulty log: nothing of what was asked for
				sleep(ctx, retryDelay)
			}
			continue
		}
		if t.node.Send(ctx, decode(page, position.end())) != nil {
			return
		}
		position.advance(page)
	}
}

// decodeConfigPage decodes a page of [lentilmux.StreamConfig]. Entries that
// cannot be decoded carry the error.
func decodeConfigPage(page lentilmux.LogPage, restoredAt uint64) lentilmux.Msg {
	msg := lentilmux.ConfigPageMsg{Timeline: page.Timeline, RestoredAt: restoredAt, Start: page.Start, End: page.End}
	for _, entry := range page.Entries {
		record, err := DecodeConfig(entry.Data)
		decoded := lentilmux.ConfigEntry{Offset: entry.Offset, At: entry.At, Record: record}
		if err != nil {
			decoded.DecodeError = err.Error()
			decoded.NewerVersion = errors.Is(err, ErrNewerVersion)
		}
		msg.Entries = append(msg.Entries, decoded)
	}
	return msg
}

// decodeCallPage decodes a page of [lentilmux.StreamCalls]. Entries that cannot
// be decoded carry the error.
func decodeCallPage(page lentilmux.LogPage, restoredAt uint64) lentilmux.Msg {
	msg := lentilmux.CallPageMsg{Timeline: page.Timeline, RestoredAt: restoredAt, Start: page.Start, End: page.End}
	for _, entry := range page.Entries {
		record, err := DecodeCall(entry.Data)
		decoded := lentilmux.CallEntry{Offset: entry.Offset, At: entry.At, Record: record}
		if err != nil {
			decoded.DecodeError = err.Error()
		}
		msg.Entries = append(msg.Entries, decoded)
	}
	return msg
}

// sleep waits until the duration has passed or ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
