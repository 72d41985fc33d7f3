package fleet

import "time"

// Retries returns the retries of a service within the window, for the golden files.
func (b *RetryBudgetRow) Retries(now time.Time, window time.Duration) (count int) {
	_, count = b.totals(now, window)
	return count
}
