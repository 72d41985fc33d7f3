package caller

import (
	"context"
	"net/http"
	"strings"
	"time"

	"lentilmux.example/lentilmux"
)

// service serves calls to plain services.
func (h *Handler) service(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	body, err := readBody(w, r)
	if err != nil {
		h.rejectCall(w, started, err)
		return
	}
	request, err := h.newRequest(r)
	if err != nil {
		h.rejectCall(w, started, err)
		return
	}
	path := pathOf(r)
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
		h.rejectCall(w, started, err)
		return
	}
	writeReply(w, reply)
	h.config.Observe(Observation{IsServiceCall: true, Outcome: lentilmux.OutcomeAnswered, Duration: time.Since(started)})
}

// pathOf returns the escaped path behind the service's name.
func pathOf(r *http.Request) string {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), "/services/")
	_, path, _ := strings.Cut(rest, "/")
	return "/" + path
}

// rejectCall answers a call that has no reply.
func (h *Handler) rejectCall(w http.ResponseWriter, started time.Time, err error) {
	writeError(w, err)
	refusal := refusalOf(err)
	h.config.Observe(Observation{IsServiceCall: true, Outcome: refusal.Outcome, Reason: refusal.Reason, Duration: time.Since(started)})
}

// writeReply passes a reply on. A caller that went away cannot be told.
func writeReply(w http.ResponseWriter, reply lentilmux.ServiceReply) {
	if reply.ContentType != "" {
		w.Header().Set("Content-Type", reply.ContentType)
	}
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
}
