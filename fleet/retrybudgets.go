package fleet

import (
	"time"

	"lentilmux.example/lentilmux"
)

// bucketCount is the number of buckets of the retry window: 10 complete ones and
// the one that is filling.
const bucketCount = 11

// RetryBudgetRow counts the requests and retries of a service on this VM.
type RetryBudgetRow struct {
	Service       string
	requests      [bucketCount]int
	retries       [bucketCount]int
	currentBucket int64 // number of the bucket that is filling, counted from the Unix epoch
}

// RetryBudgets is the table of retry budgets, by service.
type RetryBudgets struct {
	Rows []*RetryBudgetRow
}

// GetOrCreate returns a service's row and adds one if there is none.
func (b *RetryBudgets) GetOrCreate(service string) *RetryBudgetRow {
	for _, row := range b.Rows {
		if row.Service == service {
			return row
		}
	}
	row := &RetryBudgetRow{Service: service}
	b.Rows = append(b.Rows, row)
	return row
}

// advanceBuckets empties the buckets that have left the window and returns the
// index of the current one.
func (b *RetryBudgetRow) advanceBuckets(now time.Time, window time.Duration) (bucket int) {
	currentNumber := now.UnixNano() / max(int64(window)/(bucketCount-1), 1)
	for steps := min(currentNumber-b.currentBucket, bucketCount); steps > 0; steps-- {
		b.currentBucket = currentNumber - steps + 1
		b.requests[b.currentBucket%bucketCount] = 0
		b.retries[b.currentBucket%bucketCount] = 0
	}
	b.currentBucket = max(b.currentBucket, currentNumber)
	return int(b.currentBucket % bucketCount)
}

// countRequest counts a request.
func (b *RetryBudgetRow) countRequest(now time.Time, window time.Duration) {
	b.requests[b.advanceBuckets(now, window)]++
}

// totals returns the requests and retries within the window.
func (b *RetryBudgetRow) totals(now time.Time, window time.Duration) (requests, retries int) {
	b.advanceBuckets(now, window)
	for i := range bucketCount {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	return requests, retries
}

// spendRetry charges a retry to a service's budget. It returns false if none is
// left. A VM may always use its own share. Beyond that it borrows from what its
// peers are known to have left, up to maxBorrowFactor times its share. Borrowing
// is bounded because all VMs see a fault at the same time but learn of each
// other's retries only with the next digests.
func (t *Tables) spendRetry(service string, now time.Time) bool {
	row := t.RetryBudgets.GetOrCreate(service)
	requests, retries := row.totals(now, t.Limits.RetryWindow)
	slack := t.Limits.RetrySlack / float64(max(t.LiveVMs(now), len(t.VMs.Rows)+1))
	ownShare := t.Limits.RetryRatio*float64(requests) + slack
	if float64(retries+1) > ownShare {
		if float64(retries+1) > maxBorrowFactor*ownShare || !t.canBorrow(service, requests, retries, now) {
			return false
		}
	}
	row.retries[row.advanceBuckets(now, t.Limits.RetryWindow)]++
	return true
}

// refundRetry takes back a charge for a retry that was not sent.
func (t *Tables) refundRetry(service string, now time.Time) {
	row := t.RetryBudgets.GetOrCreate(service)
	if bucket := row.advanceBuckets(now, t.Limits.RetryWindow); row.retries[bucket] > 0 {
		row.retries[bucket]--
	}
}

const (
	// maxBorrowFactor is the maximum use of the budget by one VM, as a multiple
	// of its share. Together with retryRatioFraction and retrySlackFraction it
	// keeps the sum over VMs that know of each other within the deployment's budget, however late they
	// learn of each other's retries.
	maxBorrowFactor = 1 / retryRatioFraction
	// borrowFraction is the fraction of the fleet-wide budget up to which VMs
	// may borrow.
	borrowFraction = 0.3
)

// canBorrow reports whether all VMs together have used less than borrowFraction
// of a budget.
func (t *Tables) canBorrow(service string, requests, retries int, now time.Time) bool {
	if t.FleetLoads.isFresh(now, t.Limits.PeerTimeout) {
		requests, retries = addRetryCounts(t.FleetLoads.RetryCounts, service, 0, 0) // includes this VM's own counts
	} else {
		for _, vm := range t.digestSources(now) {
			requests, retries = addRetryCounts(vm.RetryCounts, service, requests, retries)
		}
	}
	return float64(retries+1) <= borrowFraction*(t.Limits.RetryRatio*float64(requests)+t.Limits.RetrySlack)
}

// addRetryCounts adds the counts of a service to requests and retries.
func addRetryCounts(counts []lentilmux.RetryCounts, service string, requests, retries int) (int, int) {
	for _, count := range counts {
		if count.Service == service {
			requests += count.Requests
			retries += count.Retries
		}
	}
	return requests, retries
}
