package fleet

import (
	"time"
)

// buckets is the number of parts into which the retry window is cut, plus the
// one that is filling.
const buckets = 11

// BudgetRow counts a service's requests and repeats at this VM.
type BudgetRow struct {
	Service  string
	requests [buckets]int
	repeats  [buckets]int
	current  int64 // number of the bucket that is filling
}

// Budgets is the table of retry budgets.
type Budgets struct {
	Rows []*BudgetRow
}

// Of returns a service's row, a new one if there is none.
func (b *Budgets) Of(service string) *BudgetRow {
	for _, row := range b.Rows {
		if row.Service == service {
			return row
		}
	}
	row := &BudgetRow{Service: service}
	b.Rows = append(b.Rows, row)
	return row
}

// turn empties the buckets that have grown old.
func (b *BudgetRow) turn(now time.Time, window time.Duration) (bucket int) {
	number := now.UnixNano() / max(int64(window)/(buckets-1), 1)
	for steps := min(number-b.current, buckets); steps > 0; steps-- {
		b.current = number - steps + 1
		b.requests[b.current%buckets] = 0
		b.repeats[b.current%buckets] = 0
	}
	b.current = max(b.current, number)
	return int(b.current % buckets)
}

// count notes a request.
func (b *BudgetRow) count(now time.Time, window time.Duration) {
	b.requests[b.turn(now, window)]++
}

// spend takes a repeat from the budget. It returns false if none is left.
func (b *BudgetRow) spend(now time.Time, window time.Duration, ratio, slack float64) bool {
	bucket := b.turn(now, window)
	requests, repeats := 0, 0
	for i := range buckets {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	if float64(repeats+1) > ratio*float64(requests)+slack {
		return false
	}
	b.repeats[bucket]++
	return true
}
