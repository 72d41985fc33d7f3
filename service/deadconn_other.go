//go:build !linux

package service

import (
	"syscall"
	"time"
)

// userTimeout does nothing where the system has no such bound.
func userTimeout(time.Duration) func(network, address string, conn syscall.RawConn) error {
	return nil
}
