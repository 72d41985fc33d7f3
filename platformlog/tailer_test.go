package platformlog_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/platformlog"
	"lentilmux.example/lentilmux/standin"
)

// tailedLog logs the reads of a tailer from the calls stream of a log, and the
// messages that the tailer sends to the node. While late is set, reads return it.
type tailedLog struct {
	*standin.Log
	started time.Time

	mu   sync.Mutex
	out  strings.Builder
	late *lentilmux.LogPage
}

// printf adds a line to the log of reads and messages.
func (l *tailedLog) printf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(&l.out, "%6s "+format+"\n", append([]any{time.Since(l.started)}, args...)...)
}

// setLate sets the page that reads return; nil ends it.
func (l *tailedLog) setLate(page *lentilmux.LogPage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.late = page
}

// latePage returns the page that reads return, or nil.
func (l *tailedLog) latePage() *lentilmux.LogPage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.late
}

func (l *tailedLog) Read(ctx context.Context, stream lentilmux.Stream, first uint64, wait time.Duration) (page lentilmux.LogPage, err error) {
	if stream != lentilmux.StreamCalls {
		<-ctx.Done()
		return page, ctx.Err()
	}
	l.printf("read from offset %d", first)
	if late := l.latePage(); late != nil {
		return *late, nil
	}
	return l.Log.Read(ctx, stream, first, wait)
}

func (l *tailedLog) Ask(context.Context, lentilmux.Msg) (lentilmux.Answer, error) { return nil, nil }

func (l *tailedLog) Send(_ context.Context, msg lentilmux.Msg) error {
	page, ok := msg.(lentilmux.CallPageMsg)
	if !ok {
		return nil
	}
	var entries strings.Builder
	for _, entry := range page.Entries {
		fmt.Fprintf(&entries, " %s@%d", entry.Record.ID, entry.Offset)
	}
	l.printf("page of timeline %d, restored at %d, start %d, end %d:%s", page.Timeline, page.RestoredAt, page.Start, page.End, entries.String())
	return nil
}

// write appends one call record for each ID at once.
func (l *tailedLog) write(t *testing.T, ids ...string) {
	t.Helper()
	var entries [][]byte
	for _, id := range ids {
		data, err := platformlog.EncodeCall(lentilmux.CallRecord{Kind: lentilmux.CallRecordRelease, ID: id})
		if err != nil {
			t.Fatal(err)
		}
		entries = append(entries, data)
	}
	if err := l.Append(t.Context(), lentilmux.StreamCalls, entries); err != nil {
		t.Fatal(err)
	}
}

// TestTailer compares the reads of a tailer, and the pages that it sends to the
// node, with the golden file. It guards against entries of a restored log that are
// missed since their offsets were read before, against entries that are sent twice,
// and against late answers that mix two histories.
func TestTailer(t *testing.T) {
	const copyAge = 500 * time.Millisecond
	cases := []struct {
		name string
		run  func(l *tailedLog, t *testing.T)
	}{
		{"restored, shorter than before", func(l *tailedLog, t *testing.T) {
			l.RestoreCopy(copyAge)
		}},
		{"restored and grown past its old end", func(l *tailedLog, t *testing.T) {
			l.RestoreCopy(copyAge)
			l.write(t, "n1", "n2", "n3", "n4")
		}},
		{"restored with all that was read", func(l *tailedLog, t *testing.T) {
			l.RestoreCopy(0)
			l.write(t, "n1")
		}},
		{"a lost entry is written again at its offset", func(l *tailedLog, t *testing.T) {
			l.RestoreCopy(copyAge)
			l.write(t, "c", "n1")
		}},
		{"restored twice between two reads", func(l *tailedLog, t *testing.T) {
			l.RestoreCopy(copyAge)
			l.write(t, "n1", "n2", "n3")
			l.RestoreCopy(2 * time.Second)
			l.write(t, "m1")
		}},
		{"restored without the oldest entries", func(l *tailedLog, t *testing.T) {
			l.RestoreCopy(copyAge)
			l.write(t, "n1")
			l.Trim(lentilmux.StreamCalls, 2)
		}},
		{"late answers of the old timeline", func(l *tailedLog, t *testing.T) {
			l.RestoreCopy(copyAge)
			time.Sleep(300 * time.Millisecond)
			l.setLate(&lentilmux.LogPage{End: 9})
			l.write(t, "n1")
			time.Sleep(350 * time.Millisecond)
			l.setLate(nil)
			l.write(t, "n2")
		}},
	}
	var out strings.Builder
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			l := &tailedLog{Log: standin.NewLog(0), started: time.Now()}
			l.write(t, "a", "b")
			go platformlog.NewTailer(l, l).Run(ctx)
			time.Sleep(900 * time.Millisecond)
			l.write(t, "c", "d")
			synctest.Wait()
			l.SetOutage(true) // the next read follows after the changes
			synctest.Wait()
			l.SetOutage(false)
			l.printf("restore")
			c.run(l, t)
			time.Sleep(1350 * time.Millisecond)
			cancel()
			synctest.Wait()
			fmt.Fprintf(&out, "== %s\n%s", c.name, l.out.String())
		})
	}
	goldie.New(t).Assert(t, "tailer", []byte(out.String()))
}
