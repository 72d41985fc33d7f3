package entryvm_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestDrainOfVMAnswersWhatItRead guards against requests that a planned stop has read
// and drops without an answer, at both ports of a VM.
func TestDrainOfVMAnswersWhatItRead(t *testing.T) {
	l := startLoopback(t)
	const request = "GET /nowhere HTTP/1.1\r\nHost: entry\r\n\r\n"
	conns := make(map[string]net.Conn)
	for name, port := range map[string]int{"callers": callerPort, "control": controlPort} {
		for _, kept := range []bool{true, false} {
			conn, err := net.Dial("tcp", loopbackAddr(port).String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if kept {
				_, _ = io.WriteString(conn, request) // an error shows when the response is read
				if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || response.StatusCode != http.StatusNotFound {
					t.Fatalf("%s: %v, %v", name, response, err)
				}
			}
			_, _ = io.WriteString(conn, request[:20])
			conns[fmt.Sprintf("port for %s, kept connection %t", name, kept)] = conn
		}
	}
	l.vms[0].Drain()
	for accepting := true; accepting; time.Sleep(10 * time.Millisecond) {
		conn, err := net.Dial("tcp", loopbackAddr(controlPort).String())
		if accepting = err == nil; accepting {
			_ = conn.Close()
		}
	}
	time.Sleep(50 * time.Millisecond)
	for name, conn := range conns {
		_, _ = io.WriteString(conn, request[20:])
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Errorf("%s: %v, expected an answer", name, err)
			continue
		}
		if !response.Close {
			t.Errorf("%s: the answer does not say that the connection closes", name)
		}
	}
	if err := <-l.stopped[0]; err != nil {
		t.Errorf("the drained entry VM returned %v", err)
	}
}
