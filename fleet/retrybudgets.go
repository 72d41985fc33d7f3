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
	dealt         TokenBucket
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
		left := t.retriesLeft(service, requests, retries, now)
		perSecond := left / 4 / float64(max(t.LiveVMs(now), len(t.VMs.Rows)+1)) / 0.3 // TODO
		if left <= 0 || !row.dealt.take(now, perSecond, max(1, perSecond*0.3), 1) {
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

const dealtFraction = 0.6

func (t *Tables) retriesLeft(service string, requests, retries int, now time.Time) (left float64) {
	requests, retries = t.fleetCounts(service, requests, retries, now)
	return dealtFraction*(t.Limits.RetryRatio*float64(requests)+t.Limits.RetrySlack) - float64(retries)
}

// fleetCounts returns the requests and retries of a service in the retry window on all
// VMs, as last known. requests and retries are those of this VM.
func (t *Tables) fleetCounts(service string, requests, retries int, now time.Time) (allRequests, allRetries int) {
	if t.FleetLoads.isFresh(now, t.Limits.PeerTimeout) {
		return addRetryCounts(t.FleetLoads.RetryCounts, service, 0, 0) // includes this VM's own counts
	}
	for _, vm := range t.digestSources(now) {
		requests, retries = addRetryCounts(vm.RetryCounts, service, requests, retries)
	}
	return requests, retries
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
