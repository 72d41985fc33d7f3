package lentilmux

import (
	"context"
	"net/netip"
	"time"
)

// UpstreamReport is the state that an upstream reports.
type UpstreamReport struct {
	Layers              LayerRange
	HasLayers           bool
	OrderRunning        bool      // whether it is executing an order
	AcceptedOrders      int       // number of orders accepted since its start
	Streams             int       // requests in flight
	PendingPromptTokens int       // prompt tokens that wait for prefill
	Slowdown            float64   // factor on its usual step time; above 1 if it is slow
	Capacity            int64     // KV cache, in tokens times layers
	Reserved            int64     // KV cache in use, in tokens times layers
	StartedAt           time.Time // start of its process
	Draining            bool      // whether it announces its drain
}

// RangeOrder orders an upstream to hold a layer range.
type RangeOrder struct {
	Layers         LayerRange
	ExpectedOrders int // number of orders that it must have accepted before; otherwise it refuses
}

// PathEngine makes control calls to upstreams that send activations to the next
// hop of the path themselves.
type PathEngine interface {
	// Report returns the state of an upstream.
	Report(ctx context.Context, upstream string, addr netip.AddrPort) (report UpstreamReport, err error)
	// SendOrder sends an order. It returns false if the upstream refuses it
	// because it does not fit the upstream's state.
	SendOrder(ctx context.Context, upstream string, addr netip.AddrPort, order RangeOrder) (accepted bool, err error)
	// MoveRequest moves a request in flight to another path with the same first
	// hop. The error says why there is no answer.
	MoveRequest(ctx context.Context, request RequestID, path []Hop) (answer MoveAnswer, err error)
	// Connect opens a new connection to an upstream and closes it again.
	Connect(ctx context.Context, addr netip.AddrPort) (err error)
}

// FetchReportEffect fetches the state of an upstream.
type FetchReportEffect struct {
	Upstream string
	Addr     netip.AddrPort
}

// UpstreamReportMsg carries the state of an upstream, or the error of the call.
type UpstreamReportMsg struct {
	Upstream string
	Report   UpstreamReport
	Err      error
	Took     time.Duration // from the sending of the probe until its report was read, or it had failed
}

// RangeOrderEffect sends an order to an upstream.
type RangeOrderEffect struct {
	Upstream string
	Addr     netip.AddrPort
	Order    RangeOrder
}

// RangeOrderResultMsg reports the result of an order.
type RangeOrderResultMsg struct {
	Upstream string
	Order    RangeOrder
	Accepted bool
	Err      error
}

// MoveEffect moves a request in flight to another path.
type MoveEffect struct {
	Request RequestID
	Epoch   Epoch
	Path    []Hop
}

// MoveOutcome classifies an upstream's answer to a move.
type MoveOutcome int

// The outcomes of a move.
const (
	// MoveUnknown means that there was no valid answer, so the move may have been
	// carried out.
	MoveUnknown MoveOutcome = iota
	// MoveAccepted means that the request continues on the new path.
	MoveAccepted
	// MoveNotInFlight means that the first hop of the path does not run the
	// request, or no longer.
	MoveNotInFlight
	// MoveHopUnavailable means that a new hop of the path does not hold its layers
	// or has no room. The request remains on its path.
	MoveHopUnavailable
	// MoveRejected means that the upstream refused the move for another reason.
	// The request remains on its path.
	MoveRejected
)

// String returns the outcome in snake case, as log lines show it.
func (m MoveOutcome) String() string {
	return [...]string{"unknown", "accepted", "not_in_flight", "hop_unavailable", "rejected"}[m]
}

// MoveAnswer is an upstream's answer to a move.
type MoveAnswer struct {
	Outcome        MoveOutcome
	Status         int            // of the upstream's answer, for the log; 0 without one
	UnavailableHop netip.AddrPort // hop that cannot take its part, if the upstream names it
}

// MoveResultMsg reports the result of a move.
type MoveResultMsg struct {
	Request RequestID
	Epoch   Epoch
	Answer  MoveAnswer
	Err     error
}
