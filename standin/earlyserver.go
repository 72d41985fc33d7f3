package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// earlyReadBuffer is the receive buffer of an [EarlyServer], in bytes. Most of a long
// request stays with its sender until it is read.
const earlyReadBuffer = 64 << 10

// EarlyEnd is how an [EarlyServer] ends the connection after its answer.
type EarlyEnd int

// The ends.
const (
	// EndReset resets the connection.
	EndReset EarlyEnd = iota
	// EndUnread closes the connection with the rest of the request unread, which resets
	// it, too.
	EndUnread
	// EndHalfReset ends its side of the connection at once, without the wait, and resets the
	// connection afterwards.
	EndHalfReset
	// EndDrained ends its side of the connection and reads the rest of the request.
	EndDrained
	// EndKept reads the rest of the request and serves the next one.
	EndKept
)

// String returns the end in snake case.
func (e EarlyEnd) String() string {
	return [...]string{"reset", "unread", "half_reset", "drained", "kept"}[e]
}

// EarlyAnswer is what an [EarlyServer] does when it has read the head of a request.
type EarlyAnswer struct {
	Text string        // is written first; need not be HTTP
	Wait time.Duration // from then until the end
	End  EarlyEnd
}

// EarlyServer is an upstream that answers requests before it has read their bodies. It
// listens on a loopback port until Close.
type EarlyServer struct {
	listener net.Listener
	answer   func(request *http.Request) EarlyAnswer
	serving  sync.WaitGroup
	requests atomic.Int64
}

// StartEarlyServer starts a server that calls answer for the head of each request, also
// at the same time for several.
func StartEarlyServer(answer func(request *http.Request) EarlyAnswer) (server *EarlyServer, err error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server = &EarlyServer{listener: listener, answer: answer}
	server.serving.Go(server.accept)
	return server, nil
}

// Addr returns the address that the server listens on.
func (s *EarlyServer) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Requests returns the number of requests of which the head was received.
func (s *EarlyServer) Requests() int { return int(s.requests.Load()) }

// Close closes the listener and waits until the connections have ended.
func (s *EarlyServer) Close() {
	_ = s.listener.Close()
	s.serving.Wait()
}

// accept accepts connections until the listener is closed.
func (s *EarlyServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.serving.Go(func() { s.serve(conn.(*net.TCPConn)) })
	}
}

// serve answers the requests on a connection.
func (s *EarlyServer) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	if err := conn.SetReadBuffer(earlyReadBuffer); err != nil {
		return
	}
	for reader := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.requests.Add(1)
		answer := s.answer(request)
		if answer.End != EndKept {
			answer.Play(conn, reader)
			return
		}
		if _, err = io.WriteString(conn, answer.Text); err != nil {
			return
		}
		time.Sleep(answer.Wait)
		_, _ = io.Copy(io.Discard, request.Body)
	}
}

// Play writes the answer to a connection and ends it as its End says, other than EndKept.
// The rest of the request is read from reader. The caller closes the connection.
func (a EarlyAnswer) Play(conn *net.TCPConn, reader io.Reader) {
	if _, err := io.WriteString(conn, a.Text); err != nil {
		return
	}
	if a.End == EndHalfReset {
		_ = conn.CloseWrite()
	}
	time.Sleep(a.Wait)
	switch a.End {
	case EndReset, EndHalfReset:
		_ = conn.SetLinger(0)
	case EndDrained:
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, reader) // until the client closes
	}
}
