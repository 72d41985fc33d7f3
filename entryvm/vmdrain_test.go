package entryvm_test

import (
	"bufio"
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
	ports := []int{callerPort, controlPort} // in the order in which they close
	conns := make(map[int][]net.Conn)
	for _, port := range ports {
		for _, kept := range []bool{true, false} {
			conn, err := net.Dial("tcp", loopbackAddr(port).String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if kept {
				_, _ = io.WriteString(conn, request) // an error shows when the response is read
				if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || response.StatusCode != http.StatusNotFound {
					t.Fatalf("port %d: %v, %v", port, response, err)
				}
			}
			_, _ = io.WriteString(conn, request[:20])
			conns[port] = append(conns[port], conn)
		}
	}
	l.vms[0].Drain()
	for _, port := range ports {
		waitUntilRefused(port)
		for i, conn := range conns[port] {
			_, _ = io.WriteString(conn, request[20:])
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Errorf("port %d, connection %d: %v, expected an answer", port, i, err)
				continue
			}
			if !response.Close {
				t.Errorf("port %d, connection %d: the answer does not say that the connection closes", port, i)
			}
		}
	}
	if err := <-l.stopped[0]; err != nil {
		t.Errorf("the drained entry VM returned %v", err)
	}
}

// waitUntilRefused waits until a port accepts no more connections, and a moment more, in
// which the drain begins for those that are open.
func waitUntilRefused(port int) {
	for accepting := true; accepting; time.Sleep(10 * time.Millisecond) {
		conn, err := net.Dial("tcp", loopbackAddr(port).String())
		if accepting = err == nil; accepting {
			_ = conn.Close()
		}
	}
	time.Sleep(50 * time.Millisecond)
}
