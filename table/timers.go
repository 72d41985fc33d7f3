package table

import "time"

// Timers holds the times at which scans over whole tables are due next, so that
// a tick without a scan takes time only for its events.
type Timers struct {
	Leaving     time.Time
	Peers       time.Time
	Reprobe     time.Time
	Throughput  time.Time
	Replacement time.Time
	Loads       time.Time
	Reconcile   time.Time
	Gossip      time.Time
}

// Due reports whether the time in next has come. If so, it sets next to period
// after now. In either case it asks for a tick at the time in next.
func (t *Tables) Due(next *time.Time, now time.Time, period time.Duration) bool {
	if now.Before(*next) {
		t.WakeAt(*next)
		return false
	}
	*next = now.Add(period)
	t.WakeAt(*next)
	return true
}
