//go:build !linux

package service

import (
	"syscall"
	"time"
)

// tcpUserTimeout returns no control function, since TCP_USER_TIMEOUT exists only
// on Linux.
func tcpUserTimeout(time.Duration) func(network, address string, conn syscall.RawConn) error {
	return nil
}
