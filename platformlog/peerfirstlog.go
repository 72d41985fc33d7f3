package platformlog

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

const (
	// peerReadTimeout bounds a read of a peer's copy, in addition to the wait that
	// it asks for.
	peerReadTimeout = 250 * time.Millisecond
	// peerCooldown is how long a peer is avoided after a read of its copy failed.
	peerCooldown = 2 * time.Second
	// storeCooldown is how long the store is not read after a failed read if there
	// are peers to read from. Otherwise all VMs would send their reads to a
	// store that is recovering.
	storeCooldown = 3 * time.Second
)

// PeerFirstLog implements [lentilmux.CompactedLog]. It reads compacted streams
// from the copy of a peer if one is set and responds, and from the store itself
// otherwise. It adds everything that it reads to this VM's own copies, from
// which peers can read.
//
// Each stream may have a single follower only.
type PeerFirstLog struct {
	lentilmux.CompactedLog
	peers         lentilmux.StreamCopies
	copies        *CopyCache
	clock         func() time.Time
	onPeerFailure func(addr netip.AddrPort, err error)
	sources       atomic.Pointer[[]netip.AddrPort] // peers to read from, in order of preference
	avoided       atomic.Pointer[avoidedPeer]      // peer whose copy failed last
	storeFailedAt atomic.Pointer[time.Time]        // when a read of the store last failed
	listings      map[lentilmux.Stream]*listing    // each used by its stream's follower only
	timelines     timelineWatch                    // of the store itself
}

// avoidedPeer is a peer that is not read from until its cooldown ends.
type avoidedPeer struct {
	addr  netip.AddrPort
	until time.Time
}

// listing collects the pages of a listing until it is complete.
type listing struct {
	entries []lentilmux.CompactedEntry
	since   lentilmux.LogPosition // end of the first page
	asOf    time.Time             // when the first page was requested
}

// NewPeerFirstLog returns a log that reads the store directly until
// [PeerFirstLog.SetSources] sets peers. It calls onPeerFailure for each failed
// read of a peer's copy.
func NewPeerFirstLog(log lentilmux.CompactedLog, peers lentilmux.StreamCopies, copies *CopyCache, clock func() time.Time, onPeerFailure func(addr netip.AddrPort, err error)) *PeerFirstLog {
	p := &PeerFirstLog{CompactedLog: log, peers: peers, copies: copies, clock: clock, onPeerFailure: onPeerFailure, listings: make(map[lentilmux.Stream]*listing)}
	for _, stream := range []lentilmux.Stream{lentilmux.StreamRules, lentilmux.StreamUpstreams, lentilmux.StreamVMs} {
		p.listings[stream] = &listing{}
	}
	return p
}

// SetSources sets the peers to read from, in order of preference. Without peers
// the store itself is read.
func (p *PeerFirstLog) SetSources(addrs []netip.AddrPort) { p.sources.Store(&addrs) }

// source returns the peer to read from: the first one that is not avoided. If
// all are, it returns false, so that the store is read; but if the store has
// failed as well, it returns the first peer.
func (p *PeerFirstLog) source(storeFailed bool) (addr netip.AddrPort, ok bool) {
	sources, avoided := p.sources.Load(), p.avoided.Load()
	if sources == nil || len(*sources) == 0 {
		return addr, false
	}
	for _, candidate := range *sources {
		if avoided == nil || avoided.addr != candidate || p.clock().After(avoided.until) {
			return candidate, true
		}
	}
	return (*sources)[0], storeFailed
}

// storeFailedRecently reports whether a read of the store failed within
// storeCooldown.
func (p *PeerFirstLog) storeFailedRecently() bool {
	failedAt := p.storeFailedAt.Load()
	return failedAt != nil && p.clock().Sub(*failedAt) < storeCooldown
}

// markStoreFailed records that a read of the store failed.
func (p *PeerFirstLog) markStoreFailed(stream lentilmux.Stream) {
	now := p.clock()
	p.storeFailedAt.Store(&now)
	p.copies.MarkFailed(stream)
}

// readPeer reads the copy of a peer. It returns false if the store is to be
// read instead. A failed read makes the peer avoided for peerCooldown;
// [lentilmux.ErrTruncated] is a valid answer.
func (p *PeerFirstLog) readPeer(ctx context.Context, read lentilmux.CopyRead) (page lentilmux.CompactedPage, ok bool, err error) {
	storeFailed := p.storeFailedRecently()
	addr, ok := p.source(storeFailed)
	if !ok {
		return page, false, nil
	}
	readCtx, cancel := context.WithTimeout(ctx, read.Wait+peerReadTimeout)
	defer cancel()
	page, err = p.peers.Read(readCtx, addr, read)
	if err == nil && page.Timeline < read.Timeline {
		page, err = lentilmux.CompactedPage{}, lentilmux.ErrCopyBehind
	}
	switch {
	case err == nil:
		return page, true, nil
	case errors.Is(err, lentilmux.ErrTruncated), ctx.Err() != nil:
		return page, true, err
	}
	p.avoided.Store(&avoidedPeer{addr: addr, until: p.clock().Add(peerCooldown)})
	p.onPeerFailure(addr, err)
	return page, storeFailed, err
}

// Newest implements [lentilmux.CompactedLog]. Only a first page is read from a
// peer, whose answer is the complete listing.
func (p *PeerFirstLog) Newest(ctx context.Context, stream lentilmux.Stream, after string) (page lentilmux.CompactedPage, err error) {
	sentAt := p.clock()
	if after == "" {
		known := p.copies.Position(stream)
		page, ok, err := p.readPeer(ctx, lentilmux.CopyRead{Stream: stream, AllKeys: true, Timeline: known.Timeline, From: known.Offset})
		if ok {
			if err == nil {
				p.copies.Replace(stream, page.Entries, lentilmux.LogPosition{Timeline: page.Timeline, Offset: page.End}, sentAt.Add(-page.Lag))
			}
			return page, err
		}
	}
	page, err = p.CompactedLog.Newest(ctx, stream, after)
	if err != nil {
		p.markStoreFailed(stream)
		return page, err
	}
	p.timelines.observe(page.Timeline)
	p.collect(stream, after, page, sentAt)
	return page, nil
}

// collect adds a page of the store to a stream's listing and copies the listing once
// it is complete. A listing whose pages are of different timelines is dropped.
func (p *PeerFirstLog) collect(stream lentilmux.Stream, after string, page lentilmux.CompactedPage, sentAt time.Time) {
	listed := p.listings[stream]
	if after == "" {
		*listed = listing{since: lentilmux.LogPosition{Timeline: page.Timeline, Offset: page.End}, asOf: sentAt}
	}
	if page.Timeline != listed.since.Timeline {
		*listed = listing{}
		return
	}
	listed.entries = append(listed.entries, page.Entries...)
	if !page.More || len(page.Entries) == 0 {
		p.copies.Replace(stream, listed.entries, listed.since, listed.asOf)
		listed.entries = nil
	}
}

// Follow implements [lentilmux.CompactedLog]. If a peer fails, the store is read
// with the rest of the wait, unless the store has failed recently as well. A read of
// the store ends with an empty page of the later timeline as soon as any stream shows
// that the store was restored. A page that ends before the log does is not added to
// the copy, which would seem to be up to date.
func (p *PeerFirstLog) Follow(ctx context.Context, stream lentilmux.Stream, from lentilmux.LogPosition, wait time.Duration) (page lentilmux.CompactedPage, err error) {
	sentAt := p.clock()
	page, ok, err := p.readPeer(ctx, lentilmux.CopyRead{Stream: stream, Timeline: from.Timeline, From: from.Offset, Wait: wait})
	if !ok {
		page, err = p.followStore(ctx, stream, from, max(0, wait-p.clock().Sub(sentAt)))
	}
	switch {
	case err == nil && page.ReachesEnd(from.Offset):
		p.copies.AddEntries(stream, page.Timeline, page.Entries, sentAt.Add(-page.Lag))
	case err == nil: // not all that is new; the stream is listed next
	case errors.Is(err, lentilmux.ErrTruncated):
	case ok:
		p.copies.MarkFailed(stream)
	default:
		p.markStoreFailed(stream)
	}
	return page, err
}

// followStore follows a stream of the store itself.
func (p *PeerFirstLog) followStore(ctx context.Context, stream lentilmux.Stream, from lentilmux.LogPosition, wait time.Duration) (page lentilmux.CompactedPage, err error) {
	readCtx, cancel := p.timelines.during(ctx, from.Timeline)
	defer cancel()
	page, err = p.CompactedLog.Follow(readCtx, stream, from, wait)
	if err == nil {
		p.timelines.observe(page.Timeline)
	}
	if latest, _ := p.timelines.next(); err != nil && latest > from.Timeline && ctx.Err() == nil {
		return lentilmux.CompactedPage{Timeline: latest}, nil
	}
	return page, err
}
