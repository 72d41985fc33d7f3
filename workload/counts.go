package workload

import (
	"cmp"
	"slices"
	"time"

	"lentilmux.example/lentilmux"
)

const (
	// maxPeerRows bounds the keys that are kept of what peers have observed.
	maxPeerRows = 128
	// maxPeerWeight is the weight of answers of a key up to which what peers have
	// observed completes what the VM observed itself. A VM with four requests a second
	// reaches it in half a minute for the general keys, and then no false digest changes
	// its estimates there.
	maxPeerWeight = 128
	// maxBucketWeight bounds the weight of a bucket that a peer claims.
	maxBucketWeight = 1 << 20
)

// Counts implements [lentilmux.CostEstimator].
func (e *Estimator) Counts(limit int, now time.Time) (counts []lentilmux.AnswerCounts) {
	heaviest := make([]weightedRow, 0, len(e.rows.rows))
	for i := range e.rows.rows {
		row := &e.rows.rows[i]
		if weight := row.total() * row.weightAt(now, e.halfLife); weight >= 1 {
			heaviest = append(heaviest, weightedRow{row: row, weight: weight})
		}
	}
	slices.SortFunc(heaviest, func(a, b weightedRow) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.row.key, b.row.key))
	})
	for _, heavy := range heaviest[:min(limit, len(heaviest))] {
		counts = append(counts, heavy.row.counts(now, e.halfLife))
	}
	return counts
}

// weightedRow is a row with its decayed weight.
type weightedRow struct {
	row    *row
	weight float64
}

// total returns the weight of a row when it was last decayed.
func (r *row) total() (weight float64) {
	for i := range r.answers {
		weight += float64(r.answers[i]) + float64(r.bounds[i])
	}
	return weight
}

// counts returns the decayed counts of a row.
func (r *row) counts(now time.Time, halfLife time.Duration) (counts lentilmux.AnswerCounts) {
	factor := float32(r.weightAt(now, halfLife))
	counts = lentilmux.AnswerCounts{Key: uint64(r.key), Answers: make([]float32, bucketCount), Bounds: make([]float32, bucketCount)}
	for i := range r.answers {
		counts.Answers[i], counts.Bounds[i] = factor*r.answers[i], factor*r.bounds[i]
	}
	return counts
}

// SetPeerCounts implements [lentilmux.CostEstimator]. Counts of another number of
// buckets are ignored, and those that are out of bounds are bounded.
func (e *Estimator) SetPeerCounts(counts lentilmux.AnswerCounts, now time.Time) {
	if len(counts.Answers) != bucketCount || len(counts.Bounds) != bucketCount {
		return
	}
	row := e.peers.findOrAdd(rowKey(counts.Key), now)
	row.at = now
	for i := range counts.Answers {
		row.answers[i], row.bounds[i] = boundWeight(counts.Answers[i]), boundWeight(counts.Bounds[i])
	}
}

// boundWeight bounds a weight that a peer claims. One that is no number counts as none.
func boundWeight(weight float32) (bounded float32) {
	if !(weight > 0) {
		return 0
	}
	return min(weight, maxBucketWeight)
}

// peerFactor returns the factor with which the counts of peers are added, so that their
// weight is at most the one that is missing.
func (e *Estimator) peerFactor(r *row, missing float64, now time.Time) (factor float64) {
	total := r.total()
	if total <= 0 {
		return 0
	}
	return r.weightAt(now, e.halfLife) * min(1, missing/total)
}
