package workload

import (
	"math"
	"time"
)

// row counts the answers of one key by the bucket of their ratio.
type row struct {
	key     rowKey
	at      time.Time            // when the weights were last decayed
	used    uint64               // number of the last update
	answers [bucketCount]float32 // weight of complete answers
	bounds  [bucketCount]float32 // weight of answers that were longer than the bucket
}

// weightAt returns the factor by which the counts of a row have decayed.
func (r *row) weightAt(now time.Time, halfLife time.Duration) (factor float64) {
	age := now.Sub(r.at)
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}

// decayTo decays the counts of a row.
func (r *row) decayTo(now time.Time, halfLife time.Duration) {
	factor := float32(r.weightAt(now, halfLife))
	if factor == 1 {
		return
	}
	for i := range r.answers {
		r.answers[i] *= factor
		r.bounds[i] *= factor
	}
	r.at = now
}

// rowTable is the table of rows. A new row replaces the one that was updated least
// recently if the table is full. General keys are updated with each answer, so that
// many specific keys do not replace them.
type rowTable struct {
	limit   int
	rows    []row
	index   map[rowKey]int
	updates uint64 // so far
}

// find returns the row of a key, or nil if there is none.
func (t *rowTable) find(key rowKey) *row {
	if i, ok := t.index[key]; ok {
		return &t.rows[i]
	}
	return nil
}

// findOrAdd returns the row of a key for an update. The pointer is valid until the next
// call.
func (t *rowTable) findOrAdd(key rowKey, now time.Time) *row {
	t.updates++
	if found := t.find(key); found != nil {
		found.used = t.updates
		return found
	}
	if t.index == nil {
		t.index = make(map[rowKey]int, t.limit)
	}
	i := len(t.rows)
	if i < t.limit {
		t.rows = append(t.rows, row{})
	} else {
		i = t.oldest()
		delete(t.index, t.rows[i].key)
	}
	t.rows[i] = row{key: key, at: now, used: t.updates}
	t.index[key] = i
	return &t.rows[i]
}

// oldest returns the index of the row that was updated least recently. Times are not
// compared, since a tick updates many rows at the same one.
func (t *rowTable) oldest() (index int) {
	for i := range t.rows {
		if t.rows[i].used < t.rows[index].used {
			index = i
		}
	}
	return index
}
