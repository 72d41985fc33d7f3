package forward_test

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/forward"
)

// script plays node, carrier and sink, and writes down what each is asked.
type script struct {
	out     strings.Builder
	started time.Time
	kind    lentilmux.CallKind
	legs    int      // legs that may be given
	steps   [][]step // of each leg's answer
	silent  []bool   // whether a silent leg is replaced, by report
}

// step is one event of a stream, or what comes in its place.
type step struct {
	after time.Duration
	event int64
	err   error
}

func (s *script) say(format string, values ...any) {
	fmt.Fprintf(&s.out, "%6s "+format+"\n", append([]any{time.Since(s.started)}, values...)...)
}

func (s *script) Send(_ context.Context, msg lentilmux.Msg) (err error) {
	switch x := msg.(type) {
	case lentilmux.ForwardStartedMsg:
		s.say("node: leg %d began", x.Epoch)
	case lentilmux.ForwardDoneMsg:
		s.say("node: done %s %s status=%d events=%d first=%s", x.Outcome, x.Reason, x.Status, x.Events, x.TimeToFirstByte)
	}
	return nil
}

func (s *script) Ask(ctx context.Context, msg lentilmux.Msg) (answer lentilmux.Answer, err error) {
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	switch x := msg.(type) {
	case lentilmux.ForwardStalledMsg:
		replaced := len(s.silent) > 0 && s.silent[0]
		s.say("node: leg %d silent after %d events, replaced=%t", x.Epoch, x.Delivered, replaced)
		if len(s.silent) > 0 {
			s.silent = s.silent[1:]
		}
		if !replaced {
			return lentilmux.WaitAnswer{Wait: 100 * time.Millisecond}, nil
		}
		return s.leg(x.Epoch), nil
	case lentilmux.ForwardFailedMsg:
		s.say("node: leg %d failed %s not_run=%t answered=%t delivered=%d", x.Epoch, x.Kind, x.NotRun, x.Answered, x.Delivered)
		return s.leg(x.Epoch), nil
	default:
		return s.leg(0), nil
	}
}

func (s *script) leg(before lentilmux.Epoch) lentilmux.Answer {
	if int(before) >= s.legs {
		return lentilmux.RefusalAnswer{Refusal: lentilmux.Refusal{Outcome: lentilmux.OutcomeUnknown, Reason: lentilmux.ReasonUpstreamFailed}}
	}
	return lentilmux.AttemptAnswer{Attempt: lentilmux.Attempt{
		Request: "r", Epoch: before + 1, Kind: s.kind, Deadline: s.started.Add(1950 * time.Millisecond), FirstEventTimeout: 300 * time.Millisecond, EventGapTimeout: 200 * time.Millisecond,
		Progress: []*lentilmux.Progress{{}},
	}}
}

// delivery plays an answer.
type delivery struct {
	script  *script
	ctx     context.Context
	steps   []step
	verdict lentilmux.Verdict
}

func (s *script) carry(ctx context.Context, leg lentilmux.Attempt, after int64) (d lentilmux.UpstreamResponse, err error) {
	s.say("carrier: leg %d behind %d", leg.Epoch, after)
	steps := s.steps[leg.Epoch-1]
	if len(steps) > 0 && steps[0].event < 0 {
		return &delivery{script: s, ctx: ctx, verdict: lentilmux.Verdict(-steps[0].event)}, nil
	}
	if len(steps) == 0 {
		return nil, &lentilmux.UpstreamError{Kind: lentilmux.FailureDial, Err: errors.New("nobody there")}
	}
	return &delivery{script: s, ctx: ctx, steps: steps, verdict: lentilmux.VerdictSuccess}, nil
}

type carrier struct{ *script }

func (c carrier) Send(ctx context.Context, leg lentilmux.Attempt, after int64) (lentilmux.UpstreamResponse, error) {
	return c.carry(ctx, leg, after)
}

func (d *delivery) Verdict() lentilmux.Verdict     { return d.verdict }
func (d *delivery) BlamedUpstream() netip.AddrPort { return netip.AddrPort{} }
func (d *delivery) Body() ([]byte, error)          { return []byte("body"), nil }
func (d *delivery) Close()                         { d.script.say("carrier: closed") }

func (d *delivery) Next() (event []byte, number int64, err error) {
	if len(d.steps) == 0 {
		return nil, 0, io.EOF
	}
	next := d.steps[0]
	d.steps = d.steps[1:]
	select {
	case <-time.After(next.after):
	case <-d.ctx.Done():
		return nil, 0, &lentilmux.UpstreamError{Kind: lentilmux.FailureTimeout, Err: d.ctx.Err()}
	}
	if next.err != nil {
		return nil, 0, next.err
	}
	return fmt.Appendf(nil, "event %d", next.event), next.event, nil
}

func (s *script) WriteHeader(lentilmux.UpstreamResponse) { s.say("caller: headers") }
func (s *script) WriteEvent(event []byte) error          { s.say("caller: %s", event); return nil }
func (s *script) WriteReply(_ lentilmux.UpstreamResponse, body []byte) int {
	s.say("caller: %s", body)
	return 200
}
func (s *script) Refuse(r *lentilmux.Refusal) int {
	s.say("caller: refused %s %s", r.Outcome, r.Reason)
	return 502
}
func (s *script) Abort() { s.say("caller: broken off") }

// events are steps with a pause before each.
func events(pause time.Duration, numbers ...int64) (steps []step) {
	for _, number := range numbers {
		steps = append(steps, step{after: pause, event: number})
	}
	return steps
}

// TestRelay compares what the relay does with the golden file.
func TestRelay(t *testing.T) {
	const tick = 50 * time.Millisecond
	cut := step{after: tick, err: &lentilmux.UpstreamError{Kind: lentilmux.FailureCrash, Err: io.ErrUnexpectedEOF}}
	verdict := func(v lentilmux.Verdict) []step { return []step{{event: -int64(v)}} }
	cases := []struct {
		name   string
		script script
		leave  time.Duration // when the caller leaves
	}{
		{name: "whole stream", script: script{kind: lentilmux.CallResumableStream, legs: 1, steps: [][]step{events(tick, 0, 1, 2)}}},
		{name: "cut and gone on", script: script{kind: lentilmux.CallResumableStream, legs: 2, steps: [][]step{append(events(tick, 0, 1), cut), events(tick, 2, 3)}}},
		{name: "cut for good", script: script{kind: lentilmux.CallResumableStream, legs: 1, steps: [][]step{append(events(tick, 0, 1), cut)}}},
		{name: "an event twice", script: script{kind: lentilmux.CallResumableStream, legs: 2, steps: [][]step{events(tick, 0, 1, 1), events(tick, 2)}}},
		{name: "an empty stream is no answer", script: script{kind: lentilmux.CallResumableStream, legs: 2, steps: [][]step{{{err: io.EOF}}, events(tick, 0)}}},
		{name: "silent and waited for", script: script{kind: lentilmux.CallResumableStream, legs: 2, steps: [][]step{append(events(tick, 0), events(450*time.Millisecond, 1)...)}}},
		{name: "silent and replaced", script: script{kind: lentilmux.CallResumableStream, legs: 2, silent: []bool{false, true}, steps: [][]step{append(events(tick, 0), events(time.Second, 1)...), events(tick, 1, 2)}}},
		{name: "nobody there", script: script{kind: lentilmux.CallOnce, legs: 1, steps: [][]step{nil}}},
		{name: "not run", script: script{kind: lentilmux.CallOnce, legs: 2, steps: [][]step{verdict(lentilmux.VerdictNotRun), events(0, 0)}}},
		{name: "its own failure", script: script{kind: lentilmux.CallOnce, legs: 2, steps: [][]step{verdict(lentilmux.VerdictFailed)}}},
		{name: "its own failure, repeated", script: script{kind: lentilmux.CallRepeatable, legs: 2, steps: [][]step{verdict(lentilmux.VerdictFailed), verdict(lentilmux.VerdictFailed)}}},
		{name: "the deadline", script: script{kind: lentilmux.CallResumableStream, legs: 1, steps: [][]step{events(3*time.Second, 0)}}},
		{name: "the caller leaves", leave: 120 * time.Millisecond, script: script{kind: lentilmux.CallResumableStream, legs: 2, steps: [][]step{events(tick, 0, 1, 2, 3)}}},
	}
	var out strings.Builder
	for i := range cases {
		c := &cases[i]
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			s := &c.script
			s.started = time.Now()
			if c.leave > 0 {
				time.AfterFunc(c.leave, cancel)
			}
			relay := forward.NewRelay(s)
			relay.Run(ctx, lentilmux.InboundRequest{ID: "r", ReceivedAt: s.started, Deadline: s.started.Add(2 * time.Second), ResumeAfter: -1}, carrier{s}, s)
			fmt.Fprintf(&out, "== %s\n%s", c.name, s.out.String())
		})
	}
	goldie.New(t).Assert(t, "relay", []byte(out.String()))
}
