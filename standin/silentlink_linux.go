package standin

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// SilentLink is a listener whose link can fall silent and go on: meanwhile the
// kernel acknowledges no packet that arrives, on open connections as well as for
// new ones, and nothing is sent. Packets that are sent again arrive afterwards. It
// needs no privileges, since a socket may filter the packets that it receives.
type SilentLink struct {
	net.Listener

	mu      sync.Mutex
	conns   []*silentLinkConn
	resumed chan struct{} // closed when the silence ends; nil while there is none
}

// ListenSilentLink returns a listener at a loopback address.
func ListenSilentLink(ctx context.Context, address string) (link *SilentLink, err error) {
	config := &net.ListenConfig{}
	config.SetMultipathTCP(false) // such sockets take no filter
	listener, err := config.Listen(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &SilentLink{Listener: listener}, nil
}

// Accept implements [net.Listener].
func (l *SilentLink) Accept() (conn net.Conn, err error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	silent := &silentLinkConn{Conn: accepted, link: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, silent)
	if l.resumed != nil {
		return silent, setPacketFilter(accepted, true)
	}
	return silent, nil
}

// Silence makes the link fall silent.
func (l *SilentLink) Silence() (err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.resumed == nil {
		l.resumed = make(chan struct{})
	}
	return l.setFilters(true)
}

// Resume ends the silence.
func (l *SilentLink) Resume() (err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.resumed != nil {
		close(l.resumed)
		l.resumed = nil
	}
	return l.setFilters(false)
}

// setFilters makes the sockets of the link drop what they receive, or stops them.
func (l *SilentLink) setFilters(drop bool) (err error) {
	if err := setPacketFilter(l.Listener, drop); err != nil {
		return err
	}
	for _, conn := range l.conns {
		if err := setPacketFilter(conn.Conn, drop); err != nil {
			return err
		}
	}
	return nil
}

// forget removes a connection that is closed.
func (l *SilentLink) forget(closed *silentLinkConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = slices.DeleteFunc(l.conns, func(conn *silentLinkConn) bool { return conn == closed })
}

// silence returns a channel that is closed when the silence ends, or nil.
func (l *SilentLink) silence() (resumed chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.resumed
}

// silentLinkConn is a connection of a [SilentLink].
type silentLinkConn struct {
	net.Conn
	link *SilentLink
}

// Write implements [net.Conn]. It waits until the silence ends.
func (c *silentLinkConn) Write(data []byte) (n int, err error) {
	if resumed := c.link.silence(); resumed != nil {
		<-resumed
	}
	return c.Conn.Write(data)
}

// CloseWrite ends the side of the upstream, also during a silence.
func (c *silentLinkConn) CloseWrite() (err error) { return c.Conn.(*net.TCPConn).CloseWrite() }

// Close implements [net.Conn].
func (c *silentLinkConn) Close() (err error) {
	c.link.forget(c)
	return c.Conn.Close()
}

// setPacketFilter makes a socket drop all packets that it receives, or none.
func setPacketFilter(socket any, drop bool) (err error) {
	raw, err := socket.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		if !drop {
			optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
			return
		}
		rejectAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
		optionErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &rejectAll[0]})
	})
	if err != nil {
		return err
	}
	return optionErr
}
