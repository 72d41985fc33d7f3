package http1

import (
	"net"
	"syscall"
	"time"

	"lentilmux.example/lentilmux"
)

const (
	// minAckPause and maxAckPause bound the time between two looks at what is
	// acknowledged, of which the kernel gives no notice.
	minAckPause = time.Millisecond
	maxAckPause = 32 * time.Millisecond
)

// ackState is what a peer has acknowledged of the bytes that were written on a connection.
type ackState struct {
	bytes uint64 // acknowledged so far
	isAll bool   // whether none is left
}

// awaitAcks waits until the peer, which has ended its side of a TCP connection, has
// acknowledged all bytes that were written on it. What is written is only in the buffers of
// the kernel at first, and a peer that has closed the connection acknowledges no more, but
// resets it when more arrives. The error says that the connection was reset or closed.
//
// A peer that goes on to acknowledge has not closed the connection, but may read slowly.
// The wait for it ends after [lentilmux.ToleratedSilence].
//
// It does not wait under TLS, nor where the kernel does not tell what was acknowledged: all
// counts as acknowledged then.
func awaitAcks(conn net.Conn) (err error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	started := time.Now()
	first, err := readAckState(raw)
	state := first
	for pause := minAckPause; err == nil && !state.isAll; pause = min(2*pause, maxAckPause) {
		if state.bytes > first.bytes && time.Since(started) >= lentilmux.ToleratedSilence {
			return nil
		}
		time.Sleep(pause)
		state, err = readAckState(raw)
	}
	return err
}
