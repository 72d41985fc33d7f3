package http1

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

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

// TestEndOfKeptConnection guards against the end of a kept connection that is held back
// when its next request begins, which would then be written although nobody reads it.
func TestEndOfKeptConnection(t *testing.T) {
	near, far := net.Pipe()
	c := newConn(near)
	first, next := &exchange{}, &exchange{}
	first.begin(c)
	go func() {
		_, _ = far.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		_ = far.Close()
	}()
	buffer := make([]byte, 64)
	if _, err := c.Read(buffer); err != nil {
		t.Fatal(err)
	}
	next.begin(c)
	result := make(chan error, 1)
	go func() {
		_, err := c.Read(buffer)
		result <- err
	}()
	select {
	case err := <-result:
		if !errors.Is(err, io.EOF) {
			t.Errorf("error %v, expected the end of the connection", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the end of the connection is held back")
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
