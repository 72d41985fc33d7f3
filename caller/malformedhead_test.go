package caller_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/caller"
	"lentilmux.example/lentilmux/engine"
	"lentilmux.example/lentilmux/service"
	"lentilmux.example/lentilmux/standin"
)

// singleRouteNode is a node that gives each request one route, to the same upstream. It
// refuses a retry, with the kind of the failure as the detail.
type singleRouteNode struct {
	upstream netip.AddrPort
}

// Send implements [lentilmux.NodeClient].
func (n singleRouteNode) Send(context.Context, lentilmux.Msg) (err error) { return nil }

// Ask implements [lentilmux.NodeClient].
func (n singleRouteNode) Ask(_ context.Context, msg lentilmux.Msg) (answer lentilmux.Answer, err error) {
	switch x := msg.(type) {
	case lentilmux.RequestMsg:
		return lentilmux.RouteAnswer{Route: lentilmux.Route{Request: x.Request.ID, Stages: []lentilmux.StageRoute{{Addr: n.upstream}}}}, nil
	case lentilmux.AttemptFailedMsg:
		return lentilmux.RefusalAnswer{Refusal: lentilmux.Refusal{Outcome: lentilmux.OutcomeUnknown, Reason: lentilmux.ReasonUpstreamFailed, Detail: x.Kind.String()}}, nil
	default:
		return nil, lentilmux.ErrStopped
	}
}

// TestMalformedHeads compares with the golden file what a caller gets of a plain service
// that sends the heads of a stand-in. It guards against a connection that ends without
// an answer, since the status 000 cannot be written, and against an answer whose body
// is not the service's.
func TestMalformedHeads(t *testing.T) {
	var out strings.Builder
	for _, head := range standin.RawHeads {
		upstream, err := standin.StartRawServer(func(*http.Request) standin.RawAnswer {
			return standin.RawAnswer{Text: head.Answer("Content-Type: text/plain\r\n")}
		})
		if err != nil {
			t.Fatal(err)
		}
		node := singleRouteNode{upstream: upstream.Addr()}
		server := httptest.NewServer(caller.NewHandler(caller.Config{
			Name: "entry-1", Node: node, Relay: engine.NewRelay(node, standin.NewEngines()), Runner: service.NewRunner(node, service.NewClient()),
		}))
		fmt.Fprintf(&out, "%s: %s\n", head.Name, callService(t, server.URL))
		server.Close()
		upstream.Close()
	}
	goldie.New(t).Assert(t, "malformed_heads", []byte(out.String()))
}

// callService calls a plain service through the router at url and describes the answer.
func callService(t *testing.T, url string) (description string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/services/ticket-app/book", strings.NewReader("two"))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(caller.WorkspaceHeader, "counter")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "a broken answer"
	}
	return fmt.Sprintf("%d %s %q", response.StatusCode, response.Header.Get("Content-Type"), body)
}
