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

// TestCallerThatHangsUpInItsBody sends half of a body and closes, and expects
// that others are served and that the handler ends.
func TestCallerThatHangsUpInItsBody(t *testing.T) {
	ended := make(chan struct{}, 1)
	handler := newHandler(lentilmux.Refusal{Outcome: lentilmux.OutcomeNotRun, Reason: lentilmux.ReasonOverloaded, Detail: "full"})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(w, r)
		if r.Method == http.MethodPost {
			ended <- struct{}{}
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
		t.Fatalf("another caller got %v, %v", response, err)
	}
	_ = response.Body.Close()
	if err := connection.Close(); err != nil {
		t.Fatal(err)
	}
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("the handler still waits for the rest of the body")
	}
}

// TestHeaderOfAnotherProtocol expects an answer to bytes that are no HTTP.
func TestHeaderOfAnotherProtocol(t *testing.T) {
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
		t.Errorf("got %q, %v", line, err)
	}
}
