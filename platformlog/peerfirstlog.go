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
	// copyTimeout bounds a read of another VM's copy beyond its wait.
	copyTimeout = 250 * time.Millisecond
	// copyAvoid is for how long a VM is not asked after its copy was of no use.
	copyAvoid = 2 * time.Second
	// logAvoid is for how long the log is not read after it failed, as long as
	// there are other VMs to ask, so that not all of them press on it.
	logAvoid = 1500 * time.Millisecond
)

// PeerFirstLog is a log whose streams are read at another VM where one is named and
// answers, or else at the log itself. It implements [lentilmux.KeyedLog] for
// one follower a stream, and keeps what was read for other VMs to ask for.
type PeerFirstLog struct {
	lentilmux.KeyedLog
	peers  lentilmux.StreamCopies
	copies *CopyStore
	clock  func() time.Time
	failed func(addr netip.AddrPort, err error)
	from   atomic.Pointer[[]netip.AddrPort]
	avoid  atomic.Pointer[avoided]
	lost   atomic.Pointer[time.Time]     // when a read of the log last failed
	parts  map[lentilmux.Stream]*listing // each used by its stream's follower only
}

// avoided is a VM whose copy was of no use.
type avoided struct {
	addr  netip.AddrPort
	until time.Time
}

// listing is what the parts of a listing told so far.
type listing struct {
	entries []lentilmux.KeyedEntry
	since   uint64
	asOf    time.Time
}

// NewPeerFirstLog returns a log that is read itself until [PeerFirstLog.SetSources] names VMs.
// Reads of copies that fail are told to failed.
func NewPeerFirstLog(log lentilmux.KeyedLog, peers lentilmux.StreamCopies, copies *CopyStore, clock func() time.Time, failed func(addr netip.AddrPort, err error)) *PeerFirstLog {
	n := &PeerFirstLog{KeyedLog: log, peers: peers, copies: copies, clock: clock, failed: failed, parts: make(map[lentilmux.Stream]*listing)}
	for _, stream := range []lentilmux.Stream{lentilmux.StreamRules, lentilmux.StreamUpstreams, lentilmux.StreamVMs} {
		n.parts[stream] = &listing{}
	}
	return n
}

// SetSources names the VMs that are read from, the first one first.
func (n *PeerFirstLog) SetSources(vms []netip.AddrPort) { n.from.Store(&vms) }

// source returns the VM to read from: one that was not of no use of late, if
// there is one or if the log can be read.
func (n *PeerFirstLog) source(lost bool) (addr netip.AddrPort, ok bool) {
	vms, bad := n.from.Load(), n.avoid.Load()
	if vms == nil || len(*vms) == 0 {
		return addr, false
	}
	for _, vm := range *vms {
		if bad == nil || bad.addr != vm || n.clock().After(bad.until) {
			return vm, true
		}
	}
	return (*vms)[0], lost
}

// logLost reports whether the log failed a moment ago.
func (n *PeerFirstLog) logLost() bool {
	at := n.lost.Load()
	return at != nil && n.clock().Sub(*at) < logAvoid
}

// failLog notes that the log could not be read.
func (n *PeerFirstLog) failLog(stream lentilmux.Stream) {
	now := n.clock()
	n.lost.Store(&now)
	n.copies.MarkFailed(stream)
}

// near reads another VM's copy. It returns false if the log has to be read.
func (n *PeerFirstLog) near(ctx context.Context, read lentilmux.CopyRead) (page lentilmux.KeyedPage, ok bool, err error) {
	lost := n.logLost()
	addr, ok := n.source(lost)
	if !ok {
		return page, false, nil
	}
	limited, cancel := context.WithTimeout(ctx, read.Wait+copyTimeout)
	defer cancel()
	page, err = n.peers.Read(limited, addr, read)
	switch {
	case err == nil:
		return page, true, nil
	case errors.Is(err, lentilmux.ErrTruncated), ctx.Err() != nil:
		return page, true, err
	}
	n.avoid.Store(&avoided{addr: addr, until: n.clock().Add(copyAvoid)})
	n.failed(addr, err)
	return page, lost, err
}

// Newest implements [lentilmux.KeyedLog].
func (n *PeerFirstLog) Newest(ctx context.Context, stream lentilmux.Stream, after string) (page lentilmux.KeyedPage, err error) {
	sent := n.clock()
	if after == "" {
		page, ok, err := n.near(ctx, lentilmux.CopyRead{Stream: stream, AllKeys: true, From: n.copies.NextOffset(stream)})
		if ok {
			if err == nil {
				n.copies.Replace(stream, page.Entries, page.End, sent.Add(-page.Lag))
			}
			return page, err
		}
	}
	page, err = n.KeyedLog.Newest(ctx, stream, after)
	if err != nil {
		n.failLog(stream)
		return page, err
	}
	parts := n.parts[stream]
	if after == "" {
		*parts = listing{since: page.End, asOf: sent}
	}
	parts.entries = append(parts.entries, page.Entries...)
	if !page.More || len(page.Entries) == 0 {
		n.copies.Replace(stream, parts.entries, parts.since, parts.asOf)
		parts.entries = nil
	}
	return page, nil
}

// Follow implements [lentilmux.KeyedLog].
func (n *PeerFirstLog) Follow(ctx context.Context, stream lentilmux.Stream, from uint64, wait time.Duration) (page lentilmux.KeyedPage, err error) {
	sent := n.clock()
	page, ok, err := n.near(ctx, lentilmux.CopyRead{Stream: stream, From: from, Wait: wait})
	if !ok {
		page, err = n.KeyedLog.Follow(ctx, stream, from, max(0, wait-n.clock().Sub(sent)))
	}
	switch {
	case err == nil:
		n.copies.AddEntries(stream, page.Entries, sent.Add(-page.Lag))
	case errors.Is(err, lentilmux.ErrTruncated):
	case ok:
		n.copies.MarkFailed(stream)
	default:
		n.failLog(stream)
	}
	return page, err
}
