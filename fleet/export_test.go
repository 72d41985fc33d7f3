package fleet

import (
	"time"

	"lentilmux.example/lentilmux"
)

// Retries returns the retries of a service within the window, for the golden files.
func (b *RetryBudgetRow) Retries(now time.Time, window time.Duration) (count int) {
	_, count = b.totals(now, window)
	return count
}

// AddPeerSpeed includes what a digest tells of the speed, for the tests of bounds.
func (u *UpstreamRow) AddPeerSpeed(speed lentilmux.UpstreamSpeed, slowdown float64, now time.Time) {
	u.PeerSpeed.addPeer(speed, slowdown, now)
}

// SpeedAt returns the ratios expected of the upstream, for the tests of bounds.
func (u *UpstreamRow) SpeedAt(now time.Time) lentilmux.UpstreamSpeed { return u.speed(now) }
