package fleet

import (
	"slices"
	"time"
)

// leavesRetries reports whether a retry of a request leaves enough of this VM's share of
// the retry budget to more urgent ones, or all VMs together have used little of it.
func (a *AdmitRequests) leavesRetries(t *Tables, request *RequestRow, now time.Time) bool {
	inUse := t.Rules.prioritiesByService[request.Service]
	if !t.Rules.ranksRequests(request.Service) {
		return true
	}
	row := t.RetryBudgets.GetOrCreate(request.Service)
	requests, retries := row.totals(now, t.Limits.RetryWindow)
	ownShare := t.ownRetryShare(requests, now)
	rank, _ := slices.BinarySearch(inUse, request.Priority)
	return float64(retries+1) <= a.Shortage.RetryFraction(rank, len(inUse))*ownShare || t.retriesLeft(request.Service, requests, retries, now) > 0
}
