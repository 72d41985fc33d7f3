package entryvm

import (
	"net"
	"syscall"
)

// hasUnreadBytes reports whether a connection has received bytes that have not been
// read. It does not wait for any.
func hasUnreadBytes(conn net.Conn) (unread bool) {
	system, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	// Control fails if the connection is closed, which leaves nothing to read.
	_ = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return unread
}
