package table

import "time"

// Timers holds when scans over whole tables are due, so that a tick between
// them costs no more than its events.
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

// Due reports whether the time in due has come, and then sets the next one
// after the period every. It asks for a tick at the next time.
func (t *Tables) Due(next *time.Time, now time.Time, period time.Duration) bool {
	if now.Before(*next) {
		t.WakeAt(*next)
		return false
	}
	*next = now.Add(period)
	t.WakeAt(*next)
	return true
}
