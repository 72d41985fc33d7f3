package lentilmux

import (
	"context"
	"net/netip"
	"time"
)

// InboundRequest describes a caller's request that is forwarded as it is. The
// front end keeps its bytes.
type InboundRequest struct {
	ID             RequestID
	Host           string
	Path           string
	Key            string // the caller's API key, or empty
	ReceivedAt     time.Time
	Deadline       time.Time    // when the caller stops waiting
	Fingerprint    Fingerprint  // of method, path, key and body, to recognize crash suspects
	SharedParts    []PromptPart // parts of the prompt that other requests may share, in order; at most [MaxSharedParts]
	PromptTokens   int
	MaxTokens      int   // maximum number of completion tokens
	ExpectedTokens int   // completion tokens that the caller expects; 0 if it gave no hint
	ResumeAfter    int64 // number of the event after which the stream resumes; negative to start at the first
	Forwarded      ForwardedRequest
}

// ForwardedRequest is what a VM tells a peer of a request that it forwards to it. The
// zero value stands for a request that came from a caller.
type ForwardedRequest struct {
	VM           string      // that got the request from its caller
	Workspace    string      // that the caller's key belongs to; empty for an anonymous request
	Fingerprint  Fingerprint // of the request
	PossibleRuns int         // attempts so far that may have run it
	MaxUpstreams int         // upstreams on which the peer may run it; 0 if that is not said
	MinRules     Revision    // a VM that has an older version of the configuration refuses the request
}

// IsForwarded reports whether the request came from a peer.
func (f *ForwardedRequest) IsForwarded() bool { return f.VM != "" }

// MaxSharedParts bounds the prompt parts that are kept of a request, so that a long
// header can neither fill the memory of a VM nor keep its control goroutine busy.
const MaxSharedParts = 64

// ForwardMsg asks for the first attempt of a request. The answer is an
// [AttemptAnswer] or a [RefusalAnswer].
type ForwardMsg struct {
	Inbound InboundRequest
}

// Attempt is one send of a request: the upstream or path, and its timeouts.
type Attempt struct {
	Request           RequestID
	Epoch             Epoch
	Kind              CallKind
	Upstream          string
	Peer              string   // VM that the request is forwarded to, which selects the upstream; empty for none
	PossibleRuns      int      // earlier attempts that may have run the request, if it is forwarded
	MaxUpstreams      int      // upstreams on which the peer may run it, if it is forwarded
	MinRules          Revision // oldest version of the configuration by which a peer may handle the request, if it is forwarded
	Addr              netip.AddrPort
	Path              []Hop // empty if the upstream runs all layers itself
	Workspace         string
	Priority          int           // 0 is the most urgent; valid if HasPriority
	HasPriority       bool          // whether the upstream is told the priority
	Deadline          time.Time     // by which the answer has to be complete
	Promised          time.Duration // expected time to the first event; 0 if none is expected
	FirstEventTimeout time.Duration // time without a first event after which the attempt is stalled; 0 for no limit
	EventGapTimeout   time.Duration // time between events after which the attempt is stalled
	Progress          []*Progress   // of the path's upstreams
	Delivered         *EventCount   // of the request, of all attempts together; nil if it is not followed
	Limited           bool          // whether the upstream named a limit, so that an answer without one has to be reported
	StartedAt         time.Time     // start of the upstream's process, as known when the attempt was sent
}

// AttemptAnswer carries the next attempt of a request.
type AttemptAnswer struct {
	Attempt Attempt
}

// ForwardStartedMsg reports the first event of an attempt.
type ForwardStartedMsg struct {
	Request RequestID
	Epoch   Epoch
}

// ForwardFailedMsg reports an attempt that ended without a complete answer and
// asks for a retry. The answer is an [AttemptAnswer] or a [RefusalAnswer].
type ForwardFailedMsg struct {
	Request        RequestID
	Epoch          Epoch
	Kind           FailureKind
	Detail         string         // what is wrong with the answer, as in [UpstreamError]
	NotRun         bool           // whether the upstream certainly did not run the request
	NotListening   bool           // whether nothing listens at the upstream's address, so that its process has ended
	Answered       bool           // whether the upstream itself answered with an error
	BlamedUpstream netip.AddrPort // hop that the error answer names as the cause, if any
	Delivered      int            // events delivered to the caller
	PeerRefusal    *Refusal       // of the peer that the request was forwarded to; nil if it did not refuse the request
}

// ForwardStalledMsg reports a stalled attempt, which is still in flight. The
// answer is a [WaitAnswer], or an [AttemptAnswer] that replaces the attempt.
type ForwardStalledMsg struct {
	Request   RequestID
	Epoch     Epoch
	Delivered int // events delivered to the caller
}

// WaitAnswer keeps a stalled attempt in flight.
type WaitAnswer struct {
	Wait time.Duration // until the attempt is reported as stalled again; 0 for never
}

// ForwardDoneMsg reports the end of a request. It has no answer.
type ForwardDoneMsg struct {
	Request         RequestID
	Outcome         Outcome
	Reason          Reason
	Status          int
	Events          int
	TimeToFirstByte time.Duration // 0 if there was no answer
	MaxEventGap     time.Duration // longest gap between two events
	Duration        time.Duration // since the request was received
	Promised        time.Duration // expected time to the first event, when the first attempt was sent; 0 if none was expected
	WaitedForFirst  time.Duration // the measured one, or the time until the end without an event
	End             RequestEnd
}

// Verdict classifies an upstream's answer to a request.
type Verdict int

// The verdicts.
const (
	// VerdictInvalid is an answer that is malformed or cannot be verified to
	// belong to this request.
	VerdictInvalid Verdict = iota
	// VerdictSuccess is an answer to forward to the caller.
	VerdictSuccess
	// VerdictFailed is an error of the upstream, which may have run the request.
	VerdictFailed
	// VerdictNotRun is a rejection by an upstream that did not run the request.
	VerdictNotRun
)

// RequestSender sends the bytes of one request to upstreams. The front end that
// received the request implements it.
type RequestSender interface {
	// Send sends the request to the attempt's upstream. If after is not
	// negative, the response stream resumes after the event of that number.
	// Errors are of type [*UpstreamError].
	Send(ctx context.Context, attempt Attempt, after int64) (response UpstreamResponse, err error)
}

// UpstreamResponse is an upstream's answer, which may still be arriving.
type UpstreamResponse interface {
	// Verdict classifies the answer by its status and headers.
	Verdict() (verdict Verdict)
	// Continues reports whether the answer can continue the response stream that
	// begun is the beginning of.
	Continues(begun UpstreamResponse) (continues bool)
	// BlamedUpstream returns the address of the hop that an error answer names
	// as the cause, or the zero value.
	BlamedUpstream() (addr netip.AddrPort)
	// RequestLimit returns the limit that the answer names.
	RequestLimit() (limit RequestLimit)
	// RetryAfter returns the time that an answer names which turns the request
	// away.
	RetryAfter() (retryAfter RetryAfter)
	// AnnouncesDrain reports whether the answer verifiably comes from the
	// attempt's upstream and announces that the upstream drains.
	AnnouncesDrain() (drains bool)
	// PeerRefusal returns the refusal of the peer that the request was forwarded
	// to, or nil if the answer is an upstream's.
	PeerRefusal() (refusal *Refusal)
	// Next returns the next complete event and its number. It returns [io.EOF]
	// after the last event of a complete response stream, and another error if
	// the stream breaks off. The bytes are valid until the next call.
	Next() (event []byte, number int64, err error)
	// Body returns the complete body of an answer that is not a stream.
	Body() (body []byte, err error)
	// Close releases the answer. If it is incomplete, the upstream cancels the
	// work in flight.
	Close()
}

// Sink writes the answer to a caller.
type Sink interface {
	// WriteHeader writes status and headers of a response stream.
	WriteHeader(response UpstreamResponse)
	// WriteEvent writes one event and flushes it.
	WriteEvent(event []byte) (err error)
	// WriteReply writes a complete answer that is not a stream. It returns the
	// HTTP status written.
	WriteReply(response UpstreamResponse, body []byte) (status int)
	// Refuse writes a refusal. It is called only if nothing has been written
	// for the request yet. It returns the HTTP status written.
	Refuse(refusal *Refusal) (status int)
	// Abort breaks off the answer so that the caller cannot mistake it for a
	// complete one.
	Abort()
}

// BodyLimitEffect sets the maximum size of callers' request bodies.
type BodyLimitEffect struct {
	MaxBytes int64
}
