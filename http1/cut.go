package http1

import (
	"io"

	"github.com/juju/errors"
)

// An answer with neither a length nor chunks ends with its connection, so the end of the
// connection must be told from a reset. The kernel reports a reset once: if a write of the
// request gets it, the next read returns the end of the connection.

// ErrCutShort is the error of an answer whose connection broke while the request was being
// written.
const ErrCutShort = errors.ConstError("connection broke while the request was being written")

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
