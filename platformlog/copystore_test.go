package platformlog_test

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/platformlog"
)

// copyScript is a fleet of three VMs under a script: two relays whose copies
// are filled by hand, and one VM that reads at them.
type copyScript struct {
	keyedScript
	relays map[netip.AddrPort]*platformlog.CopyStore
	silent map[netip.AddrPort]bool
	frozen time.Duration // how long a question takes to arrive
}

var (
	relayOne = netip.MustParseAddrPort("10.0.0.1:7340")
	relayTwo = netip.MustParseAddrPort("10.0.0.2:7340")
)

func (s *copyScript) Read(ctx context.Context, addr netip.AddrPort, read lentilmux.CopyRead) (page lentilmux.KeyedPage, err error) {
	fmt.Fprintf(&s.out, "%6s %s asked for %s from %d, whole=%t, wait %s\n", time.Since(s.started), addr.Addr(), read.Stream, read.From, read.AllKeys, read.Wait)
	if s.silent[addr] {
		<-ctx.Done()
		return page, ctx.Err()
	}
	time.Sleep(s.frozen)
	return s.relays[addr].Read(ctx, read)
}

// show writes down an answer and how new it is by the asker's clock.
func (s *copyScript) show(sent time.Time, page lentilmux.KeyedPage, err error) {
	if err != nil {
		fmt.Fprintf(&s.out, "%6s error: %v\n", time.Since(s.started), errors.Cause(err))
		return
	}
	fmt.Fprintf(&s.out, "%6s end %d, as of %s:", time.Since(s.started), page.End, sent.Add(-page.Lag).Sub(s.started))
	for _, entry := range page.Entries {
		fmt.Fprintf(&s.out, " %s@%d", entry.Key, entry.Offset)
		if len(entry.Value) == 0 {
			s.out.WriteString(" dropped")
		}
	}
	s.out.WriteByte('\n')
}

// TestCopies compares what a VM learns from others' copies, and how old it
// takes that to be, with the golden file.
func TestCopies(t *testing.T) {
	const rules = lentilmux.StreamRules
	ctx := context.Background()
	oldest := func() time.Duration { return 2 * time.Second }
	gone := lentilmux.KeyedEntry{Key: "b", Offset: 9}
	cases := []struct {
		name string
		play func(s *copyScript, near *platformlog.PeerFirstLog, one, two *platformlog.CopyStore)
	}{
		{"listed and followed at a relay, dropped keys too", func(s *copyScript, near *platformlog.PeerFirstLog, one, _ *platformlog.CopyStore) {
			one.Replace(rules, []lentilmux.KeyedEntry{entry("a", 3), entry("b", 5)}, 7, time.Now())
			time.Sleep(300 * time.Millisecond)
			sent := time.Now()
			page, err := near.Newest(ctx, rules, "")
			s.show(sent, page, err)
			time.AfterFunc(400*time.Millisecond, func() {
				one.AddEntries(rules, []lentilmux.KeyedEntry{entry("a", 8), gone}, time.Now())
			})
			sent = time.Now()
			page, err = near.Follow(ctx, rules, 7, time.Second)
			s.show(sent, page, err)
			sent = time.Now()
			page, err = near.Follow(ctx, rules, 10, time.Second)
			s.show(sent, page, err)
		}},
		{"an answer is no newer than the relay's own read, however late the question arrives", func(s *copyScript, near *platformlog.PeerFirstLog, one, _ *platformlog.CopyStore) {
			one.Replace(rules, []lentilmux.KeyedEntry{entry("a", 3)}, 7, time.Now())
			s.frozen = time.Second
			time.Sleep(200 * time.Millisecond)
			sent := time.Now()
			page, err := near.Newest(ctx, rules, "")
			s.show(sent, page, err)
		}},
		{"a copy that lags behind what is known already is not used", func(s *copyScript, near *platformlog.PeerFirstLog, one, _ *platformlog.CopyStore) {
			one.Replace(rules, []lentilmux.KeyedEntry{entry("a", 3)}, 4, time.Now())
			near.SetSources(nil)
			s.answers = []keyedAnswer{{page: page(9, false, entry("a", 8))}}
			_, _ = near.Newest(ctx, rules, "")
			near.SetSources([]netip.AddrPort{relayOne})
			s.answers = []keyedAnswer{{page: page(9, false, entry("a", 8))}}
			sent := time.Now()
			page, err := near.Newest(ctx, rules, "")
			s.show(sent, page, err)
		}},
		{"a relay that lost the store sends its askers there at once", func(s *copyScript, near *platformlog.PeerFirstLog, one, _ *platformlog.CopyStore) {
			one.Replace(rules, nil, 4, time.Now())
			time.AfterFunc(100*time.Millisecond, func() { one.MarkFailed(rules) })
			sent := time.Now()
			page, err := near.Follow(ctx, rules, 4, time.Second)
			s.show(sent, page, err)
		}},
		{"a relay whose configuration grew old is not used", func(s *copyScript, near *platformlog.PeerFirstLog, one, _ *platformlog.CopyStore) {
			one.Replace(rules, nil, 4, time.Now())
			time.Sleep(2100 * time.Millisecond)
			sent := time.Now()
			page, err := near.Follow(ctx, rules, 4, time.Second)
			s.show(sent, page, err)
		}},
		{"a silent relay is left for the store, then for the other relay, then tried again", func(s *copyScript, near *platformlog.PeerFirstLog, one, two *platformlog.CopyStore) {
			s.silent[relayOne] = true
			for range 4 {
				one.Replace(rules, nil, 4, time.Now())
				two.Replace(rules, nil, 4, time.Now())
				sent := time.Now()
				page, err := near.Follow(ctx, rules, 4, time.Second)
				s.show(sent, page, err)
				time.Sleep(500 * time.Millisecond)
			}
		}},
		{"one read in a while goes to the store when that is lost too", func(s *copyScript, near *platformlog.PeerFirstLog, one, two *platformlog.CopyStore) {
			for _, relay := range []*platformlog.CopyStore{one, two} {
				relay.Replace(rules, nil, 4, time.Now())
				relay.MarkFailed(rules)
			}
			s.answers = []keyedAnswer{{err: errors.New("refused")}, {err: errors.New("refused")}}
			for range 5 {
				sent := time.Now()
				page, err := near.Follow(ctx, rules, 4, 0)
				s.show(sent, page, err)
				time.Sleep(500 * time.Millisecond)
			}
			one.AddEntries(rules, nil, time.Now())
			two.AddEntries(rules, nil, time.Now())
			sent := time.Now()
			page, err := near.Follow(ctx, rules, 4, 0)
			s.show(sent, page, err)
		}},
		{"history that a relay does not have", func(s *copyScript, near *platformlog.PeerFirstLog, one, _ *platformlog.CopyStore) {
			one.Replace(rules, nil, 9, time.Now())
			page, err := near.Follow(ctx, rules, 4, time.Second)
			s.show(time.Now(), page, err)
		}},
	}
	var out strings.Builder
	for _, c := range cases {
		synctest.Test(t, func(*testing.T) {
			one, two := platformlog.NewCopyStore(time.Now, oldest), platformlog.NewCopyStore(time.Now, oldest)
			s := &copyScript{
				keyedScript: keyedScript{started: time.Now()},
				relays:      map[netip.AddrPort]*platformlog.CopyStore{relayOne: one, relayTwo: two}, silent: make(map[netip.AddrPort]bool),
			}
			failed := func(addr netip.AddrPort, err error) {
				fmt.Fprintf(&s.out, "%6s %s of no use: %v\n", time.Since(s.started), addr.Addr(), errors.Cause(err))
			}
			near := platformlog.NewPeerFirstLog(s, s, platformlog.NewCopyStore(time.Now, oldest), time.Now, failed)
			near.SetSources([]netip.AddrPort{relayOne, relayTwo})
			c.play(s, near, one, two)
			fmt.Fprintf(&out, "== %s\n%s", c.name, s.out.String())
		})
	}
	goldie.New(t).Assert(t, "copies", []byte(out.String()))
}
