package service

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tcpUserTimeout returns a [net.Dialer] control function that sets
// TCP_USER_TIMEOUT: the kernel closes the connection if sent data stays
// unacknowledged for longer than timeout.
func tcpUserTimeout(timeout time.Duration) func(network, address string, conn syscall.RawConn) error {
	return func(_, _ string, conn syscall.RawConn) (err error) {
		var optionErr error
		err = conn.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optionErr
	}
}
