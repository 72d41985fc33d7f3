package lentilmux

import (
	"context"
	"net/netip"
	"time"
)

// LayerRange is a contiguous range of a model's layers, from First to Last,
// both included and counted from 0.
type LayerRange struct {
	First int `json:"first"`
	Last  int `json:"last"`
}

// Len returns the number of layers in the range.
func (l LayerRange) Len() int { return l.Last - l.First + 1 }

// Engine is a model engine that holds a range of layers. Calls are made from
// traffic goroutines.
type Engine interface {
	// OpenStage starts the stream of one attempt over one stage.
	OpenStage(ctx context.Context, upstream netip.AddrPort, open StageOpen) (stage Stage, err error)
	// Load returns what the engine reports of itself; the figures lag.
	Load(ctx context.Context, upstream netip.AddrPort) (report LoadReport, err error)
	// Order asks the engine to hold a range of layers.
	SendOrder(ctx context.Context, upstream netip.AddrPort, order Order) (err error)
	// Probe opens a new connection and checks that the engine answers on it.
	Probe(ctx context.Context, upstream netip.AddrPort) (err error)
}

// Stage is the open stream of one attempt over one stage.
type Stage interface {
	// Step runs the stage's layers for one position. Positions rise by one.
	// A failure is a [*StepError].
	Step(ctx context.Context, input StepInput) (output StepOutput, err error)
	// Close cancels what still runs and frees the stream.
	Close() (err error)
}

// StageOpen starts a stage. A later epoch of the same request replaces the
// earlier ones.
type StageOpen struct {
	Request     RequestID
	Epoch       Epoch
	Model       string
	Layers      LayerRange
	TotalLayers int // layers of the whole model
	Prompt      string
	Generated   []string // tokens already given to the caller
	MaxTokens   int
	Priority    int
}

// StepInput is the input of one stage at one position.
type StepInput struct {
	Position   int
	Token      string // the previous token, for the first stage
	Activation []byte // the output of the stage before, for all later ones
}

// StepOutput is the output of one stage at one position. The last stage gives
// a token in place of an activation; End marks the answer's last token.
type StepOutput struct {
	Position   int
	Activation []byte
	Token      string
	End        bool
}

// FailureKind says how an upstream failed, as far as traffic could see it.
type FailureKind int

// The kinds of failure.
const (
	// FailureRefused means that the upstream turned the work away unread.
	FailureRefused FailureKind = iota
	// FailureDial means that no connection could be opened.
	FailureDial
	// FailureCrash means that an open connection broke while work ran.
	FailureCrash
	// FailureTimeout means that the upstream was silent for too long.
	FailureTimeout
	// FailureProtocol means that the output broke the stage's rules.
	FailureProtocol
	// FailureAborted means that the node ended the attempt because it found
	// an upstream dead.
	FailureAborted
)

// String returns the kind in the snake case of the logs.
func (f FailureKind) String() string {
	return [...]string{"refused", "dial", "crash", "timeout", "protocol", "aborted"}[f]
}

// UpstreamError is the failure of a call to an upstream.
type UpstreamError struct {
	Kind FailureKind
	Err  error
}

// Error returns the kind and the cause.
func (u *UpstreamError) Error() string { return u.Kind.String() + ": " + u.Err.Error() }

// Unwrap returns the cause.
func (u *UpstreamError) Unwrap() error { return u.Err }

// LoadReport is what an upstream says of itself.
type LoadReport struct {
	Running        int
	Queued         int
	Layers         LayerRange
	HasLayers      bool // whether Layers is loaded
	Model          string
	Leaving        bool
	Fence          Revision // the newest fencing number the engine has seen
	CachedPrefixes []Fingerprint
	At             time.Time
}

// Order is the desired state of an engine. Fence is the revision that decided
// it; an engine that checks refuses an order with a smaller one.
type Order struct {
	Model  string
	Layers LayerRange
	Fence  Revision
}
