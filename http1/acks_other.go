//go:build !linux

package http1

import "syscall"

// isAcknowledged returns true, since only Linux tells what the peer has acknowledged.
func isAcknowledged(syscall.RawConn) (acknowledged bool, err error) { return true, nil }
