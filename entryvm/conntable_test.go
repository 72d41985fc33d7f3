package entryvm

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux"
)

// connFixture is an HTTP server with a table of its connections, over loopback.
type connFixture struct {
	table    *connTable
	server   *http.Server
	listener net.Listener
	handled  atomic.Int64 // requests that the handler got
	draining atomic.Bool

	mu    sync.Mutex
	ends  []connEnd // of all closed connections
	lines []string  // of those that lost a request
}

// startConnFixture starts a server with the given idle and header timeouts.
func startConnFixture(t *testing.T, idle, header time.Duration) *connFixture {
	t.Helper()
	f := &connFixture{}
	f.table = newConnTable(time.Now, f.log, f.count)
	f.server = &http.Server{IdleTimeout: idle, ReadHeaderTimeout: header, MaxHeaderBytes: 1, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.handled.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		if f.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		_, _ = io.WriteString(w, "answer")
	})}
	f.table.install(f.server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.listener = f.table.listen(listener)
	go func() { _ = f.server.Serve(f.listener) }()
	t.Cleanup(func() { _ = f.server.Close() })
	return f
}

func (f *connFixture) log(d lentilmux.Decision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	read, _, _ := strings.Cut(d.Reason, " unread=")
	f.lines = append(f.lines, d.Chosen+" "+read)
}

func (f *connFixture) count(end connEnd) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ends = append(f.ends, end)
}

// waitClosed waits until a connection has been closed, and returns its end and the
// line that was logged, if any.
func (f *connFixture) waitClosed(t *testing.T) (end connEnd, line string) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		f.mu.Lock()
		if len(f.ends) > 0 {
			end, line = f.ends[0], strings.Join(f.lines, ";")
			f.ends, f.lines = nil, nil
			f.mu.Unlock()
			return end, line
		}
		f.mu.Unlock()
	}
	t.Fatal("the connection was not closed")
	return "", ""
}

const wholeRequest = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"

// writePart sends a part of a request's header and waits until it has arrived.
func writePart(conn net.Conn) {
	_, _ = io.WriteString(conn, wholeRequest[:9]) // an error shows in the cause of the close
	time.Sleep(50 * time.Millisecond)
}

// TestClosedConnections guards against connections that are closed without a word of
// who closed them and of the request that was lost.
func TestClosedConnections(t *testing.T) {
	var out strings.Builder
	for _, c := range []struct {
		name, text string
		idle       time.Duration
		then       func(f *connFixture, conn net.Conn)
	}{
		{"caller closes without a request", "", time.Minute, func(_ *connFixture, conn net.Conn) { _ = conn.Close() }},
		{"caller closes after an answer", wholeRequest, time.Minute, func(_ *connFixture, conn net.Conn) { _ = conn.Close() }},
		{"caller closes within a header", wholeRequest, time.Minute, func(_ *connFixture, conn net.Conn) {
			writePart(conn)
			_ = conn.Close()
		}},
		{"caller resets within a header", wholeRequest, time.Minute, func(_ *connFixture, conn net.Conn) {
			writePart(conn)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}},
		{"idle after an answer", wholeRequest, 50 * time.Millisecond, nil},
		{"half a header", wholeRequest[:9], time.Minute, nil},
		{"no request", "no request\r\n\r\n", time.Minute, nil},
		{"answer that closes", strings.Replace(wholeRequest, "Host: a", "Host: a\r\nConnection: close", 1), time.Minute, nil},
		{"drain without a request", "", time.Minute, func(f *connFixture, _ net.Conn) { _ = f.drain(t) }},
		{"drain after an answer", wholeRequest, time.Minute, func(f *connFixture, _ net.Conn) { _ = f.drain(t) }},
		{"server closed within a header", wholeRequest, time.Minute, func(f *connFixture, conn net.Conn) {
			writePart(conn)
			_ = f.server.Close()
		}},
	} {
		f := startConnFixture(t, c.idle, 400*time.Millisecond)
		conn, err := net.Dial("tcp", f.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, c.text); err != nil {
			t.Fatal(err)
		}
		if c.then != nil {
			if strings.HasPrefix(c.text, "POST") {
				if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(50 * time.Millisecond)
			c.then(f, conn)
		}
		end, line := f.waitClosed(t)
		fmt.Fprintf(&out, "%s: %s [%s]\n", c.name, end, line)
		_ = conn.Close()
	}
	goldie.New(t).Assert(t, "closed_connections", []byte(out.String()))
}

// drain accepts no more connections and drains the open ones.
func (f *connFixture) drain(t *testing.T) (err error) {
	f.draining.Store(true)
	_ = f.listener.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	return f.table.drain(ctx)
}

// TestDrainUnderRequests guards against a drain that closes a connection of which it
// has read a request: callers send at all moments around the close of idle ones.
func TestDrainUnderRequests(t *testing.T) {
	for round := range 10 {
		f := startConnFixture(t, time.Minute, 10*time.Second)
		var callers sync.WaitGroup
		var answers atomic.Int64
		for i := range 48 {
			callers.Go(func() { answers.Add(callUntilClosed(f.listener.Addr().String(), i)) })
		}
		time.Sleep(time.Duration(20+round) * time.Millisecond)
		if err := f.drain(t); err != nil {
			t.Errorf("round %d: the drain did not end: %v", round, err)
		}
		callers.Wait()
		f.mu.Lock()
		if lost := slices.DeleteFunc(f.lines, func(line string) bool { return strings.HasSuffix(line, "read=0") }); len(lost) > 0 {
			t.Errorf("round %d: requests that were read and dropped: %q", round, lost)
		}
		f.mu.Unlock()
		if handled := f.handled.Load(); handled != answers.Load() {
			t.Errorf("round %d: %d requests reached the handler, %d answers the callers", round, handled, answers.Load())
		}
	}
}

// callUntilClosed sends requests, the header of each in two parts, until the
// connection is closed, and returns the number of answers.
func callUntilClosed(addr string, caller int) (answers int64) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		time.Sleep(time.Duration(caller%7) * time.Millisecond)
		_, _ = io.WriteString(conn, wholeRequest[:20]) // an error shows when the answer is read
		time.Sleep(time.Duration(caller%3) * time.Millisecond)
		_, _ = io.WriteString(conn, wholeRequest[20:])
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return answers
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		answers++
		if answers > 200 {
			return answers
		}
	}
}
