package system

import (
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

const (
	// gossipCheckInterval is the time between two checks for peers that are
	// due.
	gossipCheckInterval = 25 * time.Millisecond
	// digestBaseBytes is the size of a digest without entries, digestEntryBytes
	// that of the entry of one upstream or workspace.
	digestBaseBytes  = 91
	digestEntryBytes = 20
)

// Gossip exchanges digests with a few peers per round, in turn. It reads Peers
// and the counts that go into the digest, and writes the times of the peers'
// last exchanges. The larger the digests, the longer the interval between
// rounds, so that they stay within Limits.ExchangeBytesPerSecond.
type Gossip struct{}

// Run implements [System].
func (s *Gossip) Run(t *table.Tables, now time.Time) {
	if len(t.Peers.Rows) == 0 || !t.Due(&t.Timers.Gossip, now, gossipCheckInterval) {
		return
	}
	own := lentilmux.Digest{}
	for sent := 0; sent < t.Limits.ExchangeFanout; sent++ {
		p := s.nextPeer(t, now)
		if p == nil {
			return
		}
		if own.VM == "" {
			own = ownDigest(t)
		}
		p.LastExchangeAt = now
		t.AddEffect(lentilmux.ExchangeEffect{VM: p.Name, Addr: p.Addr, Digest: own})
	}
}

// nextPeer returns the peer with the oldest exchange if its next exchange is
// due, or nil.
func (s *Gossip) nextPeer(t *table.Tables, now time.Time) *table.Peer {
	oldest := &t.Peers.Rows[0]
	for i := range t.Peers.Rows {
		if p := &t.Peers.Rows[i]; p.LastExchangeAt.Before(oldest.LastExchangeAt) {
			oldest = p
		}
	}
	due := oldest.LastExchangeAt.Add(exchangeInterval(t))
	if now.Before(due) {
		t.WakeAt(due)
		return nil
	}
	return oldest
}

// exchangeInterval returns the time between two exchanges with one peer: the
// length of a round times the rounds that it takes to reach all peers. A round
// counts as two digests per contacted peer: the one sent to it, and the one
// sent in answer to another peer that contacts this node. Received digests are
// not counted.
func exchangeInterval(t *table.Tables) time.Duration {
	entries := 0
	for i := range t.Upstreams.Rows {
		if t.Upstreams.Rows[i].InFlight > 0 {
			entries++
		}
	}
	for i := range t.Workspaces.Rows {
		if w := &t.Workspaces.Rows[i]; w.Running+w.Queued > 0 {
			entries++
		}
	}
	bytes := 2 * t.Limits.ExchangeFanout * (digestBaseBytes + digestEntryBytes*entries)
	roundInterval := time.Duration(bytes) * time.Second / time.Duration(t.Limits.ExchangeBytesPerSecond)
	rounds := (len(t.Peers.Rows) + t.Limits.ExchangeFanout - 1) / t.Limits.ExchangeFanout
	return time.Duration(rounds) * max(roundInterval, t.Limits.ExchangeInterval)
}
