package fleet

import (
	"cmp"
	"slices"
	"time"

	"lentilmux.example/lentilmux"
)

const (
	// maxOwnCounts is the number of keys of which a VM tells its peers what it has
	// observed, those with the most answers.
	maxOwnCounts = 16
	// maxSumCounts is the number of keys of which a relay sends the sum over VMs.
	maxSumCounts = 48
	// digestCounts is the number of keys in one digest, 0.1 KB each. The keys take
	// turns, so that a VM that starts has those of a relay after four seconds.
	digestCounts = 4
	// maxCountsAge is how long the counts of a peer are used after they were last
	// received.
	maxCountsAge = 30 * time.Second
)

// PeerCounts are the answers of one key that a peer has observed.
type PeerCounts struct {
	lentilmux.AnswerCounts
	ReceivedAt time.Time
}

// applyCounts takes over the counts of a digest. A sum over the fleet is used as it
// is; others are added up with those of the other peers, by a relay when it sends its
// next sum.
func (t *Tables) applyCounts(vm *VMRow, digest *lentilmux.LoadDigest, now time.Time) {
	for _, counts := range digest.Counts {
		if digest.Scope == lentilmux.ScopeFleet {
			t.Costs.Estimator.SetPeerCounts(counts, now)
			continue
		}
		vm.putCounts(counts, now)
		if !t.usesRelays() {
			t.Costs.Estimator.SetPeerCounts(t.sumCounts(counts.Key, lentilmux.ScopeFleet, now), now)
		}
	}
}

// putCounts stores the counts of a key, and forgets those that are too old.
func (v *VMRow) putCounts(counts lentilmux.AnswerCounts, now time.Time) {
	v.Counts = slices.DeleteFunc(v.Counts, func(known PeerCounts) bool {
		return known.Key == counts.Key || now.Sub(known.ReceivedAt) > maxCountsAge
	})
	if len(v.Counts) < maxSumCounts {
		v.Counts = append(v.Counts, PeerCounts{AnswerCounts: counts, ReceivedAt: now})
	}
}

// sumCounts returns the sum of the counts of a key over the peers of a scope.
func (t *Tables) sumCounts(key uint64, scope lentilmux.DigestScope, now time.Time) (sum lentilmux.AnswerCounts) {
	sum.Key = key
	t.eachCounts(scope, now, func(counts lentilmux.AnswerCounts) {
		if counts.Key != key {
			return
		}
		if len(sum.Answers) == 0 {
			sum.Answers, sum.Bounds = make([]float32, len(counts.Answers)), make([]float32, len(counts.Bounds))
		}
		sum.Add(counts)
	})
	return sum
}

// eachCounts calls visit with the counts of the peers of a scope.
func (t *Tables) eachCounts(scope lentilmux.DigestScope, now time.Time, visit func(counts lentilmux.AnswerCounts)) {
	for _, vm := range t.digestSources(now) {
		if scope == lentilmux.ScopeZone && vm.Zone != t.Self.Zone {
			continue
		}
		for _, counts := range vm.Counts {
			if now.Sub(counts.ReceivedAt) <= maxCountsAge {
				visit(counts.AnswerCounts)
			}
		}
	}
}

// ownCounts returns the counts of this VM's next digest.
func (t *Tables) ownCounts(round int, now time.Time) (counts []lentilmux.AnswerCounts) {
	return window(t.Costs.Estimator.Counts(maxOwnCounts, now), round)
}

// summedCounts returns the counts of the next sum over a scope, including this VM's
// own. The estimator takes over those of the peers.
func (t *Tables) summedCounts(scope lentilmux.DigestScope, round int, now time.Time) (counts []lentilmux.AnswerCounts) {
	own := t.Costs.Estimator.Counts(maxOwnCounts, now)
	weights := make(map[uint64]float64)
	weigh := func(counts lentilmux.AnswerCounts) { weights[counts.Key] += counts.Weight() }
	for _, known := range own {
		weigh(known)
	}
	t.eachCounts(scope, now, weigh)
	for key := range weights {
		counts = append(counts, lentilmux.AnswerCounts{Key: key})
	}
	slices.SortFunc(counts, func(a, b lentilmux.AnswerCounts) int {
		return cmp.Or(cmp.Compare(weights[b.Key], weights[a.Key]), cmp.Compare(a.Key, b.Key))
	})
	counts = window(counts[:min(len(counts), maxSumCounts)], round)
	for i := range counts {
		counts[i] = t.sumCounts(counts[i].Key, scope, now)
		if scope == lentilmux.ScopeFleet {
			t.Costs.Estimator.SetPeerCounts(counts[i], now)
		}
		for _, known := range own {
			if known.Key != counts[i].Key {
				continue
			}
			if len(counts[i].Answers) == 0 {
				counts[i] = known
			} else {
				counts[i].Add(known)
			}
		}
	}
	return counts
}

// window returns the counts whose turn it is in a round.
func window(all []lentilmux.AnswerCounts, round int) (counts []lentilmux.AnswerCounts) {
	if len(all) <= digestCounts {
		return all
	}
	for i := range digestCounts {
		counts = append(counts, all[(round*digestCounts+i)%len(all)])
	}
	return counts
}
