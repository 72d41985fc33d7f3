package service

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout returns the control function of a dialer that bounds how long
// sent bytes may stay without an acknowledgement.
func userTimeout(timeout time.Duration) func(network, address string, conn syscall.RawConn) error {
	return func(_, _ string, conn syscall.RawConn) (err error) {
		var set error
		err = conn.Control(func(fd uintptr) {
			set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return set
	}
}
