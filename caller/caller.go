// Package caller serves callers over HTTP: model requests in an interface that is
// compatible with OpenAI's, and calls to plain services, which are forwarded.
//
//	POST /v1/chat/completions      chat completion, streamed or as one object
//	GET  /v1/models                list of the models that are served
//	*    /services/{name}/{path}   call to the plain service of this name
//	GET  /healthz                  whether the process runs
//	GET  /readyz                   whether it accepts requests
//
// The handlers only translate between HTTP and messages; the node makes every
// decision. Each error response says whether the request ran.
//
// # Usage
//
//	handler := caller.NewHandler(caller.Config{Name: "entry-1", Node: node, Relay: relay, Runner: runner})
//	server := &http.Server{Handler: handler}
package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/engine"
	"lentilmux.example/lentilmux/service"
)

// Headers of requests and responses.
const (
	// WorkspaceHeader carries the name of the caller's workspace.
	WorkspaceHeader = "Lentilmux-Workspace"
	// TimeoutHeader carries the time limit for the complete response, in
	// milliseconds.
	TimeoutHeader = "Lentilmux-Timeout-Ms"
	// AttemptHeader carries the number of earlier requests with the same
	// idempotency key that may have run, plus one. If it is 1, the router can
	// say that the request did not run even while the log is unavailable.
	AttemptHeader = "Lentilmux-Attempt"
	// RequestIDHeader carries the request's ID in the response.
	RequestIDHeader = "Lentilmux-Request"
)

const (
	// maxBodyBytes is the largest accepted request body, in bytes.
	maxBodyBytes = 1 << 20
	// bodyReadTimeout bounds the arrival of the request body.
	bodyReadTimeout = 10 * time.Second
	// defaultTimeout is the time limit for a response if the caller sets none.
	defaultTimeout = 60 * time.Second
	// maxTimeout is the longest time limit that a caller can set.
	maxTimeout = 10 * time.Minute
	// maxCompletionTokens is the largest max_tokens that a caller can set.
	maxCompletionTokens = 8192
	// defaultCompletionTokens is the maximum number of completion tokens if the
	// caller sets none.
	defaultCompletionTokens = 256
)

// Observation holds the measurements of one finished request, for metrics.
type Observation struct {
	IsServiceCall    bool // a call to a plain service, not a model request
	Outcome          lentilmux.Outcome
	Reason           lentilmux.Reason
	Duration         time.Duration
	TimeToFirstToken time.Duration // from the request's arrival; zero without a token
	Tokens           int           // completion tokens
}

// Config configures a [Handler].
type Config struct {
	Name    string // name of the entry VM, a part of request IDs
	Node    lentilmux.NodeClient
	Relay   *engine.Relay     // runs model requests
	Runner  *service.Runner   // runs calls to plain services
	Observe func(Observation) // called after each model request or service call; may be nil
}

// Handler serves callers over HTTP.
type Handler struct {
	config       Config
	mux          *http.ServeMux
	requestCount atomic.Uint64 // numbers the requests in their IDs
	startID      string        // random for each start, so that request IDs differ after a restart
}

// NewHandler returns a handler with the given configuration.
func NewHandler(config Config) *Handler {
	if config.Observe == nil {
		config.Observe = func(Observation) {}
	}
	h := &Handler{config: config, mux: http.NewServeMux(), startID: uuid.NewString()[:8]}
	h.mux.HandleFunc("POST /v1/chat/completions", h.handleChat)
	h.mux.HandleFunc("GET /v1/models", h.handleModels)
	h.mux.HandleFunc("/services/{name}/{path...}", h.handleService)
	h.mux.HandleFunc("GET /healthz", h.handleHealthz)
	h.mux.HandleFunc("GET /readyz", h.handleReadyz)
	h.mux.HandleFunc("/", h.handleNotFound)
	return h
}

// ServeHTTP implements [http.Handler].
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

// handleNotFound rejects a request for a path or method that is not served.
func (h *Handler) handleNotFound(w http.ResponseWriter, r *http.Request) {
	writeError(w, badRequest(reasonNotFound, "%s %s is not served; try POST /v1/chat/completions", r.Method, r.URL.Path))
}

// handleHealthz serves GET /healthz. The status is 200 as long as the process
// responds.
func (h *Handler) handleHealthz(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, healthReply{Status: "ok"})
}

type healthReply struct {
	Status   string `json:"status"`
	Reason   string `json:"reason,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
}

// handleReadyz serves GET /readyz. The status is 200 if the node accepts requests,
// else 503.
func (h *Handler) handleReadyz(w http.ResponseWriter, r *http.Request) {
	status, err := h.nodeStatus(r.Context())
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, healthReply{Status: "not_ready", Reason: err.Error()})
		return
	}
	reply := healthReply{Status: "ready", Reason: status.Reason, Revision: uint64(status.Revision)}
	code := http.StatusOK
	if !status.Ready {
		reply.Status, code = "not_ready", http.StatusServiceUnavailable
	}
	writeJSON(w, code, reply)
}

// statusTimeout bounds a query of the node's status.
const statusTimeout = time.Second

func (h *Handler) nodeStatus(ctx context.Context) (status lentilmux.StatusAnswer, err error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	answer, err := h.config.Node.Ask(ctx, lentilmux.StatusMsg{})
	if err != nil {
		return lentilmux.StatusAnswer{}, err
	}
	status, ok := answer.(lentilmux.StatusAnswer)
	if !ok {
		return lentilmux.StatusAnswer{}, errors.Errorf("unexpected answer %T", answer)
	}
	return status, nil
}

// newRequest returns a request with the fields that model requests and service
// calls have in common: ID, workspace, credential, deadline and idempotency key.
// An error is a [*lentilmux.Refusal].
func (h *Handler) newRequest(r *http.Request) (request lentilmux.Request, err error) {
	request.ID = lentilmux.RequestID(h.config.Name + "-" + h.startID + "-" + strconv.FormatUint(h.requestCount.Add(1), 10))
	request.Workspace = r.Header.Get(WorkspaceHeader)
	if request.Workspace == "" {
		return request, badRequest(reasonInvalid, "the header %s must name the workspace", WorkspaceHeader)
	}
	if credential := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "); credential != "" {
		request.CredentialHash = HashWorkspaceKey(credential)
	}
	timeout, err := parseTimeout(r)
	if err != nil {
		return request, err
	}
	request.Deadline = time.Now().Add(timeout)
	if key := r.Header.Get(service.IdempotencyKeyHeader); key != "" {
		request.Key = key
		request.FirstWithKey = r.Header.Get(AttemptHeader) == "1"
		request.KeyCreatedAt, err = keyCreatedAt(key)
	}
	return request, err
}

// HashWorkspaceKey returns the hash of a workspace's API key, as hex digits. The
// configuration holds this hash in place of the key.
func HashWorkspaceKey(key string) string {
	sum := sha256.Sum256([]byte("lentilmux workspace key " + key))
	return hex.EncodeToString(sum[:])
}

// parseTimeout returns the time limit of the response: the value of
// [TimeoutHeader], or defaultTimeout without it.
func parseTimeout(r *http.Request) (timeout time.Duration, err error) {
	text := r.Header.Get(TimeoutHeader)
	if text == "" {
		return defaultTimeout, nil
	}
	milliseconds, err := strconv.Atoi(text)
	timeout = time.Duration(milliseconds) * time.Millisecond
	if err != nil || timeout <= 0 || timeout > maxTimeout {
		return 0, badRequest(reasonInvalid, "%s takes milliseconds from 1 to %d, not %q", TimeoutHeader, maxTimeout.Milliseconds(), text)
	}
	return timeout, nil
}

// keyCreatedAt returns the creation time of an idempotency key, which must be a
// UUID of version 7. Keys have to carry this time, since a key that is older than
// the stored outcomes must be rejected.
func keyCreatedAt(key string) (createdAt time.Time, err error) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, badRequest(lentilmux.ReasonKeyInvalid, "%s must be a UUID of version 7, which carries the time it was made", service.IdempotencyKeyHeader)
	}
	return time.Unix(id.Time().UnixTime()), nil
}
