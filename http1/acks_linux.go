package http1

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// readAckState returns what the peer has acknowledged on a TCP socket. It returns an error
// if the connection was reset or closed.
func readAckState(socket syscall.RawConn) (state ackState, err error) {
	var info *unix.TCPInfo
	var infoErr error
	err = socket.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	switch {
	case err != nil:
		return ackState{}, err
	case infoErr != nil:
		return ackState{isAll: true}, nil // the kernel does not tell
	case info.State == unix.BPF_TCP_CLOSE:
		return ackState{}, unix.ECONNRESET
	}
	return ackState{bytes: info.Bytes_acked, isAll: info.Unacked == 0 && info.Notsent_bytes == 0}, nil
}
