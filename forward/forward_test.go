package forward_test

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/forward"
)

// script is a scripted node, request sender and sink. It logs the calls of
// each.
type script struct {
	mu             sync.Mutex // guards out
	out            strings.Builder
	node           sync.Mutex // guards the next three
	last           lentilmux.Epoch
	inFlight       int // attempts that the node knows to be in flight
	started        time.Time
	kind           lentilmux.CallKind
	attempts       int                  // maximum number of attempts
	sendTime       time.Duration        // until an upstream gets an attempt after the first
	bodyTime       time.Duration        // until the body of the first attempt has arrived
	steps          [][]step             // of the response to each attempt
	drains         bool                 // whether the responses announce the drain of their upstream
	retryAfter     lentilmux.RetryAfter // of the responses
	askTime        time.Duration        // until the node answers the report of a stalled attempt
	readTimes      []time.Duration      // until the caller has read each of its first events
	promised       time.Duration        // expected time to the first event of each attempt
	replaceStalled []bool               // for each report of a stalled attempt, whether the node replaces it
	asks           int                  // for attempts, so far
	badAsk         int                  // number of the ask for an attempt that gets no attempt but the next two; 0 for none
	badAnswer      lentilmux.Answer
	badErr         error                 // errSilent for none at all
	connects       bool                  // whether the first attempt still connects when it is canceled
	delivered      *lentilmux.EventCount // of the last attempt
	panics         map[string]bool       // by call: send N, answer, ask
}

// mayPanic panics if the script says so of a call.
func (s *script) mayPanic(call string) {
	if s.panics[call] {
		s.logf("panic in %s", call)
		panic(call)
	}
}

// errSilent stands for a node that does not answer.
const errSilent = errors.ConstError("silent")

// step is one event of a stream, or an error in its place.
type step struct {
	after time.Duration // since the previous step
	event int64         // number of the event; the negated verdict for a response that is no success
	err   error
}

// logf logs a call with the time since the start.
func (s *script) logf(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(&s.out, "%6s "+format+"\n", append([]any{time.Since(s.started)}, values...)...)
}

func (s *script) Send(_ context.Context, msg lentilmux.Msg) (err error) {
	s.node.Lock()
	defer s.node.Unlock()
	switch x := msg.(type) {
	case lentilmux.ForwardStartedMsg:
		s.logf("node: attempt %d started", x.Epoch)
		s.inFlight = 1
	case lentilmux.UpstreamDrainMsg:
		s.logf("node: %s announces its drain", x.Upstream)
	case lentilmux.UpstreamBackOffMsg:
		s.logf("node: %s wants nothing for %s", x.Upstream, x.RetryAfter.Delay)
	case lentilmux.ForwardDoneMsg:
		s.logf("node: done %s %s status=%d events=%d first=%s %s", x.Outcome, x.Reason, x.Status, x.Events, x.TimeToFirstByte, formatEnd(x.End))
	}
	return nil
}

func (s *script) Ask(ctx context.Context, msg lentilmux.Msg) (answer lentilmux.Answer, err error) {
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if _, ok := msg.(lentilmux.ForwardStalledMsg); ok {
		time.Sleep(s.askTime)
	}
	s.node.Lock()
	defer s.node.Unlock()
	if _, ok := msg.(lentilmux.ForwardStalledMsg); !ok {
		s.mayPanic("ask")
		if s.asks++; s.asks == s.badAsk {
			return s.answerBadly(ctx)
		}
	}
	switch x := msg.(type) {
	case lentilmux.ForwardStalledMsg:
		replaced := len(s.replaceStalled) > 0 && s.replaceStalled[0]
		s.logf("node: attempt %d stalled after %d events, replaced=%t", x.Epoch, x.Delivered, replaced)
		if len(s.replaceStalled) > 0 {
			s.replaceStalled = s.replaceStalled[1:]
		}
		if !replaced {
			return lentilmux.WaitAnswer{Wait: 100 * time.Millisecond}, nil
		}
		return s.nextAttempt(), nil
	case lentilmux.ForwardFailedMsg:
		s.logf("node: attempt %d failed %s not_run=%t not_listening=%t answered=%t delivered=%d", x.Epoch, x.Kind, x.NotRun, x.NotListening, x.Answered, x.Delivered)
		if s.inFlight--; s.inFlight > 0 {
			return lentilmux.WaitAnswer{Wait: 100 * time.Millisecond}, nil
		}
		return s.nextAttempt(), nil
	default:
		return s.nextAttempt(), nil
	}
}

// answerBadly answers an ask that gets no attempt.
func (s *script) answerBadly(ctx context.Context) (answer lentilmux.Answer, err error) {
	if errors.Is(s.badErr, errSilent) {
		<-ctx.Done()
		return nil, context.Cause(ctx)
	}
	return s.badAnswer, s.badErr
}

// formatEnd formats how a request ended.
func formatEnd(end lentilmux.RequestEnd) string {
	lastFailure := "none"
	if end.Failures > 0 {
		lastFailure = end.LastFailure.String()
	}
	if end.Panic != "" {
		lastFailure += " panicked"
	}
	return fmt.Sprintf("cause=%s unanswered=%t attempt=%d failed=%d last_failure=%s canceled=%d", end.Cause, end.Unanswered, end.Epoch, end.Failures, lastFailure, end.Canceled)
}

// nextAttempt returns the attempt after the last one, or a refusal if there is
// none.
func (s *script) nextAttempt() lentilmux.Answer {
	if int(s.last) >= s.attempts {
		return lentilmux.RefusalAnswer{Refusal: lentilmux.Refusal{Outcome: lentilmux.OutcomeUnknown, Reason: lentilmux.ReasonUpstreamFailed}}
	}
	s.last++
	s.inFlight++
	s.delivered = &lentilmux.EventCount{}
	return lentilmux.AttemptAnswer{Attempt: lentilmux.Attempt{
		Request: "r", Upstream: fmt.Sprintf("upstream-%d", s.last), Epoch: s.last, Promised: s.promised, Kind: s.kind, Deadline: s.started.Add(1950 * time.Millisecond), FirstEventTimeout: 300 * time.Millisecond, EventGapTimeout: 200 * time.Millisecond,
		Progress: []*lentilmux.Progress{{}}, Delivered: s.delivered,
	}}
}

// scriptedResponse is an upstream's response that follows a script.
type scriptedResponse struct {
	script  *script
	epoch   lentilmux.Epoch
	ctx     context.Context
	steps   []step
	verdict lentilmux.Verdict
}

// send starts the scripted response to an attempt. An attempt without steps
// cannot connect.
func (s *script) send(ctx context.Context, attempt lentilmux.Attempt, after int64) (response lentilmux.UpstreamResponse, err error) {
	if attempt.Epoch > 1 {
		time.Sleep(s.sendTime)
	}
	s.logf("upstream: attempt %d after event %d", attempt.Epoch, after)
	if s.connects && attempt.Epoch == 1 {
		<-ctx.Done()
		return nil, &lentilmux.UpstreamError{Kind: lentilmux.FailureDial, Err: ctx.Err()}
	}
	s.mayPanic(fmt.Sprintf("send %d", attempt.Epoch))
	steps := s.steps[attempt.Epoch-1]
	if len(steps) > 0 && steps[0].event < 0 {
		return &scriptedResponse{script: s, epoch: attempt.Epoch, ctx: ctx, verdict: lentilmux.Verdict(-steps[0].event)}, nil
	}
	if len(steps) == 0 {
		return nil, &lentilmux.UpstreamError{Kind: lentilmux.FailureDial, Err: errors.WithType(errors.New("connection refused"), lentilmux.ErrNotListening)}
	}
	return &scriptedResponse{script: s, epoch: attempt.Epoch, ctx: ctx, steps: steps, verdict: lentilmux.VerdictSuccess}, nil
}

// sender makes a script a request sender.
type sender struct{ *script }

func (s sender) Send(ctx context.Context, attempt lentilmux.Attempt, after int64) (lentilmux.UpstreamResponse, error) {
	return s.send(ctx, attempt, after)
}

func (r *scriptedResponse) Verdict() lentilmux.Verdict                { return r.verdict }
func (r *scriptedResponse) RequestLimit() lentilmux.RequestLimit      { return lentilmux.RequestLimit{} }
func (r *scriptedResponse) Continues(lentilmux.UpstreamResponse) bool { return true }
func (r *scriptedResponse) AnnouncesDrain() bool                      { return r.script.drains }
func (r *scriptedResponse) RetryAfter() lentilmux.RetryAfter          { return r.script.retryAfter }
func (r *scriptedResponse) PeerRefusal() *lentilmux.Refusal           { return nil }
func (r *scriptedResponse) BlamedUpstream() netip.AddrPort            { return netip.AddrPort{} }
func (r *scriptedResponse) Close()                                    { r.script.logf("upstream: attempt %d closed", r.epoch) }

func (r *scriptedResponse) Body() (body []byte, err error) {
	if r.epoch > 1 || r.script.bodyTime == 0 {
		return []byte("body"), nil
	}
	select {
	case <-time.After(r.script.bodyTime):
		return []byte("late body"), nil
	case <-r.ctx.Done():
		return nil, &lentilmux.UpstreamError{Kind: lentilmux.FailureTimeout, Err: r.ctx.Err()}
	}
}

func (r *scriptedResponse) Next() (event []byte, number int64, err error) {
	if len(r.steps) == 0 {
		return nil, 0, io.EOF
	}
	next := r.steps[0]
	r.steps = r.steps[1:]
	select {
	case <-time.After(next.after):
	case <-r.ctx.Done():
		return nil, 0, &lentilmux.UpstreamError{Kind: lentilmux.FailureTimeout, Err: r.ctx.Err()}
	}
	if next.err != nil {
		return nil, 0, next.err
	}
	return fmt.Appendf(nil, "event %d", next.event), next.event, nil
}

func (s *script) WriteHeader(lentilmux.UpstreamResponse) { s.logf("caller: headers") }
func (s *script) WriteEvent(event []byte) error {
	if len(s.readTimes) > 0 {
		time.Sleep(s.readTimes[0])
		s.readTimes = s.readTimes[1:]
	}
	s.logf("caller: %s", event)
	return nil
}
func (s *script) WriteReply(_ lentilmux.UpstreamResponse, body []byte) int {
	s.logf("caller: %s", body)
	s.mayPanic("answer")
	return 200
}
func (s *script) Refuse(r *lentilmux.Refusal) int {
	s.logf("caller: refused %s %s", r.Outcome, r.Reason)
	return 502
}
func (s *script) Abort() { s.logf("caller: aborted") }

// closesLast moves the lines of closed responses to the end of their instant, since
// attempts that race are closed by several goroutines.
func closesLast(log string) string {
	const timeWidth = 6 // of the time that a line begins with
	var out, closes []string
	instant := ""
	endInstant := func() {
		slices.Sort(closes)
		out = append(out, closes...)
		closes = closes[:0]
	}
	for line := range strings.Lines(log) {
		if line[:timeWidth] != instant {
			endInstant()
			instant = line[:timeWidth]
		}
		if strings.HasSuffix(line, " closed\n") {
			closes = append(closes, line)
		} else {
			out = append(out, line)
		}
	}
	endInstant()
	return strings.Join(out, "")
}

// events returns steps with a pause before each event.
func events(pause time.Duration, numbers ...int64) (steps []step) {
	for _, number := range numbers {
		steps = append(steps, step{after: pause, event: number})
	}
	return steps
}

// TestRelay compares the calls of a relay with the golden file. It guards
// against streams that lose or repeat events when an attempt fails or stalls,
// against retries of calls that may have run, and against responses that seem
// complete although they were cut.
func TestRelay(t *testing.T) {
	const tick = 50 * time.Millisecond
	connectionLost := step{after: tick, err: &lentilmux.UpstreamError{Kind: lentilmux.FailureCrash, Err: io.ErrUnexpectedEOF}}
	verdict := func(v lentilmux.Verdict) []step { return []step{{event: -int64(v)}} }
	cases := []struct {
		name       string
		script     script
		disconnect time.Duration // when the caller disconnects; zero for never
		stop       time.Duration // when the process ends; zero for never
		ranBefore  int           // attempts that may have run before the request was forwarded
	}{
		{name: "complete stream", script: script{kind: lentilmux.CallResumableStream, attempts: 1, steps: [][]step{events(tick, 0, 1, 2)}}},
		{name: "connection lost and resumed", script: script{kind: lentilmux.CallResumableStream, attempts: 2, steps: [][]step{append(events(tick, 0, 1), connectionLost), events(tick, 2, 3)}}},
		{name: "connection lost without a further attempt", script: script{kind: lentilmux.CallResumableStream, attempts: 1, steps: [][]step{append(events(tick, 0, 1), connectionLost)}}},
		{name: "repeated event", script: script{kind: lentilmux.CallResumableStream, attempts: 2, steps: [][]step{events(tick, 0, 1, 1), events(tick, 2)}}},
		{name: "stream without events", script: script{kind: lentilmux.CallResumableStream, attempts: 2, steps: [][]step{{{err: io.EOF}}, events(tick, 0)}}},
		{name: "stalled and kept", script: script{kind: lentilmux.CallResumableStream, attempts: 2, steps: [][]step{append(events(tick, 0), events(450*time.Millisecond, 1)...)}}},
		{name: "stalled and replaced", script: script{kind: lentilmux.CallResumableStream, attempts: 2, replaceStalled: []bool{false, true}, steps: [][]step{append(events(tick, 0), events(time.Second, 1)...), events(tick, 1, 2)}}},
		{name: "upstream not reachable", script: script{kind: lentilmux.CallOnce, attempts: 1, steps: [][]step{nil}}},
		{name: "refused before it ran", script: script{kind: lentilmux.CallOnce, attempts: 2, steps: [][]step{verdict(lentilmux.VerdictNotRun), events(0, 0)}}},
		{name: "failure response to a call that is not repeatable", script: script{kind: lentilmux.CallOnce, attempts: 2, steps: [][]step{verdict(lentilmux.VerdictFailed)}}},
		{name: "failure response to a repeatable call, retried", script: script{kind: lentilmux.CallRepeatable, attempts: 2, steps: [][]step{verdict(lentilmux.VerdictFailed), verdict(lentilmux.VerdictFailed)}}},
		{name: "drain announced by a stream", script: script{kind: lentilmux.CallResumableStream, attempts: 2, drains: true, steps: [][]step{append(events(tick, 0), connectionLost), events(tick, 1)}}},
		{name: "drain announced by a refusal and an error", script: script{kind: lentilmux.CallOnce, attempts: 2, drains: true, steps: [][]step{verdict(lentilmux.VerdictNotRun), verdict(lentilmux.VerdictFailed)}}},
		{name: "refusals that name a time", script: script{kind: lentilmux.CallOnce, attempts: 2, retryAfter: lentilmux.RetryAfter{Named: true, Delay: 2 * time.Second}, steps: [][]step{verdict(lentilmux.VerdictNotRun), verdict(lentilmux.VerdictNotRun)}}},
		{name: "deadline exceeded", script: script{kind: lentilmux.CallResumableStream, attempts: 1, steps: [][]step{events(3*time.Second, 0)}}},
		// A silence of a sound upstream must not end an answer: the attempt that takes
		// over may be refused or break off.
		{name: "silent, another attempt is refused, goes on", script: script{kind: lentilmux.CallResumableStream, attempts: 2, replaceStalled: []bool{true}, steps: [][]step{append(events(tick, 0), events(980*time.Millisecond, 1)...), verdict(lentilmux.VerdictNotRun)}}},
		{name: "silent, another attempt breaks off, goes on", script: script{kind: lentilmux.CallResumableStream, attempts: 2, replaceStalled: []bool{true}, steps: [][]step{append(events(tick, 0), events(980*time.Millisecond, 1)...), {connectionLost}}}},
		{name: "silent, goes on before another attempt begins", script: script{kind: lentilmux.CallResumableStream, attempts: 2, replaceStalled: []bool{true}, steps: [][]step{append(events(tick, 0), events(380*time.Millisecond, 1, 2)...), events(time.Second, 1)}}},
		{name: "silent, goes on while the node answers", script: script{kind: lentilmux.CallResumableStream, attempts: 2, askTime: 100 * time.Millisecond, replaceStalled: []bool{true}, steps: [][]step{append(events(tick, 0), events(250*time.Millisecond, 1)...), events(tick, 1)}}},
		// The report of a stall and that of a failure cross: the answer must not be
		// ended as that of an unknown attempt.
		{name: "breaks off while the node answers its stall", script: script{kind: lentilmux.CallResumableStream, attempts: 2, askTime: 100 * time.Millisecond, sendTime: time.Millisecond, replaceStalled: []bool{true}, steps: [][]step{append(events(tick, 0), step{after: 250 * time.Millisecond, err: connectionLost.err}), events(tick, 1)}}},
		{name: "breaks off before another attempt begins", script: script{kind: lentilmux.CallResumableStream, attempts: 2, replaceStalled: []bool{true}, steps: [][]step{append(events(tick, 0), step{after: 250 * time.Millisecond, err: connectionLost.err}), events(280*time.Millisecond, 1)}}},
		{name: "breaks off, and another attempt before it begins", script: script{kind: lentilmux.CallResumableStream, attempts: 2, replaceStalled: []bool{true}, steps: [][]step{append(events(tick, 0), step{after: 250 * time.Millisecond, err: connectionLost.err}), {{after: 200 * time.Millisecond, err: connectionLost.err}}}}},
		{name: "two silent attempts and a third", script: script{kind: lentilmux.CallResumableStream, attempts: 3, replaceStalled: []bool{true, false, true}, steps: [][]step{append(events(tick, 0), events(1500*time.Millisecond, 1)...), events(1500*time.Millisecond, 1), events(tick, 1)}}},
		{name: "silent call, another attempt answers", script: script{kind: lentilmux.CallRepeatable, attempts: 2, replaceStalled: []bool{true}, bodyTime: time.Second, steps: [][]step{events(0, 0), events(0, 0)}}},
		{name: "silent call, answers before another attempt", script: script{kind: lentilmux.CallRepeatable, attempts: 2, replaceStalled: []bool{true}, bodyTime: 400 * time.Millisecond, sendTime: 200 * time.Millisecond, steps: [][]step{events(0, 0), events(0, 0)}}},
		{name: "silent until the caller disconnects", disconnect: 350 * time.Millisecond, script: script{kind: lentilmux.CallResumableStream, attempts: 2, replaceStalled: []bool{true}, steps: [][]step{append(events(tick, 0), events(time.Second, 1)...), events(time.Second, 1)}}},
		// An attempt is added while the caller is slow to read an event: the other one begins
		// after that event, and the stream goes on.
		{name: "silent, another attempt begins during a slow write", script: script{kind: lentilmux.CallResumableStream, attempts: 2, replaceStalled: []bool{true}, readTimes: []time.Duration{0, 570 * time.Millisecond}, steps: [][]step{append(events(tick, 0, 1), events(1500*time.Millisecond, 2)...), events(tick, 2, 3)}}},
		{name: "silent, another attempt begins during the first write", script: script{kind: lentilmux.CallResumableStream, attempts: 2, replaceStalled: []bool{true}, readTimes: []time.Duration{570 * time.Millisecond}, steps: [][]step{append(events(tick, 0), events(1500*time.Millisecond, 1)...), events(tick, 1, 2)}}},
		{name: "refused at once", script: script{kind: lentilmux.CallOnce}},
		{name: "process ends", stop: 120 * time.Millisecond, script: script{kind: lentilmux.CallResumableStream, attempts: 2, steps: [][]step{events(tick, 0, 1, 2, 3)}}},
		// A request must not end without an answer where none has begun, and its answer must
		// not promise that it has not run if it may have.
		{name: "process ends before a stream begins", stop: 120 * time.Millisecond, script: script{kind: lentilmux.CallResumableStream, attempts: 2, steps: [][]step{events(time.Second, 0)}}},
		{name: "process ends before a call is answered", stop: 120 * time.Millisecond, script: script{kind: lentilmux.CallOnce, attempts: 2, bodyTime: time.Second, steps: [][]step{events(0, 0)}}},
		{name: "process ends while an attempt connects", stop: 120 * time.Millisecond, script: script{kind: lentilmux.CallOnce, attempts: 2, connects: true, steps: [][]step{nil}}},
		{name: "process ends while two attempts are silent", stop: 420 * time.Millisecond, script: script{kind: lentilmux.CallRepeatable, attempts: 2, replaceStalled: []bool{true}, bodyTime: time.Second, sendTime: time.Second, steps: [][]step{events(0, 0), events(0, 0)}}},
		{name: "node stopped before the first attempt", script: script{kind: lentilmux.CallOnce, badAsk: 1, badErr: lentilmux.ErrStopped}},
		{name: "node stopped after an attempt that did not run", script: script{kind: lentilmux.CallOnce, attempts: 2, badAsk: 2, badErr: lentilmux.ErrStopped, steps: [][]step{verdict(lentilmux.VerdictNotRun)}}},
		{name: "node stopped after an attempt that may have run", script: script{kind: lentilmux.CallResumableStream, attempts: 2, badAsk: 2, badErr: lentilmux.ErrStopped, steps: [][]step{{connectionLost}}}},
		{name: "node stopped after a failure response", script: script{kind: lentilmux.CallRepeatable, attempts: 2, badAsk: 2, badErr: lentilmux.ErrStopped, steps: [][]step{verdict(lentilmux.VerdictFailed)}}},
		{name: "node stopped after a stream was cut", script: script{kind: lentilmux.CallResumableStream, attempts: 2, badAsk: 2, badErr: lentilmux.ErrStopped, steps: [][]step{append(events(tick, 0), connectionLost)}}},
		{name: "node stopped while another attempt fails", script: script{kind: lentilmux.CallResumableStream, attempts: 3, badAsk: 3, badErr: lentilmux.ErrStopped, replaceStalled: []bool{true}, steps: [][]step{append(events(tick, 0), step{after: 250 * time.Millisecond, err: connectionLost.err}), {{after: 200 * time.Millisecond, err: connectionLost.err}}}}},
		{name: "node stopped before the first attempt of a forwarded request that may have run", ranBefore: 1, script: script{kind: lentilmux.CallOnce, badAsk: 1, badErr: lentilmux.ErrStopped}},
		{name: "node gives an unexpected answer", script: script{kind: lentilmux.CallOnce, badAsk: 1, badAnswer: "odd"}},
		{name: "node gives an unexpected answer to a failure", script: script{kind: lentilmux.CallResumableStream, attempts: 2, badAsk: 2, badAnswer: "odd", steps: [][]step{{connectionLost}}}},
		{name: "node does not answer", disconnect: 3 * time.Second, script: script{kind: lentilmux.CallOnce, badAsk: 1, badErr: errSilent}},
		{name: "node does not answer, caller disconnects", disconnect: 120 * time.Millisecond, script: script{kind: lentilmux.CallOnce, badAsk: 1, badErr: errSilent}},
		// A panic must not end the process, nor leave the caller without an answer that is
		// possible.
		{name: "panic over an answer", script: script{kind: lentilmux.CallResumableStream, attempts: 2, panics: map[string]bool{"send 1": true}, steps: [][]step{nil, events(tick, 0)}}},
		{name: "panic over the answer of another attempt", script: script{kind: lentilmux.CallResumableStream, attempts: 2, replaceStalled: []bool{true}, panics: map[string]bool{"send 2": true}, steps: [][]step{append(events(tick, 0), events(980*time.Millisecond, 1)...), nil}}},
		{name: "panic before an attempt", script: script{kind: lentilmux.CallOnce, panics: map[string]bool{"ask": true}}},
		{name: "panic while an answer is written", script: script{kind: lentilmux.CallOnce, attempts: 1, panics: map[string]bool{"answer": true}, steps: [][]step{events(0, 0)}}},
		{name: "caller disconnects", disconnect: 120 * time.Millisecond, script: script{kind: lentilmux.CallResumableStream, attempts: 2, steps: [][]step{events(tick, 0, 1, 2, 3)}}},
	}
	var out strings.Builder
	for i := range cases {
		c := &cases[i]
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			s := &c.script
			s.started = time.Now()
			races := slices.Contains(s.replaceStalled, true)
			if c.disconnect > 0 {
				time.AfterFunc(c.disconnect, func() { cancel(nil) })
			}
			if c.stop > 0 {
				time.AfterFunc(c.stop, func() { cancel(lentilmux.ErrStopped) })
			}
			relay := forward.NewRelay(s)
			inbound := lentilmux.InboundRequest{ID: "r", ReceivedAt: s.started, Deadline: s.started.Add(2 * time.Second), ResumeAfter: -1}
			inbound.Forwarded.PossibleRuns = c.ranBefore
			relay.Run(ctx, inbound, sender{s}, s)
			lines := s.out.String()
			if races {
				lines = closesLast(lines)
			}
			fmt.Fprintf(&out, "== %s\n%s", c.name, lines)
		})
	}
	goldie.New(t).Assert(t, "relay", []byte(out.String()))
}
