package lentilmux

import (
	"fmt"
	"time"

	"github.com/juju/errors"
)

// Outcome says what is known about the work of a request.
type Outcome int

// The outcomes. A request is reported as OutcomeNotRun only if no upstream can
// have acted on any part of it.
const (
	OutcomeUnknown Outcome = iota
	OutcomeNotRun
	OutcomeAnswered
)

// String returns the outcome in the snake case of the wire formats.
func (o Outcome) String() string {
	switch o {
	case OutcomeNotRun:
		return "not_run"
	case OutcomeAnswered:
		return "answered"
	default:
		return "unknown"
	}
}

// Reason is a stable code for why a request was refused or failed.
type Reason string

// The reasons a caller can be given.
const (
	ReasonUnknownWorkspace Reason = "unknown_workspace"
	ReasonUnknownModel     Reason = "unknown_model"
	ReasonUnknownService   Reason = "unknown_service"
	ReasonUnknownRoute     Reason = "unknown_route"
	ReasonUnknownKey       Reason = "unknown_key"
	ReasonNotAllowed       Reason = "not_allowed"
	ReasonOverloaded       Reason = "overloaded"
	ReasonQueueFull        Reason = "queue_full"
	ReasonNoUpstream       Reason = "no_upstream"
	ReasonDeadline         Reason = "deadline_exceeded"
	ReasonStopped          Reason = "stopped"
	ReasonCanceled         Reason = "canceled"
	ReasonNotReady         Reason = "not_ready"
	ReasonDraining         Reason = "draining"
	ReasonKeyRequired      Reason = "idempotency_key_required"
	ReasonKeyInvalid       Reason = "idempotency_key_invalid"
	ReasonKeyExpired       Reason = "idempotency_key_expired"
	ReasonKeyReused        Reason = "idempotency_key_reused"
	ReasonKeyRunning       Reason = "idempotency_key_running"
	ReasonLogUnavailable   Reason = "log_unavailable"
	ReasonOutcomeUnknown   Reason = "outcome_unknown"
	ReasonAnswerTooLarge   Reason = "answer_not_kept"
	ReasonUpstreamFailed   Reason = "upstream_failed"
	ReasonQuarantined      Reason = "quarantined"
	ReasonRetryBudget      Reason = "retry_budget"
)

// ErrRefused is the sentinel behind every [Refusal].
const ErrRefused = errors.ConstError("request refused")

// Refusal is the typed error of a request that got no answer. It says whether
// the work ran.
type Refusal struct {
	Outcome    Outcome
	Reason     Reason
	Detail     string
	RetryAfter time.Duration
}

// Error returns the reason, the outcome and the detail.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Outcome, r.Detail)
}

// Unwrap makes errors.Is(err, ErrRefused) hold.
func (r *Refusal) Unwrap() error { return ErrRefused }
