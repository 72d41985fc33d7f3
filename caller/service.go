package caller

import (
	"context"
	"net/http"
	"strings"
	"time"

	"lentilmux.example/lentilmux"
)

// handleService serves /services/{name}/{path}: it forwards the call to the plain
// service of this name.
func (h *Handler) handleService(w http.ResponseWriter, r *http.Request) {
	startedAt := time.Now()
	body, err := readBody(w, r)
	if err != nil {
		h.rejectServiceCall(w, startedAt, err)
		return
	}
	request, err := h.newRequest(r)
	if err != nil {
		h.rejectServiceCall(w, startedAt, err)
		return
	}
	path := upstreamPath(r)
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	request.Service = r.PathValue("name")
	request.Method = r.Method
	request.Fingerprint = lentilmux.ComputeFingerprint(request.Workspace, request.Service, r.Method, path, string(body))
	w.Header().Set(RequestIDHeader, string(request.ID))
	ctx, cancel := context.WithDeadline(r.Context(), request.Deadline)
	defer cancel()
	reply, err := h.config.Runner.Run(ctx, request, lentilmux.ServiceCall{
		Request: request.ID, Method: r.Method, Path: path, ContentType: r.Header.Get("Content-Type"), Body: body, Key: request.Key,
	})
	if err != nil {
		h.rejectServiceCall(w, startedAt, err)
		return
	}
	writeReply(w, reply)
	h.config.Observe(Observation{IsServiceCall: true, Outcome: lentilmux.OutcomeAnswered, Duration: time.Since(startedAt)})
}

// upstreamPath returns the escaped path after the service's name, with a leading
// slash.
func upstreamPath(r *http.Request) string {
	nameAndPath := strings.TrimPrefix(r.URL.EscapedPath(), "/services/")
	_, path, _ := strings.Cut(nameAndPath, "/")
	return "/" + path
}

// rejectServiceCall answers a service call that got no reply with err.
func (h *Handler) rejectServiceCall(w http.ResponseWriter, startedAt time.Time, err error) {
	writeError(w, err)
	refusal := toRefusal(err)
	h.config.Observe(Observation{IsServiceCall: true, Outcome: refusal.Outcome, Reason: refusal.Reason, Duration: time.Since(startedAt)})
}

// writeReply writes a service's reply as the response. A write error is ignored,
// since it means that the caller has disconnected.
func writeReply(w http.ResponseWriter, reply lentilmux.ServiceReply) {
	if reply.ContentType != "" {
		w.Header().Set("Content-Type", reply.ContentType)
	}
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
}
