package service_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/service"
)

// startRepeatingService answers call n of each connection with "n", and from the
// second call on writes the previous answer once more as the call begins to arrive.
func startRepeatingService(t testing.TB, repeat bool) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var calls atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRepeating(conn, &calls, repeat)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// serveRepeating serves one connection.
func serveRepeating(conn net.Conn, calls *atomic.Int64, repeat bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for previous := ""; ; {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		if repeat {
			_, _ = io.WriteString(conn, previous)
		}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		text := fmt.Sprint(calls.Add(1))
		previous = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		_, _ = io.WriteString(conn, previous)
	}
}

// TestRepeatedReply guards against a caller that gets the reply to another call:
// a service that writes a reply once more on a kept connection. Nothing in a reply
// of a plain service says to which call it belongs.
func TestRepeatedReply(t *testing.T) {
	addr := startRepeatingService(t, true)
	client := service.NewClient()
	for call := 1; call <= 5; call++ {
		reply, err := client.Call(t.Context(), addr, lentilmux.ServiceCall{Method: http.MethodPost, Path: "/book", Body: []byte("two")})
		if err != nil || string(reply.Body) != fmt.Sprint(call) {
			t.Errorf("call %d got the reply to call %s, error %v", call, reply.Body, err)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// BenchmarkCall measures a call of a plain service over loopback.
func BenchmarkCall(b *testing.B) {
	addr := startRepeatingService(b, false)
	client := service.NewClient()
	for b.Loop() {
		if _, err := client.Call(b.Context(), addr, lentilmux.ServiceCall{Method: http.MethodPost, Path: "/book", Body: []byte("two")}); err != nil {
			b.Fatal(err)
		}
	}
}
