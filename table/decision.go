package table

import (
	"time"

	"lentilmux.example/lentilmux"
)

// maxDecisionRows is the number of decisions that are kept for queries.
const maxDecisionRows = 4096

// DecisionRow is a decision and its time.
type DecisionRow struct {
	At time.Time
	lentilmux.Decision
}

// Decisions is the table of the last decisions. It is a ring buffer.
type Decisions struct {
	rows     []DecisionRow
	oldest   int // index of the oldest row, which is overwritten next
	capacity int
}

func (d *Decisions) add(row DecisionRow) {
	if len(d.rows) < d.capacity {
		d.rows = append(d.rows, row)
		return
	}
	d.rows[d.oldest] = row
	d.oldest = (d.oldest + 1) % d.capacity
}

// All returns the rows, the oldest first.
func (d *Decisions) All() []DecisionRow {
	rows := make([]DecisionRow, 0, len(d.rows))
	rows = append(rows, d.rows[d.oldest:]...)
	return append(rows, d.rows[:d.oldest]...)
}
