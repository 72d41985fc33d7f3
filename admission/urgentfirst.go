package admission

import (
	"cmp"

	"lentilmux.example/lentilmux"
)

const (
	// guaranteedShare is how often requests of each priority are served at least,
	// relative to all requests of the service. It is above the quarter that is promised,
	// since each VM measures and keeps it for its own requests only.
	guaranteedShare = 0.3
	// retryReserve is the fraction of the retry budget that the least urgent requests
	// must leave to the others.
	retryReserve = 0.3
)

// UrgentFirst gives capacity to the more urgent requests first, among equally urgent ones
// to callers that were refused before, and then to the oldest request. Requests of a
// priority that gets less than its guaranteed share go before all others.
type UrgentFirst struct{}

// Compare implements [lentilmux.ShortagePolicy].
func (UrgentFirst) Compare(a, b lentilmux.ShortageRequest) int {
	return cmp.Or(
		compareBool(lacksShare(a), lacksShare(b)),
		cmp.Compare(a.Priority, b.Priority),
		compareBool(a.Returning, b.Returning),
		a.Since.Compare(b.Since),
	)
}

// Admits implements [lentilmux.ShortagePolicy].
func (UrgentFirst) Admits(request lentilmux.ShortageRequest, short int) (admits bool) {
	return request.Priority <= short || lacksShare(request)
}

// RetryFraction implements [lentilmux.ShortagePolicy].
func (UrgentFirst) RetryFraction(rank, count int) (fraction float64) {
	if count < 2 {
		return 1
	}
	return 1 - retryReserve*float64(min(max(rank, 0), count-1))/float64(count-1)
}

// lacksShare reports whether requests of the same priority get less than the guaranteed
// share.
func lacksShare(request lentilmux.ShortageRequest) bool {
	return request.ServedShare < guaranteedShare
}

// compareBool orders true before false.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
