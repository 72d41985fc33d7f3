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

// fakePeers are two peers whose copies the test fills, and a store. It logs the
// reads of the VM under test.
type fakePeers struct {
	fakeLog
	copies       map[netip.AddrPort]*platformlog.CopyCache
	unresponsive map[netip.AddrPort]bool
	requestDelay time.Duration // how long a read takes to reach a peer

	forgetsTimeline bool // whether the peers name no timeline in their answers
}

var (
	peerOne = netip.MustParseAddrPort("10.0.0.1:7340")
	peerTwo = netip.MustParseAddrPort("10.0.0.2:7340")
)

func (f *fakePeers) Read(ctx context.Context, addr netip.AddrPort, read lentilmux.CopyRead) (page lentilmux.CompactedPage, err error) {
	fmt.Fprintf(&f.out, "%6s %s was sent a read of %s from offset %d, all keys=%t, wait %s\n", time.Since(f.started), addr.Addr(), read.Stream, read.From, read.AllKeys, read.Wait)
	if f.unresponsive[addr] {
		<-ctx.Done()
		return page, ctx.Err()
	}
	time.Sleep(f.requestDelay)
	page, err = f.copies[addr].Read(ctx, read)
	if f.forgetsTimeline {
		page.Timeline = 0
	}
	return page, err
}

// offset returns a position of the first timeline, as of a log that was never
// restored.
func offset(offset uint64) lentilmux.LogPosition { return lentilmux.LogPosition{Offset: offset} }

// restored returns a position after a first restore of the log.
func restored(offset uint64) lentilmux.LogPosition {
	return lentilmux.LogPosition{Timeline: 1, Offset: offset}
}

// logPage logs the result of a read, and how up to date it is by the clock of
// the VM that sent the read.
func (f *fakePeers) logPage(sent time.Time, page lentilmux.CompactedPage, err error) {
	if err != nil {
		fmt.Fprintf(&f.out, "%6s error: %v\n", time.Since(f.started), errors.Cause(err))
		return
	}
	fmt.Fprintf(&f.out, "%6s timeline %d, end %d, as of %s:", time.Since(f.started), page.Timeline, page.End, sent.Add(-page.Lag).Sub(f.started))
	for _, entry := range page.Entries {
		fmt.Fprintf(&f.out, " %s@%d", entry.Key, entry.Offset)
		if len(entry.Value) == 0 {
			f.out.WriteString(" deleted")
		}
	}
	f.out.WriteByte('\n')
}

// TestPeerFirstLog compares with the golden file what a VM reads from the
// copies of its peers, and how old it takes the data to be. It guards against
// data that seems newer than it is, against copies that are behind, against copies
// from before and after a restore of the store that are taken for each other, and
// against load on a store that has failed.
func TestPeerFirstLog(t *testing.T) {
	const rules = lentilmux.StreamRules
	ctx := context.Background()
	maxAge := func() time.Duration { return 2 * time.Second }
	deleted := lentilmux.CompactedEntry{Key: "b", Offset: 9}
	cases := []struct {
		name string
		play func(s *fakePeers, log *platformlog.PeerFirstLog, one, two *platformlog.CopyCache)
	}{
		{"listed and followed from a peer, including deleted keys", func(s *fakePeers, log *platformlog.PeerFirstLog, one, _ *platformlog.CopyCache) {
			one.Replace(rules, []lentilmux.CompactedEntry{entry("a", 3), entry("b", 5)}, offset(7), time.Now())
			time.Sleep(300 * time.Millisecond)
			sent := time.Now()
			page, err := log.Newest(ctx, rules, "")
			s.logPage(sent, page, err)
			time.AfterFunc(400*time.Millisecond, func() {
				one.AddEntries(rules, 0, []lentilmux.CompactedEntry{entry("a", 8), deleted}, time.Now())
			})
			sent = time.Now()
			page, err = log.Follow(ctx, rules, offset(7), time.Second)
			s.logPage(sent, page, err)
			sent = time.Now()
			page, err = log.Follow(ctx, rules, offset(10), time.Second)
			s.logPage(sent, page, err)
		}},
		{"an answer is no newer than the peer's own read, however late the request arrives", func(s *fakePeers, log *platformlog.PeerFirstLog, one, _ *platformlog.CopyCache) {
			one.Replace(rules, []lentilmux.CompactedEntry{entry("a", 3)}, offset(7), time.Now())
			s.requestDelay = time.Second
			time.Sleep(200 * time.Millisecond)
			sent := time.Now()
			page, err := log.Newest(ctx, rules, "")
			s.logPage(sent, page, err)
		}},
		{"a copy behind the data already read is not used", func(s *fakePeers, log *platformlog.PeerFirstLog, one, _ *platformlog.CopyCache) {
			one.Replace(rules, []lentilmux.CompactedEntry{entry("a", 3)}, offset(4), time.Now())
			log.SetSources(nil)
			s.reads = []fakeRead{{page: page(9, false, entry("a", 8))}}
			_, _ = log.Newest(ctx, rules, "")
			log.SetSources([]netip.AddrPort{peerOne})
			s.reads = []fakeRead{{page: page(9, false, entry("a", 8))}}
			sent := time.Now()
			page, err := log.Newest(ctx, rules, "")
			s.logPage(sent, page, err)
		}},
		{"a peer that cannot read the store rejects a waiting read immediately", func(s *fakePeers, log *platformlog.PeerFirstLog, one, _ *platformlog.CopyCache) {
			one.Replace(rules, nil, offset(4), time.Now())
			time.AfterFunc(100*time.Millisecond, func() { one.MarkFailed(rules) })
			sent := time.Now()
			page, err := log.Follow(ctx, rules, offset(4), time.Second)
			s.logPage(sent, page, err)
		}},
		{"a peer whose configuration is too old is not used", func(s *fakePeers, log *platformlog.PeerFirstLog, one, _ *platformlog.CopyCache) {
			one.Replace(rules, nil, offset(4), time.Now())
			time.Sleep(2100 * time.Millisecond)
			sent := time.Now()
			page, err := log.Follow(ctx, rules, offset(4), time.Second)
			s.logPage(sent, page, err)
		}},
		{"an unresponsive peer is avoided, the store and then the other peer are read, then the first peer is tried again", func(s *fakePeers, log *platformlog.PeerFirstLog, one, two *platformlog.CopyCache) {
			s.unresponsive[peerOne] = true
			for range 4 {
				one.Replace(rules, nil, offset(4), time.Now())
				two.Replace(rules, nil, offset(4), time.Now())
				sent := time.Now()
				page, err := log.Follow(ctx, rules, offset(4), time.Second)
				s.logPage(sent, page, err)
				time.Sleep(500 * time.Millisecond)
			}
		}},
		{"the store is read only once per cooldown if it has failed as well", func(s *fakePeers, log *platformlog.PeerFirstLog, one, two *platformlog.CopyCache) {
			for _, cache := range []*platformlog.CopyCache{one, two} {
				cache.Replace(rules, nil, offset(4), time.Now())
				cache.MarkFailed(rules)
			}
			s.reads = []fakeRead{{err: errors.New("refused")}, {err: errors.New("refused")}}
			for range 5 {
				sent := time.Now()
				page, err := log.Follow(ctx, rules, offset(4), 0)
				s.logPage(sent, page, err)
				time.Sleep(500 * time.Millisecond)
			}
			one.AddEntries(rules, 0, nil, time.Now())
			two.AddEntries(rules, 0, nil, time.Now())
			sent := time.Now()
			page, err := log.Follow(ctx, rules, offset(4), 0)
			s.logPage(sent, page, err)
		}},
		{"offsets older than the copy of a peer", func(s *fakePeers, log *platformlog.PeerFirstLog, one, _ *platformlog.CopyCache) {
			one.Replace(rules, nil, offset(9), time.Now())
			page, err := log.Follow(ctx, rules, offset(4), time.Second)
			s.logPage(time.Now(), page, err)
		}},
		{"a reader from before a restore of the store lists the copy again, however far it had read", func(s *fakePeers, log *platformlog.PeerFirstLog, one, _ *platformlog.CopyCache) {
			one.Replace(rules, []lentilmux.CompactedEntry{entry("a", 3)}, offset(9), time.Now())
			for _, follow := range []lentilmux.LogPosition{offset(9), restored(4)} {
				sent := time.Now()
				page, err := log.Newest(ctx, rules, "")
				s.logPage(sent, page, err)
				time.AfterFunc(200*time.Millisecond, func() {
					one.Replace(rules, []lentilmux.CompactedEntry{entry("a", 1), entry("b", 3)}, restored(4), time.Now())
				})
				sent = time.Now()
				page, err = log.Follow(ctx, rules, follow, 500*time.Millisecond)
				s.logPage(sent, page, err)
			}
		}},
		{"a copy from before a restore of the store is not used by a reader from after it", func(s *fakePeers, log *platformlog.PeerFirstLog, one, _ *platformlog.CopyCache) {
			one.Replace(rules, []lentilmux.CompactedEntry{entry("a", 8)}, offset(9), time.Now())
			log.SetSources(nil)
			s.reads = []fakeRead{{page: onTimeline(1, page(4, false, entry("a", 3)))}}
			_, _ = log.Newest(ctx, rules, "")
			log.SetSources([]netip.AddrPort{peerOne})
			s.reads = []fakeRead{{page: onTimeline(1, page(5, false, entry("a", 4)))}, {page: onTimeline(1, page(5, false, entry("a", 4)))}}
			sent := time.Now()
			page, err := log.Follow(ctx, rules, restored(4), 0)
			s.logPage(sent, page, err)
			time.Sleep(3 * time.Second)
			sent = time.Now()
			page, err = log.Newest(ctx, rules, "")
			s.logPage(sent, page, err)
		}},
		{"a copy takes neither entries nor listings of another timeline", func(s *fakePeers, log *platformlog.PeerFirstLog, one, _ *platformlog.CopyCache) {
			one.Replace(rules, []lentilmux.CompactedEntry{entry("a", 3)}, restored(4), time.Now())
			one.AddEntries(rules, 2, []lentilmux.CompactedEntry{entry("b", 4)}, time.Now())
			one.Replace(rules, []lentilmux.CompactedEntry{entry("c", 8)}, offset(9), time.Now())
			sent := time.Now()
			page, err := log.Newest(ctx, rules, "")
			s.logPage(sent, page, err)
		}},
		{"a listing whose pages are of two timelines is not copied", func(s *fakePeers, log *platformlog.PeerFirstLog, one, _ *platformlog.CopyCache) {
			one.Replace(rules, []lentilmux.CompactedEntry{entry("c", 8)}, offset(9), time.Now())
			log.SetSources(nil)
			s.reads = []fakeRead{{page: page(9, true, entry("a", 8))}, {page: onTimeline(1, page(4, false, entry("b", 3)))}}
			_, _ = log.Newest(ctx, rules, "")
			_, _ = log.Newest(ctx, rules, "a")
			log.SetSources([]netip.AddrPort{peerOne})
			sent := time.Now()
			page, err := log.Newest(ctx, rules, "")
			s.logPage(sent, page, err)
		}},
		{"a peer that names no timeline is not used after a restore", func(s *fakePeers, log *platformlog.PeerFirstLog, one, _ *platformlog.CopyCache) {
			s.forgetsTimeline = true
			one.Replace(rules, []lentilmux.CompactedEntry{entry("a", 3)}, restored(4), time.Now())
			s.reads = []fakeRead{{page: onTimeline(1, page(5, false, entry("a", 4)))}}
			sent := time.Now()
			page, err := log.Follow(ctx, rules, restored(4), 0)
			s.logPage(sent, page, err)
		}},
	}
	var out strings.Builder
	for _, c := range cases {
		synctest.Test(t, func(*testing.T) {
			one, two := platformlog.NewCopyCache(time.Now, maxAge), platformlog.NewCopyCache(time.Now, maxAge)
			s := &fakePeers{
				fakeLog: fakeLog{started: time.Now()},
				copies:  map[netip.AddrPort]*platformlog.CopyCache{peerOne: one, peerTwo: two}, unresponsive: make(map[netip.AddrPort]bool),
			}
			onPeerFailure := func(addr netip.AddrPort, err error) {
				fmt.Fprintf(&s.out, "%6s %s avoided: %v\n", time.Since(s.started), addr.Addr(), errors.Cause(err))
			}
			log := platformlog.NewPeerFirstLog(s, s, platformlog.NewCopyCache(time.Now, maxAge), time.Now, onPeerFailure)
			log.SetSources([]netip.AddrPort{peerOne, peerTwo})
			c.play(s, log, one, two)
			fmt.Fprintf(&out, "== %s\n%s", c.name, s.out.String())
		})
	}
	goldie.New(t).Assert(t, "copies", []byte(out.String()))
}
