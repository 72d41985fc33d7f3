package http1

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// isAcknowledged reports whether the peer has acknowledged all that was written on a TCP
// socket. It returns an error if the connection was reset or closed.
func isAcknowledged(socket syscall.RawConn) (acknowledged bool, err error) {
	var info *unix.TCPInfo
	var infoErr error
	err = socket.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	switch {
	case err != nil:
		return false, err
	case infoErr != nil:
		return true, nil // the kernel does not tell
	case info.State == unix.BPF_TCP_CLOSE:
		return false, unix.ECONNRESET
	}
	return info.Unacked == 0 && info.Notsent_bytes == 0, nil
}
