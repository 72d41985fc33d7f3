package platformlog_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/platformlog"
)

// oddLog is a faulty log: once it has answered its first read, it answers all others
// with the same page. It is also a node that takes all messages.
type oddLog struct {
	first, later lentilmux.LogPage
	reads        int
}

func (o *oddLog) Read(ctx context.Context, stream lentilmux.Stream, _ uint64, _ time.Duration) (page lentilmux.LogPage, err error) {
	if stream != lentilmux.StreamCalls {
		<-ctx.Done()
		return page, ctx.Err()
	}
	time.Sleep(time.Millisecond)
	o.reads++
	if o.reads == 1 {
		return o.first, nil
	}
	return o.later, nil
}

func (o *oddLog) Append(context.Context, lentilmux.Stream, [][]byte) (err error) { return nil }

func (o *oddLog) Send(context.Context, lentilmux.Msg) (err error) { return nil }

func (o *oddLog) Ask(context.Context, lentilmux.Msg) (answer lentilmux.Answer, err error) {
	return nil, nil
}

// TestTailerOfFaultyLog guards against a process that ends, or reads without pause,
// since a restored log answers with other entries than it was asked for, or with none.
func TestTailerOfFaultyLog(t *testing.T) {
	const maxReads = 20 // in 2 s
	entries := func(offsets ...uint64) (entries []lentilmux.LogEntry) {
		for _, offset := range offsets {
			entries = append(entries, lentilmux.LogEntry{Offset: offset, Data: []byte("entry")})
		}
		return entries
	}
	first := lentilmux.LogPage{Start: 5, End: 7, Entries: entries(5, 6)}
	for name, later := range map[string]lentilmux.LogPage{
		"no entries before the end":           {Timeline: 1, Start: 5, End: 100},
		"entries before those that were read": {Timeline: 1, Start: 3, End: 100, Entries: entries(3, 4)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				log := &oddLog{first: first, later: later}
				platformlog.NewTailer(log, log).Run(ctx)
				if log.reads > maxReads {
					t.Errorf("%d reads in 2 s; expected at most %d", log.reads, maxReads)
				}
			})
		})
	}
}
