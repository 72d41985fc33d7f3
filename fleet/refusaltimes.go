package fleet

import (
	"math"
	"time"

	"lentilmux.example/lentilmux"
)

const (
	// minRoomRetryAfter is about the shortest time after which a caller that found no
	// room may retry.
	minRoomRetryAfter = time.Second
	// maxRetryAfterFraction bounds that time, as a fraction of what the caller has left.
	// Callers honor up to a third of what they have left when the refusal arrives.
	maxRetryAfterFraction = 0.25
	// shortRetryAfterFraction is the start of the range as a fraction of its end, where
	// its end is near minRoomRetryAfter or before it.
	shortRetryAfterFraction = 0.75
)

// hasLayers reports whether the upstreams of a service hold layers of a model.
func (t *Tables) hasLayers(service string) bool {
	rule := t.Rules.Service(service)
	return rule != nil && rule.Engine != nil && rule.Engine.Layers > 0
}

// shortageRetryAfter returns the time after which a caller may retry that was refused for
// want of room or because the retry budget is spent. Within the typical duration of a
// stream, as much room becomes free as there is. The times of callers are spread evenly
// over that duration, by a hash, since callers that return together find no room again.
func (t *Tables) shortageRetryAfter(request *RequestRow, now time.Time) (retryAfter time.Duration) {
	if !t.hasLayers(request.Service) {
		return t.Limits.RefusalRetryAfter
	}
	latest := min(minRoomRetryAfter+t.StreamDurations.Typical(request.Service, now), time.Duration(maxRetryAfterFraction*float64(request.Deadline.Sub(now))))
	latest = max(latest, 0)
	earliest := min(minRoomRetryAfter, time.Duration(shortRetryAfterFraction*float64(latest)))
	return earliest + time.Duration(t.hashFraction(request.ID)*float64(latest-earliest))
}

// hashFraction returns a number from 0 to 1 that depends on this VM and a request only.
func (t *Tables) hashFraction(id lentilmux.RequestID) (fraction float64) {
	return float64(lentilmux.ComputeFingerprint(t.Self.Name, string(id))) / math.MaxUint64
}

// noRetryRefusal returns the refusal of a request that gets no further attempt.
func (t *Tables) noRetryRefusal(request *RequestRow, reason lentilmux.Reason, detail string, now time.Time) *lentilmux.Refusal {
	refusal := t.notRunRefusal(reason, detail)
	if reason == lentilmux.ReasonRetryBudget {
		refusal.RetryAfter = t.shortageRetryAfter(request, now)
	}
	return refusal
}
