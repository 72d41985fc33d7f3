package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
)

// RawAnswer is what a [RawServer] writes in answer to a request.
type RawAnswer struct {
	Text      string
	KeepsConn bool // whether the connection stays open after it
}

// RawServer is an upstream that answers requests with bytes that need not be HTTP. It
// listens on a loopback port until Close.
type RawServer struct {
	listener net.Listener
	answer   func(request *http.Request) RawAnswer
	requests atomic.Int64

	mu    sync.Mutex
	conns []net.Conn
}

// StartRawServer starts a server that calls answer for each request, also at the same
// time for several. The body of the request was read.
func StartRawServer(answer func(request *http.Request) RawAnswer) (server *RawServer, err error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server = &RawServer{listener: listener, answer: answer}
	go server.accept()
	return server, nil
}

// Addr returns the address that the server listens on.
func (s *RawServer) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Requests returns the number of requests received.
func (s *RawServer) Requests() int { return int(s.requests.Load()) }

// Conns returns the number of connections accepted.
func (s *RawServer) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Close closes the listener and all connections.
func (s *RawServer) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		_ = conn.Close()
	}
}

// accept accepts connections until the listener is closed.
func (s *RawServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, conn)
		s.mu.Unlock()
		go s.serve(conn)
	}
}

// serve answers the requests on a connection.
func (s *RawServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	for reader := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body) // what is missing shows at the next read
		s.requests.Add(1)
		answer := s.answer(request)
		if _, err := io.WriteString(conn, answer.Text); err != nil || !answer.KeepsConn {
			return
		}
	}
}
