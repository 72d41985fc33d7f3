package lentilmux

import (
	"net/netip"
	"time"

	"github.com/juju/errors"
)

// RequestID identifies one request of a caller at one entry VM.
type RequestID string

// Epoch numbers the attempts of a request, from 1. Output of an earlier epoch is
// never mixed with that of a later one.
type Epoch uint32

// Request describes a caller's request without its body.
type Request struct {
	ID             RequestID
	Workspace      string
	Model          string       // requested model, or empty
	Service        string       // requested plain service, or empty
	Method         string       // of a call to a plain service
	CredentialHash string       // hash of the caller's credential
	Key            string       // the caller's idempotency key, or empty
	KeyCreatedAt   time.Time    // when the caller generated the key
	FirstWithKey   bool         // whether the caller states that it sent no earlier request with the key
	Fingerprint    Fingerprint  // of the contents, to detect reused keys and crash suspects
	Prefix         Fingerprint  // of the prompt's prefix, for cache affinity
	SharedParts    []PromptPart // parts of the prompt that other requests may share, in order; at most [MaxSharedParts]
	MaxTokens      int          // maximum number of completion tokens
	Deadline       time.Time
}

// UnsentOutcome returns the outcome of a request that this entry VM has sent to
// no upstream and whose key it does not hold. The outcome is unknown if the
// caller may have sent the key before, since the earlier request may have run
// through another entry VM.
func (r *Request) UnsentOutcome() Outcome {
	if r.Key == "" || r.FirstWithKey {
		return OutcomeNotRun
	}
	return OutcomeUnknown
}

// RequestMsg asks for the route of a new request. The answer is a
// [RouteAnswer], a [StoredReplyAnswer] or a [RefusalAnswer].
type RequestMsg struct {
	Request Request
}

// AttemptFailedMsg reports a failed attempt and asks for the route of a retry.
// The answer is a [RouteAnswer] or a [RefusalAnswer].
type AttemptFailedMsg struct {
	Request         RequestID
	Epoch           Epoch
	Stage           int // index of the stage that failed
	Kind            FailureKind
	DeliveredTokens int // tokens delivered to the caller so far
}

// RequestDoneMsg reports the end of a request. If the request had an
// idempotency key, Reply is stored for requests that repeat the key.
type RequestDoneMsg struct {
	Request RequestID
	Outcome Outcome
	Reason  Reason
	Reply   ServiceReply
	Tokens  int
}

// ProgressMsg reports further tokens of a response stream. It is sent once for
// every few tokens.
type ProgressMsg struct {
	Request  RequestID
	Tokens   int           // since the last report
	Duration time.Duration // time that these tokens took
}

// Route is the decision where an attempt runs: the upstream of each stage.
type Route struct {
	Request     RequestID
	Epoch       Epoch
	Model       string
	TotalLayers int // layers of the model
	Priority    int // 0 is the most urgent
	Stages      []StageRoute
	StepTimeout time.Duration // after which a stage without output has failed
}

// StageRoute is one stage of a route. The route to a plain service has a single
// stage with an empty layer range.
type StageRoute struct {
	Upstream string
	Addr     netip.AddrPort
	Layers   LayerRange
}

// RouteAnswer carries the route of a request.
type RouteAnswer struct {
	Route Route
}

// StoredReplyAnswer carries the stored reply to an earlier request with the same
// idempotency key.
type StoredReplyAnswer struct {
	Reply ServiceReply
}

// RefusalAnswer refuses a request that gets no route.
type RefusalAnswer struct {
	Refusal Refusal
}

// RouteFromAnswer returns the contents of the answer to a [RequestMsg] or an
// [AttemptFailedMsg]: a route, a stored reply, or an error, which is a
// [*Refusal] if the node refused the request.
func RouteFromAnswer(answer Answer) (route Route, stored *ServiceReply, err error) {
	switch a := answer.(type) {
	case RouteAnswer:
		return a.Route, nil, nil
	case StoredReplyAnswer:
		return Route{}, &a.Reply, nil
	case RefusalAnswer:
		return Route{}, nil, &a.Refusal
	default:
		return Route{}, nil, errors.Errorf("unexpected answer %T", answer)
	}
}

// CancelEffect cancels a request in flight.
type CancelEffect struct {
	Request RequestID
	Reason  Reason
}

// AbortEffect cancels one attempt because its upstream was found dead or was
// silent for too long, so that the request can be retried.
type AbortEffect struct {
	Request RequestID
	Epoch   Epoch
}

// ProbeEffect probes an upstream over a new connection.
type ProbeEffect struct {
	Upstream string
	Kind     UpstreamKind
	Addr     netip.AddrPort
}

// ProbeOutcome is what a probe shows about an upstream.
type ProbeOutcome int

// The outcomes of a probe.
const (
	// ProbeAlive means that the upstream answered.
	ProbeAlive ProbeOutcome = iota
	// ProbeDead means that the connection was refused or broke, or that the
	// upstream answered with an error.
	ProbeDead
	// ProbeSilent means that no answer came in time. The upstream may be dead,
	// or sound and silent for a moment.
	ProbeSilent
)

// ProbeResultMsg reports the result of a probe.
type ProbeResultMsg struct {
	Upstream string
	Outcome  ProbeOutcome
}

// FetchLoadEffect fetches the load report of an engine.
type FetchLoadEffect struct {
	Upstream string
	Addr     netip.AddrPort
}

// LoadReportMsg carries an upstream's load report, or the error of the call.
type LoadReportMsg struct {
	Upstream string
	Report   LoadReport
	RTT      time.Duration // round-trip time of the call
	Err      error
}

// OrderEffect sends an order to an engine.
type OrderEffect struct {
	Upstream string
	Addr     netip.AddrPort
	Order    Order
}

// OrderResultMsg reports the result of an order.
type OrderResultMsg struct {
	Upstream string
	Order    Order
	Err      error
}

// VMListMsg carries the platform's list of VMs.
type VMListMsg struct {
	VMs []ListedVM
}
