package system

import (
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

// Gossip sends the node's digest to a few peers each round, in turn. It reads
// Peers and writes the times at which they were asked.
type Gossip struct{}

// Run implements [System].
func (s *Gossip) Run(t *table.Tables, now time.Time) {
	if len(t.Peers.Rows) == 0 {
		return
	}
	own := lentilmux.Digest{}
	for sent := 0; sent < t.Limits.ExchangeFanout; sent++ {
		p := s.next(t, now)
		if p == nil {
			return
		}
		if own.VM == "" {
			own = digest(t)
		}
		p.AskedAt = now
		t.Add(lentilmux.ExchangeEffect{VM: p.Name, Addr: p.Addr, Digest: own})
	}
}

// next returns the peer that was asked the longest ago, if its turn has come.
// A peer is asked once in as many rounds as it takes to ask all.
func (s *Gossip) next(t *table.Tables, now time.Time) *table.Peer {
	oldest := &t.Peers.Rows[0]
	for i := range t.Peers.Rows {
		if p := &t.Peers.Rows[i]; p.AskedAt.Before(oldest.AskedAt) {
			oldest = p
		}
	}
	rounds := (len(t.Peers.Rows) + t.Limits.ExchangeFanout - 1) / t.Limits.ExchangeFanout
	due := oldest.AskedAt.Add(time.Duration(rounds) * t.Limits.ExchangeEvery)
	if now.Before(due) {
		t.WakeAt(due)
		return nil
	}
	return oldest
}
