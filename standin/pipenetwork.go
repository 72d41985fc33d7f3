package standin

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
)

// PipeNetwork connects clients and hosts within one process by [net.Pipe].
// Unlike a socket, a pipe lets the clock of a testing/synctest bubble advance
// while its ends wait, so that no timeout depends on the load of the machine.
type PipeNetwork struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*pipeListener
}

// NewPipeNetwork returns a network without hosts.
func NewPipeNetwork() *PipeNetwork {
	return &PipeNetwork{listeners: make(map[netip.AddrPort]*pipeListener)}
}

// Listen listens at an address. It fails if the address is in use.
func (n *PipeNetwork) Listen(addr netip.AddrPort) (listener net.Listener, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[addr] != nil {
		return nil, &net.OpError{Op: "listen", Net: "pipe", Err: syscall.EADDRINUSE}
	}
	l := &pipeListener{network: n, addr: addr, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// DialContext connects to the host at an address. The name of the network is
// ignored.
func (n *PipeNetwork) DialContext(ctx context.Context, _, address string) (conn net.Conn, err error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: err}
	}
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: syscall.ECONNREFUSED}
	}
	client, server := net.Pipe()
	select {
	case l.accepted <- server:
		return client, nil
	case <-l.closed:
		err = syscall.ECONNREFUSED
	case <-ctx.Done():
		err = ctx.Err()
	}
	return nil, &net.OpError{Op: "dial", Net: "pipe", Err: err}
}

// pipeListener implements [net.Listener] for one address of a network.
type pipeListener struct {
	network   *PipeNetwork
	addr      netip.AddrPort
	accepted  chan net.Conn
	closed    chan struct{} // closed by Close
	closeOnce sync.Once
}

// Accept implements [net.Listener].
func (l *pipeListener) Accept() (conn net.Conn, err error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements [net.Listener].
func (l *pipeListener) Close() (err error) {
	l.closeOnce.Do(func() {
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.addr)
		close(l.closed)
	})
	return nil
}

// Addr implements [net.Listener].
func (l *pipeListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }
