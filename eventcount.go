package lentilmux

import "sync/atomic"

// EventCount holds the number of events that a stream has delivered to its caller.
// Like [Progress], traffic writes it and the control goroutine reads it, which saves a
// message for each event. The zero value has counted none. It is safe for concurrent
// use.
type EventCount struct {
	events atomic.Int64
}

// Record sets the number of events. It does nothing if the count is nil.
func (e *EventCount) Record(events int) {
	if e != nil {
		e.events.Store(int64(events))
	}
}

// Events returns the number of events, which is 0 if the count is nil.
func (e *EventCount) Events() (events int) {
	if e == nil {
		return 0
	}
	return int(e.events.Load())
}
