package lentilmux

import (
	"fmt"
	"time"

	"github.com/juju/errors"
)

// Outcome classifies whether the work of a request was done, as far as known.
type Outcome int

// The outcomes.
const (
	// OutcomeUnknown means that an upstream may have run the request.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun means that no upstream can have acted on any part of the
	// request.
	OutcomeNotRun
	// OutcomeAnswered means that an upstream ran the request and answered it.
	OutcomeAnswered
)

// String returns the outcome in snake case, as wire formats have it.
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

// The reasons that are given to callers.
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
	ReasonNoMemory         Reason = "no_memory"
	ReasonInternal         Reason = "internal_error"
	ReasonBodyTooLarge     Reason = "body_too_large"
	ReasonBodyUnreadable   Reason = "body_unreadable"
	ReasonTargetInvalid    Reason = "target_invalid"
)

// ErrRefused is the sentinel error that every [Refusal] wraps.
const ErrRefused = errors.ConstError("request refused")

// Refusal is the error of a request that got no answer. Its outcome states
// whether the work may have run. RetryAfter is zero if no time is advised.
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

// Unwrap returns [ErrRefused].
func (r *Refusal) Unwrap() error { return ErrRefused }
