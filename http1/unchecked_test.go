package http1

import (
	"net"
	"net/http"
	"testing"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux/standin"
)

// TestUncheckedAnswer guards against an answer that is returned although its head was
// not checked, as one that arrived before the request. The connections of this
// transport check nothing.
func TestUncheckedAnswer(t *testing.T) {
	server, err := standin.StartRawServer(func(*http.Request) standin.RawAnswer {
		return standin.RawAnswer{Text: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", KeepsConn: true}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	client := &http.Client{Transport: &Transport{base: &http.Transport{DialContext: (&net.Dialer{}).DialContext}}}
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + server.Addr().String())
	if !errors.Is(err, ErrMalformedHead) {
		t.Errorf("got %v, error %v; expected a malformed head", response, err)
	}
}

// TestBytesBeforeRequest guards against bytes that arrive before a request and count as
// the head of its answer.
func TestBytesBeforeRequest(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	c := newConn(near)
	go func() {
		for range 2 {
			_, _ = far.Write([]byte("HTTP/1.1 200 OK\r\n\r\n"))
		}
	}()
	buffer := make([]byte, 64)
	pending := &exchange{}
	if _, err := c.Read(buffer); err != nil {
		t.Fatal(err)
	}
	pending.begin(c)
	if pending.headChecked.Load() {
		t.Error("the head before the request counts as its answer")
	}
	if _, err := c.Read(buffer); err != nil || !pending.headChecked.Load() {
		t.Errorf("the head after the request does not count as its answer, error %v", err)
	}
	pending.abort()
	if _, err := c.Read(buffer); err == nil {
		t.Error("the connection is open after the exchange was aborted")
	}
}
