package http1

import (
	"io"
	"net"

	"github.com/juju/errors"
)

// An answer with neither a length nor chunks ends with its connection, so the end of the
// connection must be told from a reset. Three things pass a reset off as an end:
//
//   - The kernel reports a reset once. If a write of the request gets it, the next read
//     returns the end of the connection.
//   - An upstream that closes a connection while some of the request is on its way ends it
//     in order first, and resets it when that arrives.
//   - crypto/tls returns the end of the TCP connection, which anybody on the way can
//     cause, as the end of what the peer has sent.

const (
	// ErrCutShort is the error of an answer whose connection broke while the request was
	// being written, or was on its way.
	ErrCutShort = errors.ConstError("connection broke while the request was being written")
	// ErrNoCloseNotify is the error of an answer whose connection ended without the
	// message with which TLS ends one.
	ErrNoCloseNotify = errors.ConstError("TLS connection ended without close_notify")
)

// endOfRead returns the error of a read that met the end of the connection: [io.EOF] if
// the peer has ended its side in order, or [ErrCutShort] if it has closed the connection
// before it received the request. In the body of an answer it waits until one of the two is
// known: an upstream may answer and end its side before it reads the rest of the request.
func (c *conn) endOfRead() error {
	if c.checked == nil || !c.head.isComplete() {
		return io.EOF // no answer ends here
	}
	if c.writes.await() != nil || awaitAcks(c.Conn) != nil {
		return ErrCutShort
	}
	return io.EOF
}

// tlsTransportConn is a connection under TLS. TLS says itself when the peer has ended its
// side, after which nothing is read; an earlier end is an error.
type tlsTransportConn struct {
	net.Conn
}

// Read implements [net.Conn].
func (c tlsTransportConn) Read(buffer []byte) (count int, err error) {
	count, err = c.Conn.Read(buffer)
	if errors.Is(err, io.EOF) {
		err = ErrNoCloseNotify
	}
	return count, err
}
