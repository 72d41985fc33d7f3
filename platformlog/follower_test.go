package platformlog_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/platformlog"
)

// keyedScript plays a compacted stream by a script and a node that writes down
// what it is told.
type keyedScript struct {
	out     strings.Builder
	started time.Time
	answers []keyedAnswer // to the reads, in order; then nothing is news
}

// keyedAnswer is the answer to one read.
type keyedAnswer struct {
	after time.Duration
	page  lentilmux.KeyedPage
	err   error
}

func (s *keyedScript) next(ctx context.Context, wait time.Duration) (page lentilmux.KeyedPage, err error) {
	answer := keyedAnswer{after: wait}
	if len(s.answers) > 0 {
		answer, s.answers = s.answers[0], s.answers[1:]
	}
	select {
	case <-time.After(answer.after):
		return answer.page, answer.err
	case <-ctx.Done():
		return page, ctx.Err()
	}
}

func (s *keyedScript) Newest(ctx context.Context, _ lentilmux.Stream, after string) (page lentilmux.KeyedPage, err error) {
	fmt.Fprintf(&s.out, "%6s list behind %q\n", time.Since(s.started), after)
	return s.next(ctx, 0)
}

func (s *keyedScript) Follow(ctx context.Context, _ lentilmux.Stream, from uint64, wait time.Duration) (page lentilmux.KeyedPage, err error) {
	fmt.Fprintf(&s.out, "%6s read from %d, wait %s\n", time.Since(s.started), from, wait)
	return s.next(ctx, wait)
}

func (s *keyedScript) Put(context.Context, lentilmux.Stream, string, []byte) error { return nil }

func (s *keyedScript) Ask(context.Context, lentilmux.Msg) (lentilmux.Answer, error) { return nil, nil }

func (s *keyedScript) Send(_ context.Context, msg lentilmux.Msg) error {
	switch x := msg.(type) {
	case lentilmux.StreamUpdatesMsg:
		fmt.Fprintf(&s.out, "%6s as of %s, whole=%t:", time.Since(s.started), x.AsOf.Sub(s.started), x.AllKeys)
		for _, fact := range x.Updates {
			fmt.Fprintf(&s.out, " %s@%d", fact.Key, fact.Offset)
		}
		s.out.WriteByte('\n')
	case lentilmux.StreamReadFailedMsg:
		fmt.Fprintf(&s.out, "%6s failed: %v\n", time.Since(s.started), x.Err)
	}
	return nil
}

func page(end uint64, more bool, entries ...lentilmux.KeyedEntry) lentilmux.KeyedPage {
	return lentilmux.KeyedPage{End: end, More: more, Entries: entries}
}

func entry(key string, offset uint64) lentilmux.KeyedEntry {
	return lentilmux.KeyedEntry{Key: key, Offset: offset, Value: []byte("v")}
}

// TestFollower compares the reads of a follower, and what it tells the node,
// with the golden file.
func TestFollower(t *testing.T) {
	const wait = time.Second
	cases := []struct {
		name    string
		answers []keyedAnswer
	}{
		{"listed in parts, followed from the end that the first part named", []keyedAnswer{
			{page: page(5, true, entry("a", 1), entry("b", 4))}, {page: page(7, false, entry("c", 6))},
			{after: 300 * time.Millisecond, page: page(7, false, entry("a", 5), entry("c", 6))},
		}},
		{"a busy stream is not read without pause", []keyedAnswer{
			{page: page(0, false)}, {page: page(1, false, entry("a", 0))}, {page: page(2, false, entry("a", 1))},
		}},
		{"dropped history", []keyedAnswer{
			{page: page(3, false, entry("a", 2))}, {err: lentilmux.ErrTruncated}, {page: page(9, false, entry("a", 8))},
		}},
		{"a lost answer", []keyedAnswer{
			{page: page(3, false)}, {after: time.Hour}, {err: errors.New("refused")}, {page: page(3, false)},
		}},
	}
	var out strings.Builder
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
			defer cancel()
			s := &keyedScript{started: time.Now(), answers: c.answers}
			decode := func(e lentilmux.KeyedEntry) lentilmux.StreamUpdate {
				return lentilmux.StreamUpdate{Key: e.Key, Offset: e.Offset}
			}
			pace := func(lentilmux.Stream) platformlog.PollTiming {
				return platformlog.PollTiming{MaxWait: wait, MinInterval: 250 * time.Millisecond}
			}
			platformlog.NewFollower(s, s, time.Now, lentilmux.StreamRules, decode, pace).Run(ctx)
			fmt.Fprintf(&out, "== %s\n%s", c.name, s.out.String())
		})
	}
	goldie.New(t).Assert(t, "follower", []byte(out.String()))
}
