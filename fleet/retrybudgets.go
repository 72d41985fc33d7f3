package fleet

import (
	"time"

	"lentilmux.example/lentilmux"
)

// buckets is the number of parts into which the retry window is cut, plus the
// one that is filling.
const buckets = 11

// RetryBudgetRow counts a service's requests and repeats at this VM.
type RetryBudgetRow struct {
	Service  string
	requests [buckets]int
	repeats  [buckets]int
	current  int64 // number of the bucket that is filling
}

// RetryBudgets is the table of retry budgets.
type RetryBudgets struct {
	Rows []*RetryBudgetRow
}

// GetOrCreate returns a service's row, a new one if there is none.
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

// turn empties the buckets that have grown old.
func (b *RetryBudgetRow) turn(now time.Time, window time.Duration) (bucket int) {
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
func (b *RetryBudgetRow) count(now time.Time, window time.Duration) {
	b.requests[b.turn(now, window)]++
}

// sums returns the requests and repeats of the window.
func (b *RetryBudgetRow) sums(now time.Time, window time.Duration) (requests, repeats int) {
	b.turn(now, window)
	for i := range buckets {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	return requests, repeats
}

// spend takes a repeat from a service's budget. It returns false if none is
// left. A VM may always use its own part; beyond that it draws on what the
// others are known to have left, up to a few times its part, since all hear of
// a fault at once and of each other's repeats a little later.
func (t *Tables) spend(service string, now time.Time) bool {
	row := t.RetryBudgets.GetOrCreate(service)
	requests, repeats := row.sums(now, t.Limits.RetryWindow)
	slack := t.Limits.RetrySlack / float64(max(t.LiveVMs(now), len(t.VMs.Rows)+1))
	own := t.Limits.RetryRatio*float64(requests) + slack
	if float64(repeats+1) > own {
		if float64(repeats+1) > borrowMost*own || !t.lends(service, requests, repeats, now) {
			return false
		}
	}
	row.repeats[row.turn(now, t.Limits.RetryWindow)]++
	return true
}

const (
	// borrowMost is how many times its own part of a budget a VM may use.
	borrowMost = 3
	// lentPart is the part of the whole budget up to which VMs borrow.
	lentPart = 0.3
)

// lends reports whether all VMs together have used little of a budget.
func (t *Tables) lends(service string, requests, repeats int, now time.Time) bool {
	if t.FleetLoads.fresh(now, t.Limits.PeerTimeout) {
		requests, repeats = countSends(t.FleetLoads.RetryCounts, service, 0, 0) // this VM's own are among them
	} else {
		for _, vm := range t.sources(now) {
			requests, repeats = countSends(vm.RetryCounts, service, requests, repeats)
		}
	}
	return float64(repeats+1) <= lentPart*(t.Limits.RetryRatio*float64(requests)+t.Limits.RetrySlack)
}

// countSends adds the counts of a service.
func countSends(sends []lentilmux.RetryCounts, service string, requests, repeats int) (int, int) {
	for _, s := range sends {
		if s.Service == service {
			requests += s.Requests
			repeats += s.Retries
		}
	}
	return requests, repeats
}
