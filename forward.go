package lentilmux

import (
	"context"
	"net/netip"
	"time"
)

// InboundRequest describes a caller's request that is forwarded whole, without its
// bytes.
type InboundRequest struct {
	ID             RequestID
	Host           string
	Path           string
	Key            string // the caller's key, or empty
	ReceivedAt     time.Time
	Deadline       time.Time   // when the caller stops waiting
	Fingerprint    Fingerprint // of method, path, key and body, to know a resend
	PromptTokens   int         // tokens
	MaxTokens      int         // the most tokens that are written
	ExpectedTokens int         // tokens that the caller expects; 0 if it did not say
	ResumeAfter    int64       // the event behind which a stream goes on; negative for its beginning
}

// ForwardMsg asks for the first leg of a request. The answer is a [AttemptAnswer]
// or a [RefusalAnswer].
type ForwardMsg struct {
	Inbound InboundRequest
}

// Attempt is one attempt at a request: where it goes and how long that may take.
type Attempt struct {
	Request           RequestID
	Epoch             Epoch
	Kind              CallKind
	Upstream          string
	Addr              netip.AddrPort
	Path              []Hop // empty if the upstream runs the whole request
	Workspace         string
	Deadline          time.Time     // when the work has to be over
	FirstEventTimeout time.Duration // silence before the first event that ends the leg
	EventGapTimeout   time.Duration // silence between events that ends the leg
	Progress          []*Progress   // of the upstreams of the path
}

// AttemptAnswer carries the next leg of a request.
type AttemptAnswer struct {
	Attempt Attempt
}

// ForwardStartedMsg reports the first event of a leg.
type ForwardStartedMsg struct {
	Request RequestID
	Epoch   Epoch
}

// ForwardFailedMsg reports a leg that ended without a whole answer and asks for
// another one. The answer is a [AttemptAnswer] or a [RefusalAnswer].
type ForwardFailedMsg struct {
	Request        RequestID
	Epoch          Epoch
	Kind           FailureKind
	NotRun         bool           // whether it is certain that the upstream did not act
	Answered       bool           // whether the upstream answered with a failure of its own
	BlamedUpstream netip.AddrPort // the upstream that the first one blamed, if any
	Delivered      int            // events that the caller has
}

// ForwardStalledMsg reports a leg without progress, which is still under way. The
// answer is a [WaitAnswer], or a [AttemptAnswer] that replaces the leg.
type ForwardStalledMsg struct {
	Request   RequestID
	Epoch     Epoch
	Delivered int // events that the caller has
}

// WaitAnswer lets a silent leg go on.
type WaitAnswer struct {
	Wait time.Duration // until it is reported again
}

// ForwardDoneMsg reports the end of a request. No answer is given.
type ForwardDoneMsg struct {
	Request         RequestID
	Outcome         Outcome
	Reason          Reason
	Status          int
	Events          int
	TimeToFirstByte time.Duration // until the first byte of the answer; 0 without one
	MaxEventGap     time.Duration // the longest between two events
	Duration        time.Duration
}

// Verdict is what an upstream's answer says of the request.
type Verdict int

// The verdicts.
const (
	// VerdictInvalid is an answer that is not the one to the request.
	VerdictInvalid Verdict = iota
	// VerdictSuccess is an answer to pass on.
	VerdictSuccess
	// VerdictFailed is a failure of the upstream's own, after it may have run
	// the request.
	VerdictFailed
	// VerdictNotRun is a refusal before the request ran.
	VerdictNotRun
)

// RequestSender sends one request's bytes to upstreams. It is made by the front end
// that holds them.
type RequestSender interface {
	// Send sends the request over a leg, to go on behind the event after if
	// that is not negative. A failure is a [*StepError].
	Send(ctx context.Context, leg Attempt, after int64) (delivery UpstreamResponse, err error)
}

// UpstreamResponse is an upstream's answer while it arrives.
type UpstreamResponse interface {
	Verdict() (verdict Verdict)
	// Culprit is the upstream that the answer blames, if any.
	BlamedUpstream() (addr netip.AddrPort)
	// Next returns the next whole event and its number, and io.EOF after the
	// last one of an answer that is whole. The bytes are valid until the next
	// call.
	Next() (event []byte, number int64, err error)
	// Body returns the whole answer of a call that is no stream.
	Body() (body []byte, err error)
	// Close ends the answer. The upstream drops work that is still under way.
	Close()
}

// Sink takes the answer for a caller.
type Sink interface {
	// Begin passes on status and headers of the answer to a stream.
	WriteHeader(delivery UpstreamResponse)
	// Event passes on one event at once.
	WriteEvent(event []byte) (err error)
	// Reply passes on a whole answer.
	WriteReply(delivery UpstreamResponse, body []byte) (status int)
	// Refuse ends a request that has no answer so far.
	Refuse(refusal *Refusal) (status int)
	// Break ends an answer that has begun so that it cannot seem whole.
	Abort()
}
