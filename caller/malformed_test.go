package caller_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"lentilmux.example/lentilmux"
)

// TestCallerThatDisconnectsWithinBody guards against handlers that wait forever
// for a body that will not arrive. The caller sends a part of the body and closes
// the connection; other callers must be served meanwhile, and the handler must
// return.
func TestCallerThatDisconnectsWithinBody(t *testing.T) {
	handlerEnded := make(chan struct{}, 1)
	handler := newHandler(lentilmux.Refusal{Outcome: lentilmux.OutcomeNotRun, Reason: lentilmux.ReasonOverloaded, Detail: "full"})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(w, r)
		if r.Method == http.MethodPost {
			handlerEnded <- struct{}{}
		}
	}))
	defer server.Close()
	connection, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	head := "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nLentilmux-Workspace: counter\r\nContent-Length: 100\r\n\r\n{\"model\":"
	if _, err := connection.Write([]byte(head)); err != nil {
		t.Fatal(err)
	}
	response, err := http.Get(server.URL + "/healthz")
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("request of another caller: got response %v, error %v, want status 200", response, err)
	}
	_ = response.Body.Close()
	if err := connection.Close(); err != nil {
		t.Fatal(err)
	}
	select {
	case <-handlerEnded:
	case <-time.After(5 * time.Second):
		t.Error("the handler has not returned within 5 s of the disconnect")
	}
}

// TestInputThatIsNotHTTP guards against connections that hang or stop the server if
// a caller sends another protocol, such as TLS, to the HTTP port. The response must
// be status 400.
func TestInputThatIsNotHTTP(t *testing.T) {
	server := httptest.NewServer(newHandler(lentilmux.Refusal{}))
	defer server.Close()
	connection, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	if _, err := fmt.Fprint(connection, "\x16\x03\x01\x02\x00 not HTTP\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(connection).ReadString('\n')
	if err != nil || !strings.Contains(line, "400") {
		t.Errorf("got status line %q, error %v, want status 400", line, err)
	}
}
