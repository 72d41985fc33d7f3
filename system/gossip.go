package system

import (
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

const (
	// gossipCheckInterval is the time between two looks at whose turn it is.
	gossipCheckInterval = 25 * time.Millisecond
	// digestBaseBytes and digestEach are the bytes of a digest and of one upstream or
	// workspace in it.
	digestBaseBytes  = 91
	digestEntryBytes = 20
)

// Gossip sends the node's digest to a few peers each round, in turn. It reads
// Peers and writes the times at which they were asked. Rounds come less often
// when digests are large, so that they stay within a number of bytes a second.
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

// nextPeer returns the peer that was asked the longest ago, if its turn has come.
// A peer is asked once in as many rounds as it takes to ask all.
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

// exchangeInterval returns the time between two exchanges with one peer. A round costs a
// digest out and one back for each peer that is asked, and as many again for
// the peers that ask this node.
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
	round := time.Duration(bytes) * time.Second / time.Duration(t.Limits.ExchangeBytesPerSecond)
	rounds := (len(t.Peers.Rows) + t.Limits.ExchangeFanout - 1) / t.Limits.ExchangeFanout
	return time.Duration(rounds) * max(round, t.Limits.ExchangeInterval)
}
