package caller

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

// Reasons for refusals by this package; all others come from the node, the relay
// or the runner.
const (
	reasonInvalid  lentilmux.Reason = "invalid_request"
	reasonNotFound lentilmux.Reason = "not_found"
)

// statusCodes maps reasons to HTTP status codes. A reason without an entry gives
// 503.
var statusCodes = map[lentilmux.Reason]int{
	reasonInvalid:                    http.StatusBadRequest,
	lentilmux.ReasonBodyTooLarge:     http.StatusRequestEntityTooLarge,
	reasonNotFound:                   http.StatusNotFound,
	lentilmux.ReasonInternal:         http.StatusInternalServerError,
	lentilmux.ReasonUnknownWorkspace: http.StatusNotFound,
	lentilmux.ReasonUnknownModel:     http.StatusNotFound,
	lentilmux.ReasonUnknownService:   http.StatusNotFound,
	lentilmux.ReasonNotAllowed:       http.StatusForbidden,
	lentilmux.ReasonQueueFull:        http.StatusTooManyRequests,
	lentilmux.ReasonOverloaded:       http.StatusTooManyRequests,
	lentilmux.ReasonDeadline:         http.StatusGatewayTimeout,
	lentilmux.ReasonStopped:          http.StatusConflict,
	lentilmux.ReasonKeyRequired:      http.StatusPreconditionRequired,
	lentilmux.ReasonKeyInvalid:       http.StatusBadRequest,
	lentilmux.ReasonKeyExpired:       http.StatusBadRequest,
	lentilmux.ReasonKeyReused:        http.StatusUnprocessableEntity,
	lentilmux.ReasonKeyRunning:       http.StatusConflict,
	lentilmux.ReasonOutcomeUnknown:   http.StatusConflict,
	lentilmux.ReasonAnswerTooLarge:   http.StatusConflict,
	lentilmux.ReasonUpstreamFailed:   http.StatusBadGateway,
	lentilmux.ReasonQuarantined:      http.StatusUnprocessableEntity,
}

// badRequest returns the refusal of an invalid request, which has not run.
func badRequest(reason lentilmux.Reason, format string, args ...any) *lentilmux.Refusal {
	return &lentilmux.Refusal{Outcome: lentilmux.OutcomeNotRun, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// errorReply is the body of an error response.
type errorReply struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type         lentilmux.Reason `json:"type"`
	Message      string           `json:"message"`
	Outcome      string           `json:"outcome"`
	RetryAfterMs int64            `json:"retry_after_ms,omitempty"`
}

// toRefusal returns the [*lentilmux.Refusal] that err wraps. Any other error
// becomes a refusal with the reason internal_error and the outcome unknown.
func toRefusal(err error) *lentilmux.Refusal {
	var refusal *lentilmux.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &lentilmux.Refusal{Reason: lentilmux.ReasonInternal, Detail: err.Error()}
}

// newErrorReply returns the body of the error response for a refusal.
func newErrorReply(refusal *lentilmux.Refusal) errorReply {
	return errorReply{Error: errorDetail{
		Type: refusal.Reason, Message: refusal.Detail, Outcome: refusal.Outcome.String(),
		RetryAfterMs: refusal.RetryAfter.Milliseconds(),
	}}
}

// writeError writes the error response for err, which says whether the request
// ran.
func writeError(w http.ResponseWriter, err error) {
	refusal := toRefusal(err)
	if refusal.RetryAfter > 0 {
		seconds := math.Ceil(float64(refusal.RetryAfter) / float64(time.Second))
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	code, ok := statusCodes[refusal.Reason]
	if !ok {
		code = http.StatusServiceUnavailable
	}
	if code == http.StatusServiceUnavailable && refusal.Reason == lentilmux.ReasonDraining && refusal.Outcome == lentilmux.OutcomeUnknown {
		code = http.StatusBadGateway // 503 is understood as not run
	}
	writeJSON(w, code, newErrorReply(refusal))
}

// writeJSON writes value as the response. A write error is ignored, since it means
// that the caller has disconnected.
func writeJSON(w http.ResponseWriter, code int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(append(data, '\n'))
}
