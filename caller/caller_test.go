package caller_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/caller"
	"lentilmux.example/lentilmux/engine"
	"lentilmux.example/lentilmux/service"
	"lentilmux.example/lentilmux/standin"
)

// refusingNode is a node that is not ready and answers every request with the
// same refusal.
type refusingNode struct {
	refusal lentilmux.Refusal
}

func (r refusingNode) Send(context.Context, lentilmux.Msg) error { return nil }

func (r refusingNode) Ask(_ context.Context, msg lentilmux.Msg) (lentilmux.Answer, error) {
	if _, ok := msg.(lentilmux.StatusMsg); ok {
		return lentilmux.StatusAnswer{Ready: false, Reason: "draining", Revision: 4, Models: []string{"lentil"}}, nil
	}
	return lentilmux.RefusalAnswer{Refusal: r.refusal}, nil
}

// newHandler returns a handler on a [refusingNode].
func newHandler(refusal lentilmux.Refusal) *caller.Handler {
	node := refusingNode{refusal: refusal}
	return caller.NewHandler(caller.Config{
		Name: "entry-1", Node: node,
		Relay: engine.NewRelay(node, standin.NewEngines()), Runner: service.NewRunner(node, standin.Services{}),
	})
}

// TestBadInput guards against invalid requests that are accepted, or whose error
// response has the wrong status, reason or outcome. It compares the responses to
// such requests, and those of the status endpoints, with a golden file.
func TestBadInput(t *testing.T) {
	chat := "/v1/chat/completions"
	validChat := `{"model":"lentil","messages":[{"role":"user","content":"hello"}]}`
	requests := []struct {
		name, method, path, body string
		headers                  []string
	}{
		{"no workspace", "POST", chat, validChat, nil},
		{"not JSON", "POST", chat, "hello", []string{caller.WorkspaceHeader, "counter"}},
		{"broken UTF-8", "POST", chat, "{\"model\":\"\xff\"}", []string{caller.WorkspaceHeader, "counter"}},
		{"no model", "POST", chat, `{"messages":[{"role":"user","content":"x"}]}`, []string{caller.WorkspaceHeader, "counter"}},
		{"no messages", "POST", chat, `{"model":"lentil"}`, []string{caller.WorkspaceHeader, "counter"}},
		{"too many tokens", "POST", chat, `{"model":"lentil","max_tokens":100000,"messages":[{"role":"user","content":"x"}]}`, nil},
		{"too large", "POST", chat, strings.Repeat("x", 1<<20+1), []string{caller.WorkspaceHeader, "counter"}},
		{"timeout not a number", "POST", chat, validChat, []string{caller.WorkspaceHeader, "counter", caller.TimeoutHeader, "soon"}},
		{"key not a UUID", "POST", "/services/ticket-app/book", "x", []string{caller.WorkspaceHeader, "counter", "Idempotency-Key", "k1"}},
		{"key of version 4", "POST", "/services/ticket-app/book", "x", []string{caller.WorkspaceHeader, "counter", "Idempotency-Key", "9b2f9d3e-6d3c-4c55-8f0e-0c0b3c3b8f11"}},
		{"unknown path", "GET", "/v2/models", "", nil},
		{"refused by the node", "POST", chat, validChat, []string{caller.WorkspaceHeader, "counter"}},
		{"not ready", "GET", "/readyz", "", nil},
		{"health", "GET", "/healthz", "", nil},
		{"models", "GET", "/v1/models", "", nil},
	}
	handler := newHandler(lentilmux.Refusal{Outcome: lentilmux.OutcomeNotRun, Reason: lentilmux.ReasonOverloaded, Detail: "full", RetryAfter: 1500000000})
	var out strings.Builder
	for _, r := range requests {
		request := httptest.NewRequest(r.method, r.path, strings.NewReader(r.body))
		for i := 0; i+1 < len(r.headers); i += 2 {
			request.Header.Set(r.headers[i], r.headers[i+1])
		}
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		fmt.Fprintf(&out, "%s: %d %s", r.name, recorder.Code, http.StatusText(recorder.Code))
		if after := recorder.Header().Get("Retry-After"); after != "" {
			fmt.Fprintf(&out, ", retry after %s s", after)
		}
		fmt.Fprintf(&out, "\n  %s\n", strings.TrimSpace(recorder.Body.String()))
	}
	goldie.New(t).Assert(t, "bad_input", []byte(out.String()))
}
