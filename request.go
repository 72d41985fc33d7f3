package lentilmux

import (
	"net/netip"
	"time"

	"github.com/juju/errors"
)

// RequestID names one request of a caller at one entry VM.
type RequestID string

// Epoch counts the attempts of a request, from 1. Output of an earlier epoch
// is never joined to a later one.
type Epoch uint32

// Request describes a caller's request, without its bytes.
type Request struct {
	ID             RequestID
	Workspace      string
	Model          string    // the model asked for, or empty
	Service        string    // the plain service asked for, or empty
	Method         string    // of a call to a plain service
	CredentialHash string    // hash of the credential that the caller showed
	Key            string    // the caller's idempotency key, or empty
	KeyCreatedAt   time.Time // when the key was made
	FirstWithKey   bool      // whether the caller says that no earlier request with the key may have run
	Fingerprint    Fingerprint
	Prefix         Fingerprint // of the prompt's beginning, for cache affinity
	MaxTokens      int         // the most tokens the answer may have
	Deadline       time.Time
}

// UnsentOutcome returns what is known of the work when this entry VM sent the
// request to no upstream and does not hold its key. If the key was sent before,
// the earlier request may have run at another entry VM.
func (r *Request) UnsentOutcome() Outcome {
	if r.Key == "" || r.FirstWithKey {
		return OutcomeNotRun
	}
	return OutcomeUnknown
}

// RequestMsg asks for a route. The answer is a [RouteAnswer], a
// [StoredReplyAnswer] or a [RefusalAnswer].
type RequestMsg struct {
	Request Request
}

// AttemptFailedMsg reports that an attempt failed and asks for another route.
// The answer is a [RouteAnswer] or a [RefusalAnswer].
type AttemptFailedMsg struct {
	Request  RequestID
	Epoch    Epoch
	Stage    int // index of the stage that failed
	Kind     FailureKind
	Position int // tokens given to the caller so far
}

// RequestDoneMsg reports the end of a request. Reply is kept for resends if
// the request had a key.
type RequestDoneMsg struct {
	Request RequestID
	Outcome Outcome
	Reason  Reason
	Reply   ServiceReply
	Tokens  int
}

// ProgressMsg reports that an answer got further tokens, every few of them.
type ProgressMsg struct {
	Request  RequestID
	Tokens   int           // since the last report
	Duration time.Duration // for these tokens
}

// Route is the decision where an attempt runs.
type Route struct {
	Request     RequestID
	Epoch       Epoch
	Model       string
	TotalLayers int // layers of the model
	Priority    int
	Stages      []StageRoute
	StepTimeout time.Duration
}

// StageRoute is one stage of a route. A plain service has one with no layers.
type StageRoute struct {
	Upstream string
	Addr     netip.AddrPort
	Layers   LayerRange
}

// RouteAnswer gives a request its route.
type RouteAnswer struct {
	Route Route
}

// StoredReplyAnswer gives a resent request the reply of the first one.
type StoredReplyAnswer struct {
	Reply ServiceReply
}

// RefusalAnswer tells why there is no route.
type RefusalAnswer struct {
	Refusal Refusal
}

// RouteFromAnswer returns what the answer to a [RequestMsg] or an [AttemptFailedMsg]
// gives: a route, a remembered reply, or an error, which is a [*Refusal] if the
// node refused.
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

// CancelEffect stops a request that is being served.
type CancelEffect struct {
	Request RequestID
	Reason  Reason
}

// AbortEffect ends one attempt, whose upstream was found dead, so that another
// can take over.
type AbortEffect struct {
	Request RequestID
	Epoch   Epoch
}

// ProbeEffect checks an upstream over a new connection.
type ProbeEffect struct {
	Upstream string
	Kind     UpstreamKind
	Addr     netip.AddrPort
}

// ProbeResultMsg reports a probe.
type ProbeResultMsg struct {
	Upstream string
	Alive    bool
}

// FetchLoadEffect asks an engine for its load.
type FetchLoadEffect struct {
	Upstream string
	Addr     netip.AddrPort
}

// LoadReportMsg brings an upstream's load report.
type LoadReportMsg struct {
	Upstream string
	Report   LoadReport
	RTT      time.Duration // of the call that brought it
	Err      error
}

// OrderEffect sends an order to an engine.
type OrderEffect struct {
	Upstream string
	Addr     netip.AddrPort
	Order    Order
}

// OrderResultMsg reports how an order ended.
type OrderResultMsg struct {
	Upstream string
	Order    Order
	Err      error
}

// VMListMsg brings the platform's list.
type VMListMsg struct {
	VMs []ListedVM
}
