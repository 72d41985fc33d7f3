package fleet

import "time"

const (
	// asksBurst is how many questions may go out at once.
	asksBurst = 8
)

// Asks bounds the questions to upstreams because of signs, so that a fault of
// many does not become a load of its own.
type Asks struct {
	left float64
	at   time.Time
}

// take takes one question from the budget. It returns false if none is left.
func (a *Asks) take(now time.Time, perSecond float64) bool {
	if a.at.IsZero() {
		a.left = asksBurst
	} else {
		a.left = min(a.left+perSecond*now.Sub(a.at).Seconds(), asksBurst)
	}
	a.at = now
	if a.left < 1 {
		return false
	}
	a.left--
	return true
}
