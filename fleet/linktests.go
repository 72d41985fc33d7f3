package fleet

import (
	"cmp"
	"slices"
	"time"

	"lentilmux.example/lentilmux"
)

// applyResult records the result of a test.
func (r *TrackReach) applyResult(t *Tables, msg lentilmux.ConnectResultMsg) {
	i := slices.Index(t.Reach.awaited, msg.Upstream)
	if i < 0 {
		return // of an earlier round
	}
	t.Reach.awaited = slices.Delete(t.Reach.awaited, i, i+1)
	if msg.Err != nil {
		return
	}
	t.Reach.anyAccepted = true
	if !slices.Contains(t.Reach.accepted, msg.Upstream) {
		t.Reach.accepted = append(t.Reach.accepted, msg.Upstream)
	}
}

// roundEnded reports whether all results of the current round are known, or are
// overdue.
func (r *TrackReach) roundEnded(t *Tables, now time.Time) bool {
	due := t.Reach.testedAt.Add(connectInterval)
	if len(t.Reach.awaited) > 0 && now.Before(due) {
		t.WakeAt(due)
		return false
	}
	return true
}

// test connects to a few upstreams. A round in which none accepted its connection
// voids the proofs of those before.
func (r *TrackReach) test(t *Tables, now time.Time) {
	if !t.Reach.anyAccepted {
		t.Reach.accepted = nil
	}
	t.Reach.testedAt, t.Reach.anyAccepted, t.Reach.awaited = now, false, nil
	for _, row := range r.chooseTested(t, now) {
		t.Reach.awaited = append(t.Reach.awaited, row.ID)
		t.AddEffect(lentilmux.ConnectEffect{Upstream: row.ID, Addr: row.Addr})
	}
	t.WakeAt(now.Add(connectInterval))
}

// chooseTested returns up to connectCount upstreams, other ones in each round: of all
// availability zones in turn, and in each zone those that may be used first.
func (r *TrackReach) chooseTested(t *Tables, now time.Time) (chosen []*UpstreamRow) {
	rows := t.Upstreams.Rows
	start := t.Reach.nextIndex % max(len(rows), 1)
	t.Reach.nextIndex += connectCount
	rows = slices.Concat(rows[start:], rows[:start])
	slices.SortStableFunc(rows, func(a, b *UpstreamRow) int {
		return cmp.Compare(t.Reach.countUnlikely(a, now), t.Reach.countUnlikely(b, now))
	})
	ranks, perZone := make(map[string]int, len(rows)), make(map[string]int)
	for _, row := range rows {
		ranks[row.ID] = perZone[row.Zone]
		perZone[row.Zone]++
	}
	slices.SortStableFunc(rows, func(a, b *UpstreamRow) int { return cmp.Compare(ranks[a.ID], ranks[b.ID]) })
	return rows[:min(connectCount, len(rows))]
}

// countUnlikely returns 1 if an upstream is unlikely to accept a connection, since its
// link failed lately, it is dead, or new requests may not be sent to it, and else 0.
func (r *Reach) countUnlikely(row *UpstreamRow, now time.Time) int {
	if row.Dead || !row.Usable(now) || r.hasFailed(row.ID) {
		return 1
	}
	return 0
}
