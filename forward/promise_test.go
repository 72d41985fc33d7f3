package forward_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/forward"
)

// TestPromises compares the expected and the measured times with the golden file. It
// guards against a request that never begins and counts as one without a promise.
func TestPromises(t *testing.T) {
	const tick = 50 * time.Millisecond
	stream := lentilmux.CallResumableStream
	var out strings.Builder
	cases := []struct {
		name   string
		leaves time.Duration // when the caller disconnects; zero for never
		script script
	}{
		{"begins", 0, script{kind: stream, attempts: 1, promised: 40 * time.Millisecond, steps: [][]step{events(tick, 0, 1)}}},
		{"begins at another upstream", 0, script{kind: stream, attempts: 2, promised: 40 * time.Millisecond, replaceStalled: []bool{true}, steps: [][]step{events(time.Second, 0), events(tick, 0)}}},
		{"is retried", 0, script{kind: stream, attempts: 2, promised: 40 * time.Millisecond, steps: [][]step{nil, events(tick, 0)}}},
		{"never begins", 900 * time.Millisecond, script{kind: stream, attempts: 1, promised: 40 * time.Millisecond, steps: [][]step{events(time.Second, 0)}}},
		{"nothing promised", 0, script{kind: stream, attempts: 1, steps: [][]step{events(tick, 0)}}},
		{"refused", 0, script{kind: stream, promised: 40 * time.Millisecond}},
	}
	for i := range cases {
		c := &cases[i]
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if c.leaves > 0 {
				time.AfterFunc(c.leaves, cancel)
			}
			s := &c.script
			s.started = time.Now()
			relay := forward.NewRelay(s, forward.WithObserver(func(result forward.Result) {
				fmt.Fprintf(&out, "%s: expected %s, took %s, begun %t\n", c.name, result.Promise.Expected, result.Promise.Actual, result.Promise.Begun)
			}))
			relay.Run(ctx, lentilmux.InboundRequest{ID: "r", ReceivedAt: s.started, Deadline: s.started.Add(2 * time.Second), ResumeAfter: -1}, sender{s}, s)
		})
	}
	goldie.New(t).Assert(t, "promises", []byte(out.String()))
}
