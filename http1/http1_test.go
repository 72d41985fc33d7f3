package http1_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux/http1"
	"lentilmux.example/lentilmux/standin"
)

// startServer starts a stand-in that gives each request the answer of its turn, and the
// last one to all further requests.
func startServer(t *testing.T, answers ...standin.RawAnswer) *standin.RawServer {
	t.Helper()
	var server *standin.RawServer
	server, err := standin.StartRawServer(func(*http.Request) standin.RawAnswer {
		return answers[min(server.Requests(), len(answers))-1]
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server
}

// newClient returns a client that keeps its connections.
func newClient(t *testing.T) *http.Client {
	t.Helper()
	client := &http.Client{Transport: http1.NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext})}
	t.Cleanup(client.CloseIdleConnections)
	return client
}

// get sends a request and returns status and body of the answer.
func get(t *testing.T, client *http.Client, server *standin.RawServer) (status int, body string, err error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+server.Addr().String()+"/", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// TestMalformedHeads guards against answers with a malformed head that are returned, and
// against a connection that is used again after one.
func TestMalformedHeads(t *testing.T) {
	sound := standin.RawAnswer{Text: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound", KeepsConn: true}
	for _, head := range standin.RawHeads {
		if head.Sound {
			continue
		}
		server, client := startServer(t, sound, standin.RawAnswer{Text: head.Answer(""), KeepsConn: true}, sound), newClient(t)
		if status, body, err := get(t, client, server); err != nil || body != "sound" {
			t.Fatalf("%s: before it status %d, body %q, error %v", head.Name, status, body, err)
		}
		if status, body, err := get(t, client, server); !errors.Is(err, http1.ErrMalformedHead) {
			t.Errorf("%s: status %d, body %q, error %v", head.Name, status, body, err)
		}
		if status, body, err := get(t, client, server); err != nil || body != "sound" {
			t.Errorf("%s: after it status %d, body %q, error %v", head.Name, status, body, err)
		}
		if conns := server.Conns(); conns != 2 || server.Requests() != 3 {
			t.Errorf("%s: %d connections, %d requests; expected 2 and 3", head.Name, conns, server.Requests())
		}
	}
}

// TestKeptConnection guards against sound answers on a kept connection that are taken for
// malformed, such as an answer without a body or one that comes in two pieces.
func TestKeptConnection(t *testing.T) {
	server := startServer(t,
		standin.RawAnswer{Text: "HTTP/1.1 204 No Content\r\n\r\n", KeepsConn: true},
		standin.RawAnswer{Text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3\r\n: c\r\n0\r\n\r\n", KeepsConn: true},
		standin.RawAnswer{Text: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", KeepsConn: true},
		standin.RawAnswer{Text: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nHTTP/1.1 ", KeepsConn: true},
	)
	client := newClient(t)
	for call, expected := range []string{"", "ab: c", "", "HTTP/1.1 ", "HTTP/1.1 "} {
		if status, body, err := get(t, client, server); err != nil || body != expected {
			t.Errorf("call %d: status %d, body %q, error %v; expected %q", call, status, body, err, expected)
		}
	}
	if conns := server.Conns(); conns != 1 {
		t.Errorf("%d connections, expected 1", conns)
	}
}
