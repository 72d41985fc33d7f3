package standin

import (
	"net"
	"net/http"
	"net/netip"
	"sync"

	"github.com/juju/errors"
)

// Host serves a handler on an address of its own. It can be closed and opened
// again, and the connections that are open can be made to go silent, as when
// something between the ends has lost track of them.
type Host struct {
	addr    netip.AddrPort
	handler http.Handler

	mu       sync.Mutex
	server   *http.Server
	listener *quietListener
}

// NewHost returns a host that is closed.
func NewHost(addr netip.AddrPort, handler http.Handler) *Host {
	return &Host{addr: addr, handler: handler}
}

// Open starts to listen and to serve.
func (h *Host) Open() (err error) {
	defer errors.DeferredAnnotatef(&err, "opening %s", h.addr)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server != nil {
		return nil
	}
	listener, err := net.Listen("tcp", h.addr.String())
	if err != nil {
		return err
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	h.server = &http.Server{Handler: h.handler, Protocols: protocols}
	h.listener = &quietListener{Listener: listener}
	go serve(h.server, h.listener)
	return nil
}

// serve runs a server until it is closed, which is the only way it ends.
func serve(server *http.Server, listener net.Listener) {
	_ = server.Serve(listener)
}

// Close breaks all connections and stops listening.
func (h *Host) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server == nil {
		return
	}
	_ = h.server.Close() // the listener's error changes nothing here
	h.server = nil
}

// BlackholeConns makes the connections that are open go silent for good.
func (h *Host) BlackholeConns() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listener != nil {
		h.listener.silence()
	}
}

// quietListener hands out connections that can go silent.
type quietListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*quietConn
}

// Accept implements [net.Listener].
func (l *quietListener) Accept() (conn net.Conn, err error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	quiet := &quietConn{Conn: accepted, silent: make(chan struct{}), closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, quiet)
	return quiet, nil
}

// silence silences all connections so far.
func (l *quietListener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		close(conn.silent)
	}
	l.conns = nil
}

// quietConn is a connection that, once silent, passes nothing on in either
// direction and stays open.
type quietConn struct {
	net.Conn
	silent chan struct{}
	closed chan struct{}
	once   sync.Once
}

// Read implements [net.Conn].
func (c *quietConn) Read(data []byte) (n int, err error) {
	n, err = c.Conn.Read(data)
	select {
	case <-c.silent:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

// Write implements [net.Conn].
func (c *quietConn) Write(data []byte) (n int, err error) {
	select {
	case <-c.silent:
		return len(data), nil
	default:
		return c.Conn.Write(data)
	}
}

// Close implements [net.Conn].
func (c *quietConn) Close() (err error) {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
