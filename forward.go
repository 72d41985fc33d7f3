package lentilmux

import (
	"context"
	"net/netip"
	"time"
)

// Inbound describes a caller's request that is forwarded whole, without its
// bytes.
type Inbound struct {
	ID       RequestID
	Host     string
	Path     string
	Key      string // the caller's key, or empty
	Received time.Time
	Deadline time.Time   // when the caller stops waiting
	Body     Fingerprint // of method, path, key and body, to know a resend
	Prompt   int         // tokens
	Answer   int         // the most tokens that are written
	Hint     int         // tokens that the caller expects; 0 if it did not say
	After    int64       // the event behind which a stream goes on; negative for its beginning
}

// InboundMsg asks for the first leg of a request. The answer is a [LegAnswer]
// or a [RefusalAnswer].
type InboundMsg struct {
	Inbound Inbound
}

// Leg is one attempt at a request: where it goes and how long that may take.
type Leg struct {
	Request   RequestID
	Epoch     Epoch
	Kind      CallKind
	Upstream  string
	Addr      netip.AddrPort
	Path      []Hop // empty if the upstream runs the whole request
	Workspace string
	Deadline  time.Time     // when the work has to be over
	First     time.Duration // silence before the first event that ends the leg
	Gap       time.Duration // silence between events that ends the leg
	Pulses    []*Pulse      // of the upstreams of the path
}

// LegAnswer carries the next leg of a request.
type LegAnswer struct {
	Leg Leg
}

// LegBegunMsg reports the first event of a leg.
type LegBegunMsg struct {
	Request RequestID
	Epoch   Epoch
}

// LegFailedMsg reports a leg that ended without a whole answer and asks for
// another one. The answer is a [LegAnswer] or a [RefusalAnswer].
type LegFailedMsg struct {
	Request   RequestID
	Epoch     Epoch
	Kind      FailureKind
	NotRun    bool           // whether it is certain that the upstream did not act
	Answered  bool           // whether the upstream answered with a failure of its own
	Culprit   netip.AddrPort // the upstream that the first one blamed, if any
	Delivered int            // events that the caller has
}

// LegSilentMsg reports a leg without progress, which is still under way. The
// answer is a [WaitAnswer], or a [LegAnswer] that replaces the leg.
type LegSilentMsg struct {
	Request   RequestID
	Epoch     Epoch
	Delivered int // events that the caller has
}

// WaitAnswer lets a silent leg go on.
type WaitAnswer struct {
	Wait time.Duration // until it is reported again
}

// LegDoneMsg reports the end of a request. No answer is given.
type LegDoneMsg struct {
	Request RequestID
	Outcome Outcome
	Reason  Reason
	Status  int
	Events  int
	First   time.Duration // until the first byte of the answer; 0 without one
	Pause   time.Duration // the longest between two events
	Took    time.Duration
}

// Verdict is what an upstream's answer says of the request.
type Verdict int

// The verdicts.
const (
	// VerdictSpoilt is an answer that is not the one to the request.
	VerdictSpoilt Verdict = iota
	// VerdictSuccess is an answer to pass on.
	VerdictSuccess
	// VerdictFailed is a failure of the upstream's own, after it may have run
	// the request.
	VerdictFailed
	// VerdictNotRun is a refusal before the request ran.
	VerdictNotRun
)

// Carrier sends one request's bytes to upstreams. It is made by the front end
// that holds them.
type Carrier interface {
	// Send sends the request over a leg, to go on behind the event after if
	// that is not negative. A failure is a [*StepError].
	Send(ctx context.Context, leg Leg, after int64) (delivery Delivery, err error)
}

// Delivery is an upstream's answer while it arrives.
type Delivery interface {
	Verdict() (verdict Verdict)
	// Culprit is the upstream that the answer blames, if any.
	Culprit() (addr netip.AddrPort)
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
	Begin(delivery Delivery)
	// Event passes on one event at once.
	Event(event []byte) (err error)
	// Reply passes on a whole answer.
	Reply(delivery Delivery, body []byte) (status int)
	// Refuse ends a request that has no answer so far.
	Refuse(refusal *Refusal) (status int)
	// Break ends an answer that has begun so that it cannot seem whole.
	Break()
}
