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
	currentBucket int64       // number of the bucket that is filling, counted from the Unix epoch
	dealt         TokenBucket // retries beyond this VM's own share
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
// left. A VM may always use its own share. Beyond that it may use what is dealt to it
// of the retries that the fleet is known to have left, up to maxShareFactor times its
// share in all.
func (t *Tables) spendRetry(service string, now time.Time) bool {
	row := t.RetryBudgets.GetOrCreate(service)
	requests, retries := row.totals(now, t.Limits.RetryWindow)
	ownShare := t.ownRetryShare(requests, now)
	if float64(retries+1) > maxShareFactor*ownShare || float64(retries+1) > ownShare && !t.takeDealtRetry(row, requests, retries, now) {
		return false
	}
	row.retries[row.advanceBuckets(now, t.Limits.RetryWindow)]++
	return true
}

// ownRetryShare returns the retries that this VM may always use, given its requests
// in the retry window.
func (t *Tables) ownRetryShare(requests int, now time.Time) (retries float64) {
	return t.Limits.RetryRatio*float64(requests) + t.Limits.RetrySlack/t.budgetVMs(now)
}

// budgetVMs returns the number of VMs among which retry budgets are divided.
func (t *Tables) budgetVMs(now time.Time) (count float64) {
	return float64(max(t.LiveVMs(now), len(t.VMs.Rows)+1))
}

// refundRetry takes back a charge for a retry that was not sent.
func (t *Tables) refundRetry(service string, now time.Time) {
	row := t.RetryBudgets.GetOrCreate(service)
	if bucket := row.advanceBuckets(now, t.Limits.RetryWindow); row.retries[bucket] > 0 {
		row.retries[bucket]--
	}
}

const (
	// maxShareFactor is the maximum use of the budget by one VM, as a multiple of its
	// share. The sum over all VMs then stays within the deployment's budget, of which
	// the shares are a fraction, however late they learn of each other's retries.
	maxShareFactor = 1 / retryRatioFraction
	// dealtFraction is the fraction of the fleet-wide budget up to which the VMs may
	// use more than their own shares. The rest covers own shares that are used later,
	// and counts that are lost when VMs restart.
	dealtFraction = 0.6
	// dealRounds is the number of digest intervals over which the retries that are left
	// are dealt out, since counts are up to three intervals old where relays pass them
	// on.
	dealRounds = 4
	// minDealtBurst is the number of dealt retries that a VM may save up, so that the
	// small part of one VM in a large fleet adds up to a retry.
	minDealtBurst = 1
)

// takeDealtRetry takes a retry of those that are dealt to this VM, or returns false.
// The fleet's retries that are left are dealt out again with each digest. Without
// recent digests of others nothing is dealt.
func (t *Tables) takeDealtRetry(row *RetryBudgetRow, requests, retries int, now time.Time) (taken bool) {
	left := t.retriesLeft(row.Service, requests, retries, now)
	if left <= 0 {
		return false
	}
	dealt := left / dealRounds / t.budgetVMs(now)
	return row.dealt.take(now, dealt/t.digestInterval().Seconds(), max(dealt, minDealtBurst), 1)
}

// retriesLeft returns how many retries the fleet has left of dealtFraction of its
// budget, as far as is known. requests and retries are those of this VM.
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
