// Package caller speaks to callers: an HTTP interface that is compatible with
// OpenAI's for models, and passes calls to plain services on under their names.
//
//	POST /v1/chat/completions      an answer of a model, streamed or whole
//	GET  /v1/models                the models that are served
//	*    /services/{name}/{path}   a call to a plain service
//	GET  /healthz, /readyz         whether the process lives, and takes work
//
// The handlers translate between bytes and messages; every decision is the
// node's. An error always says whether the work ran.
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

// Headers that callers send.
const (
	// WorkspaceHeader names the caller's workspace.
	WorkspaceHeader = "Lentilmux-Workspace"
	// TimeoutHeader gives the time for the whole answer in milliseconds.
	TimeoutHeader = "Lentilmux-Timeout-Ms"
	// AttemptHeader is one more than the earlier requests with the idempotency
	// key that may have run. With 1 a request can be told that it did not run
	// even when the log is down.
	AttemptHeader = "Lentilmux-Attempt"
	// RequestIDHeader names the request in the answer.
	RequestIDHeader = "Lentilmux-Request"
)

const (
	// bodyMost is the largest body of a request, in bytes.
	bodyMost = 1 << 20
	// bodyTimeout bounds the time in which a body must arrive.
	bodyTimeout = 10 * time.Second
	// defaultTimeout is the time for an answer unless the caller sets one.
	defaultTimeout = 60 * time.Second
	// timeoutMost is the longest time that a caller can set.
	timeoutMost = 10 * time.Minute
	// tokensMost is the most tokens an answer can have.
	tokensMost = 8192
	// defaultTokens is the most tokens unless the caller sets a number.
	defaultTokens = 256
)

// Observation is what is measured of a finished request.
type Observation struct {
	IsServiceCall    bool // whether it was a call to a plain service
	Outcome          lentilmux.Outcome
	Reason           lentilmux.Reason
	Duration         time.Duration
	TimeToFirstToken time.Duration // until the first token
	Tokens           int
}

// Config is what a [Handler] is made from.
type Config struct {
	Name    string // of the entry VM, a part of request IDs
	Node    lentilmux.NodeClient
	Relay   *engine.Relay
	Runner  *service.Runner
	Observe func(Observation)
}

// Handler serves callers.
type Handler struct {
	config Config
	mux    *http.ServeMux
	last   atomic.Uint64
	start  string
}

// NewHandler returns a handler for the node in config.
func NewHandler(config Config) *Handler {
	if config.Observe == nil {
		config.Observe = func(Observation) {}
	}
	h := &Handler{config: config, mux: http.NewServeMux(), start: uuid.NewString()[:8]}
	h.mux.HandleFunc("POST /v1/chat/completions", h.chat)
	h.mux.HandleFunc("GET /v1/models", h.models)
	h.mux.HandleFunc("/services/{name}/{path...}", h.service)
	h.mux.HandleFunc("GET /healthz", h.healthz)
	h.mux.HandleFunc("GET /readyz", h.readyz)
	h.mux.HandleFunc("/", h.notFound)
	return h
}

// ServeHTTP implements [http.Handler].
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

// notFound answers a path that is not served.
func (h *Handler) notFound(w http.ResponseWriter, r *http.Request) {
	writeError(w, badRequest(reasonNotFound, "%s %s is not served; try POST /v1/chat/completions", r.Method, r.URL.Path))
}

// healthz answers as long as the process does.
func (h *Handler) healthz(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, healthReply{Status: "ok"})
}

type healthReply struct {
	Status   string `json:"status"`
	Reason   string `json:"reason,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
}

// readyz answers whether the node should be sent requests.
func (h *Handler) readyz(w http.ResponseWriter, r *http.Request) {
	status, err := h.status(r.Context())
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

// statusTimeout bounds a question about the node's state.
const statusTimeout = time.Second

func (h *Handler) status(ctx context.Context) (status lentilmux.StatusAnswer, err error) {
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

// newRequest fills in what every request has: its ID, workspace, credential,
// deadline and key.
func (h *Handler) newRequest(r *http.Request) (request lentilmux.Request, err error) {
	request.ID = lentilmux.RequestID(h.config.Name + "-" + h.start + "-" + strconv.FormatUint(h.last.Add(1), 10))
	request.Workspace = r.Header.Get(WorkspaceHeader)
	if request.Workspace == "" {
		return request, badRequest(reasonInvalid, "the header %s must name the workspace", WorkspaceHeader)
	}
	if credential := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "); credential != "" {
		request.CredentialHash = HashKey(credential)
	}
	timeout, err := timeoutOf(r)
	if err != nil {
		return request, err
	}
	request.Deadline = time.Now().Add(timeout)
	if key := r.Header.Get(service.IdempotencyKeyHeader); key != "" {
		request.Key = key
		request.FirstWithKey = r.Header.Get(AttemptHeader) == "1"
		request.KeyCreatedAt, err = bornAt(key)
	}
	return request, err
}

// HashKey returns the hash under which a workspace's key is configured.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte("lentilmux workspace key " + key))
	return hex.EncodeToString(sum[:])
}

// timeoutOf returns the time that the caller gives for the answer.
func timeoutOf(r *http.Request) (timeout time.Duration, err error) {
	text := r.Header.Get(TimeoutHeader)
	if text == "" {
		return defaultTimeout, nil
	}
	milliseconds, err := strconv.Atoi(text)
	timeout = time.Duration(milliseconds) * time.Millisecond
	if err != nil || timeout <= 0 || timeout > timeoutMost {
		return 0, badRequest(reasonInvalid, "%s takes milliseconds from 1 to %d, not %q", TimeoutHeader, timeoutMost.Milliseconds(), text)
	}
	return timeout, nil
}

// bornAt returns the time at which a key was made. Keys must carry it, since a
// key older than the system's memory has to be refused.
func bornAt(key string) (born time.Time, err error) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, badRequest(lentilmux.ReasonKeyInvalid, "%s must be a UUID of version 7, which carries the time it was made", service.IdempotencyKeyHeader)
	}
	return time.Unix(id.Time().UnixTime()), nil
}
