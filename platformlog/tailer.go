package platformlog

import (
	"context"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

const (
	// readWait is how long a read waits for the first new entry.
	readWait = time.Second
	// retryWait is the pause after a failed read or append.
	retryWait = 200 * time.Millisecond
)

// Tailer reads both streams from their starts on and hands every page to a
// node, in order.
type Tailer struct {
	log  lentilmux.Log
	node lentilmux.NodeClient
}

// NewTailer returns a tailer from log to node.
func NewTailer(log lentilmux.Log, node lentilmux.NodeClient) *Tailer {
	return &Tailer{log: log, node: node}
}

// Run tails both streams until ctx ends.
func (t *Tailer) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.tail(ctx, lentilmux.StreamConfig, configMsg)
	}()
	t.tail(ctx, lentilmux.StreamCalls, callMsg)
	<-done
}

// tail reads one stream. A page that ends before the offset asked for is
// handed on too, since it shows that the log is shorter than it was; reading
// goes on at its end.
func (t *Tailer) tail(ctx context.Context, stream lentilmux.Stream, decode func(lentilmux.LogPage) lentilmux.Msg) {
	var next uint64
	for ctx.Err() == nil {
		page, err := t.log.Read(ctx, stream, next, readWait)
		if err != nil {
			if t.node.Send(ctx, lentilmux.LogFailedMsg{Stream: stream, Err: err}) != nil {
				return
			}
			sleep(ctx, retryWait)
			continue
		}
		if t.node.Send(ctx, decode(page)) != nil {
			return
		}
		if count := len(page.Entries); count > 0 {
			next = page.Entries[count-1].Offset + 1
		}
		next = min(next, page.End)
	}
}

// configMsg decodes a page of [lentilmux.StreamConfig].
func configMsg(page lentilmux.LogPage) lentilmux.Msg {
	msg := lentilmux.ConfigPageMsg{Start: page.Start, End: page.End}
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

// callMsg decodes a page of [lentilmux.StreamCalls].
func callMsg(page lentilmux.LogPage) lentilmux.Msg {
	msg := lentilmux.CallPageMsg{Start: page.Start, End: page.End}
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

// sleep waits for the duration or the end of ctx.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
