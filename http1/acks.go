package http1

import (
	"net"
	"syscall"
	"time"
)

const (
	// minAckPause and maxAckPause bound the time between two looks at what is
	// acknowledged, of which the kernel gives no notice.
	minAckPause = time.Millisecond
	maxAckPause = 32 * time.Millisecond
)

// awaitAcks waits until the peer has acknowledged all bytes that were written on a TCP
// connection. What is written is only in the buffers of the kernel at first, and a peer
// that has closed the connection resets it when more arrives. The error says that the
// connection was reset or closed. It does not wait under TLS, nor where the kernel does not
// tell what was acknowledged: all counts as acknowledged then.
func awaitAcks(conn net.Conn) (err error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	for pause := minAckPause; ; pause = min(2*pause, maxAckPause) {
		acknowledged, err := isAcknowledged(raw)
		if acknowledged || err != nil {
			return err
		}
		time.Sleep(pause)
	}
}
