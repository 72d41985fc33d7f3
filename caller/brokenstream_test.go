package caller_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/caller"
	"lentilmux.example/lentilmux/engine"
	"lentilmux.example/lentilmux/service"
	"lentilmux.example/lentilmux/standin"
)

// breakingEngine generates two tokens and then fails. It implements
// [lentilmux.Engine] and [lentilmux.Stage].
type breakingEngine struct{ lentilmux.Engine }

func (b breakingEngine) OpenStage(context.Context, netip.AddrPort, lentilmux.StageOpen) (stage lentilmux.Stage, err error) {
	return b, nil
}

func (breakingEngine) Step(_ context.Context, input lentilmux.StepInput) (output lentilmux.StepOutput, err error) {
	if input.Position == 2 {
		return output, &lentilmux.UpstreamError{Kind: lentilmux.FailureCrash, Err: io.ErrUnexpectedEOF}
	}
	return lentilmux.StepOutput{Position: input.Position, Token: fmt.Sprintf("t%d ", input.Position)}, nil
}

func (breakingEngine) Close() error { return nil }

// oneRoute is a node that gives each request one route and then refuses.
type oneRoute struct{}

func (oneRoute) Send(context.Context, lentilmux.Msg) error { return nil }

func (oneRoute) Ask(_ context.Context, msg lentilmux.Msg) (lentilmux.Answer, error) {
	if x, ok := msg.(lentilmux.RequestMsg); ok {
		return lentilmux.RouteAnswer{Route: lentilmux.Route{Request: x.Request.ID, Epoch: 1, Stages: []lentilmux.StageRoute{{Upstream: "e"}}, StepTimeout: time.Second}}, nil
	}
	return lentilmux.RefusalAnswer{Refusal: lentilmux.Refusal{Reason: lentilmux.ReasonUpstreamFailed}}, nil
}

// TestBrokenStreamHasNoEnd guards against a stream that broke off and ends, on the
// wire, as a complete one does: callers and proxies that look at its framing only
// would take it for whole.
func TestBrokenStreamHasNoEnd(t *testing.T) {
	server := httptest.NewServer(caller.NewHandler(caller.Config{
		Name: "entry-1", Node: oneRoute{}, Relay: engine.NewRelay(oneRoute{}, breakingEngine{}), Runner: service.NewRunner(oneRoute{}, standin.Services{}),
		Observe: func(caller.Observation) {},
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	body := `{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}`
	if _, err := fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n%s: counter\r\nContent-Length: %d\r\n\r\n%s", caller.WorkspaceHeader, len(body), body); err != nil {
		t.Fatal(err)
	}
	received, err := io.ReadAll(conn)
	text := string(received)
	if err != nil || !strings.Contains(text, `"t1 "`) || !strings.Contains(text, "event: error\n") {
		t.Fatalf("got %q, error %v; want two tokens, an error event and the end of the connection", text, err)
	}
	if strings.HasSuffix(text, "\r\n0\r\n\r\n") {
		t.Errorf("the broken stream ends with a final chunk: %q", text)
	}
}
