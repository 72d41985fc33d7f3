package standin

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"

	"github.com/juju/errors"
)

// Host serves a handler at an address of its own over HTTP/1.1 and unencrypted
// HTTP/2. It can be closed and opened again to simulate a process that dies and
// restarts, and its open connections can be blackholed, as when a middlebox on
// the network has lost their state.
type Host struct {
	addr    netip.AddrPort
	handler http.Handler
	listen  func(addr netip.AddrPort) (net.Listener, error)

	mu       sync.Mutex
	server   *http.Server
	listener *blackholeListener
}

// NewHost returns a host for an address. It does not listen until [Host.Open].
func NewHost(addr netip.AddrPort, handler http.Handler) *Host {
	return &Host{addr: addr, handler: handler, listen: listenTCP}
}

// NewPipeHost returns a host for an address of a network in memory. It does not
// listen until [Host.Open].
func NewPipeHost(network *PipeNetwork, addr netip.AddrPort, handler http.Handler) *Host {
	return &Host{addr: addr, handler: handler, listen: network.Listen}
}

func listenTCP(addr netip.AddrPort) (listener net.Listener, err error) {
	return net.Listen("tcp", addr.String())
}

// Open listens on the host's address and serves in the background. It does nothing
// if the host is open, and fails if the address is in use.
func (h *Host) Open() (err error) {
	defer errors.DeferredAnnotatef(&err, "serving on %s", h.addr)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server != nil {
		return nil
	}
	listener, err := h.listen(h.addr)
	if err != nil {
		return err
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	h.server = &http.Server{Handler: h.handler, Protocols: protocols}
	h.listener = &blackholeListener{Listener: listener}
	go serveUntilClosed(h.server, h.listener)
	return nil
}

// serveUntilClosed runs a server until [Host.Close]. The error is dropped since it
// always reports that the server was closed.
func serveUntilClosed(server *http.Server, listener net.Listener) {
	_ = server.Serve(listener)
}

// Close stops listening and breaks all open connections.
func (h *Host) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server == nil {
		return
	}
	_ = h.server.Close() // an error in closing the listener has no effect
	h.server = nil
}

// BlackholeConns blackholes all open connections permanently: they stay open, but
// no data passes in either direction. New connections work.
func (h *Host) BlackholeConns() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listener != nil {
		h.listener.blackhole()
	}
}

// blackholeListener accepts connections that can be blackholed.
type blackholeListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*blackholeConn // accepted and not blackholed yet
}

// Accept implements [net.Listener].
func (l *blackholeListener) Accept() (conn net.Conn, err error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	wrapped := &blackholeConn{Conn: accepted, blackholed: make(chan struct{}), closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, wrapped)
	return wrapped, nil
}

// blackhole blackholes all connections accepted so far.
func (l *blackholeListener) blackhole() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		close(conn.blackholed)
	}
	l.conns = nil
}

// blackholeConn is a connection that can be blackholed: from then on reads block
// until it is closed and writes are discarded.
type blackholeConn struct {
	net.Conn
	blackholed chan struct{} // closed when the connection is blackholed
	closed     chan struct{} // closed by Close
	closeOnce  sync.Once
}

// Read implements [net.Conn].
func (c *blackholeConn) Read(data []byte) (n int, err error) {
	n, err = c.Conn.Read(data)
	select {
	case <-c.blackholed:
		return 0, c.discard()
	default:
		return n, err
	}
}

// discard drops all that arrives, so that the sender never blocks, and returns
// once the connection is closed on this side.
func (c *blackholeConn) discard() (err error) {
	_, _ = io.Copy(io.Discard, c.Conn) // ends when either side closes
	<-c.closed
	return net.ErrClosed
}

// Write implements [net.Conn].
func (c *blackholeConn) Write(data []byte) (n int, err error) {
	select {
	case <-c.blackholed:
		return len(data), nil
	default:
		return c.Conn.Write(data)
	}
}

// Close implements [net.Conn].
func (c *blackholeConn) Close() (err error) {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
