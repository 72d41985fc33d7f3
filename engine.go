package lentilmux

import (
	"context"
	"net/netip"
	"time"

	"github.com/juju/errors"
)

// LayerRange is a contiguous range of a model's layers. First and Last are both
// included and count from 0.
type LayerRange struct {
	First int `json:"first"`
	Last  int `json:"last"`
}

// Len returns the number of layers in the range.
func (l LayerRange) Len() int { return l.Last - l.First + 1 }

// Engine makes calls to model engines, each of which holds a range of layers.
// Its methods are called from traffic goroutines, concurrently.
type Engine interface {
	// OpenStage opens the stream of one attempt to one pipeline stage.
	OpenStage(ctx context.Context, upstream netip.AddrPort, open StageOpen) (stage Stage, err error)
	// Load returns the engine's load report. Its figures may be out of date.
	Load(ctx context.Context, upstream netip.AddrPort) (report LoadReport, err error)
	// SendOrder orders the engine to hold a range of layers.
	SendOrder(ctx context.Context, upstream netip.AddrPort, order Order) (err error)
	// Probe checks that the engine answers on a newly opened connection.
	Probe(ctx context.Context, upstream netip.AddrPort) (err error)
}

// Stage is the open stream of one attempt to one pipeline stage.
type Stage interface {
	// Step runs the stage's layers for one position. Each position is one
	// higher than the previous. Errors are of type [*UpstreamError].
	Step(ctx context.Context, input StepInput) (output StepOutput, err error)
	// Close cancels a step in flight and releases the stream.
	Close() (err error)
}

// StageOpen holds the parameters of a new stage stream. A later epoch of the
// same request replaces the earlier ones.
type StageOpen struct {
	Request     RequestID
	Epoch       Epoch
	Model       string
	Layers      LayerRange
	TotalLayers int // layers of the whole model
	Prompt      string
	Generated   []string // tokens already delivered to the caller
	MaxTokens   int      // maximum number of completion tokens
	Priority    int      // 0 is the most urgent
}

// StepInput is the input of one stage at one position.
type StepInput struct {
	Position   int
	Token      string // the previous token; only for the first stage
	Activation []byte // the output of the preceding stage; for all but the first
}

// StepOutput is the output of one stage at one position. The last stage returns
// a token in place of an activation. End marks the last token of the completion.
type StepOutput struct {
	Position   int
	Activation []byte
	Token      string
	End        bool
}

// FailureKind classifies the failure of an upstream as seen by traffic.
type FailureKind int

// The kinds of failure.
const (
	// FailureRefused means that the upstream rejected the work without running
	// any of it.
	FailureRefused FailureKind = iota
	// FailureDial means that no connection could be opened.
	FailureDial
	// FailureCrash means that an open connection broke with work in flight.
	FailureCrash
	// FailureTimeout means that the upstream made no progress for too long.
	FailureTimeout
	// FailureProtocol means that the upstream's output was not valid.
	FailureProtocol
	// FailureAborted means that the node canceled the attempt because it found
	// an upstream of the attempt dead.
	FailureAborted
	// FailureTooLarge means that the upstream's output exceeded a size limit.
	FailureTooLarge
	// FailureNoMemory means that the upstream's output was not read to its end, since
	// this VM held too many bytes for requests in flight. It is no sign of a fault of
	// the upstream.
	FailureNoMemory
	// FailureMalformed means that the upstream answered with a head that is not valid
	// HTTP, so that nothing in the answer counts and its connection was closed.
	FailureMalformed
)

// String returns the kind in snake case, as log lines show it.
func (f FailureKind) String() string {
	return [...]string{"refused", "dial", "crash", "timeout", "protocol", "aborted", "too_large", "no_memory", "malformed"}[f]
}

// IsInvalidOutput reports whether the upstream was reached and its output was invalid or
// too large. It is no sign of a fault of the link.
func (f FailureKind) IsInvalidOutput() bool {
	return f == FailureProtocol || f == FailureTooLarge || f == FailureMalformed
}

// UpstreamError is the error of a failed call to an upstream.
type UpstreamError struct {
	Kind   FailureKind
	Detail string // what is wrong with the answer: with its head, or how it was cut; empty if that is not known
	Err    error
}

// ErrNotListening is wrapped by the error of a call whose connection the upstream's
// address refused: no process listens there.
const ErrNotListening = errors.ConstError("nothing listens at the address")

// Error returns the kind and the cause.
func (u *UpstreamError) Error() string { return u.Kind.String() + ": " + u.Err.Error() }

// Unwrap returns the cause.
func (u *UpstreamError) Unwrap() error { return u.Err }

// LoadReport is the state that an engine reports.
type LoadReport struct {
	Running        int
	Queued         int
	Layers         LayerRange
	HasLayers      bool // whether the engine holds layers; Layers is valid only then
	Model          string
	Leaving        bool          // whether the engine is about to stop
	Fence          Revision      // the highest fencing token that the engine has seen
	CachedPrefixes []Fingerprint // prompt prefixes in the engine's KV cache
	At             time.Time     // when the engine made the report
}

// Order is the desired state of an engine. Fence is the fencing token: the
// revision of the configuration that the order follows from. An engine that
// checks fencing tokens refuses an order with a lower one than it has seen.
type Order struct {
	Model  string
	Layers LayerRange
	Fence  Revision
}
