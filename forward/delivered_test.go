package forward_test

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/forward"
)

// TestDeliveredEvents guards against reservations that stand still: an attempt publishes
// the events that the caller has, and one that resumes a stream counts those before it.
func TestDeliveredEvents(t *testing.T) {
	const tick = 50 * time.Millisecond
	for name, steps := range map[string][][]step{
		"complete": {events(tick, 0, 1, 2, 3)},
		"resumed":  {append(events(tick, 0, 1), step{after: tick, err: &lentilmux.UpstreamError{Kind: lentilmux.FailureCrash, Err: io.ErrUnexpectedEOF}}), events(tick, 2, 3)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &script{kind: lentilmux.CallResumableStream, attempts: 2, steps: steps, started: time.Now()}
				result := forward.Result{}
				relay := forward.NewRelay(s, forward.WithObserver(func(r forward.Result) { result = r }))
				relay.Run(t.Context(), lentilmux.InboundRequest{ID: "r", ReceivedAt: s.started, Deadline: s.started.Add(2 * time.Second), ResumeAfter: -1}, sender{s}, s)
				if got := s.delivered.Events(); got != 4 || result.Events != 4 {
					t.Errorf("the last attempt published %d events, the caller got %d of 4", got, result.Events)
				}
			})
		})
	}
}
