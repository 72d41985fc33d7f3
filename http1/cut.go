package http1

import (
	"io"
	"net"

	"github.com/juju/errors"
)

// An answer with neither a length nor chunks ends with its connection, so the end of the
// connection must be told from a reset. Two things pass a reset off as an end:
//
//   - The kernel reports a reset once. If a write of the request gets it, the next read
//     returns the end of the connection.
//   - crypto/tls returns the end of the TCP connection, which anybody on the way can
//     cause, as the end of what the peer has sent.

const (
	// ErrCutShort is the error of an answer whose connection broke while the request was
	// being written.
	ErrCutShort = errors.ConstError("connection broke while the request was being written")
	// ErrNoCloseNotify is the error of an answer whose connection ended without the
	// message with which TLS ends one.
	ErrNoCloseNotify = errors.ConstError("TLS connection ended without close_notify")
)

// Write implements [net.Conn].
func (c *conn) Write(data []byte) (count int, err error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	count, err = c.Conn.Write(data)
	c.writeFailed = c.writeFailed || err != nil
	return count, err
}

// endOfRead returns the error of a read that met the end of the connection: [io.EOF] if
// the peer has ended its side, or [ErrCutShort] if a write has failed, which then got the
// reset. It waits for a write in progress, whose result is not known yet: an upstream may
// answer and end its side before it reads the rest of a request.
func (c *conn) endOfRead() error {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeFailed {
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
