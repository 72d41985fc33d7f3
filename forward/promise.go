package forward

import "time"

// Promise compares the time in which a request was expected to begin, when its first
// attempt was sent, with the time that it took.
type Promise struct {
	Expected time.Duration // 0 if no time was expected
	Actual   time.Duration // until the first event, or until the request ended without one
	Begun    bool          // whether there was a first event
}

// recordSent records that an attempt is sent.
func (r *relayedRequest) recordSent(a *runningAttempt) {
	if r.sentAt.IsZero() {
		r.sentAt, r.result.Promise.Expected = r.relay.clock(), a.Promised
	}
}

// recordBegun records the first event, or without one the end of the request.
func (r *relayedRequest) recordBegun(begun bool) {
	if promise := &r.result.Promise; promise.Expected > 0 && !promise.Begun {
		promise.Actual, promise.Begun = r.relay.clock().Sub(r.sentAt), begun
	}
}
