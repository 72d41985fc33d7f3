package http1

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
)

// dialFunc opens a connection, as [net.Dialer.DialContext] does.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// checkedDial returns a function that opens connections with dial and checks the heads
// of the answers on them.
func checkedDial(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (opened net.Conn, err error) {
		opened, err = dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(opened), nil
	}
}

// tlsDial returns a function that opens connections with dial and secures them with TLS.
func tlsDial(dial dialFunc, config *tls.Config) dialFunc {
	return func(ctx context.Context, network, address string) (opened net.Conn, err error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		plain, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		config := config.Clone()
		if config.ServerName == "" {
			config.ServerName = host
		}
		secured := tls.Client(tlsTransportConn{plain}, config)
		if err = secured.HandshakeContext(ctx); err != nil {
			_ = plain.Close() // not used
			return nil, err
		}
		return secured, nil
	}
}

// exchange is one request with its answer.
type exchange struct {
	conn        *conn       // on which the request is sent; nil before it is known
	headChecked atomic.Bool // whether the head of the answer has arrived and is valid

	written  chan struct{} // closed once the request was written or its writing has failed, but for what is buffered
	writeErr error         // with which it has failed; valid once written is closed
}

// newExchange returns the exchange of a request that is not sent yet.
func newExchange() *exchange { return &exchange{written: make(chan struct{})} }

// begin expects the next answer on a connection to be that of the exchange. net/http
// calls it before it writes the request, when the previous answer was read to its end.
func (e *exchange) begin(opened net.Conn) {
	if c, ok := opened.(*conn); ok {
		e.conn = c
		c.current.Store(e)
	}
}

// endWrite ends the writing of the request. net/http calls it once for each connection on
// which it writes the request.
func (e *exchange) endWrite(err error) {
	e.writeErr = err
	close(e.written)
}

// abort closes the connection of the exchange.
func (e *exchange) abort() {
	if e.conn != nil {
		_ = e.conn.Close() // it is not used again
	}
}

// conn is a connection that checks the head of the answer to each request, and that its
// end is not a reset.
type conn struct {
	net.Conn
	current atomic.Pointer[exchange] // of the last request

	closeOnce sync.Once
	closed    chan struct{} // closed by Close

	writing     sync.Mutex // held during each write
	writeFailed bool       // whether a write has failed; guarded by writing

	// The fields below belong to the goroutine that reads.
	checked *exchange // of the last bytes that were read
	head    headChecker
}

// newConn returns a connection that reads and writes on opened.
func newConn(opened net.Conn) *conn { return &conn{Conn: opened, closed: make(chan struct{})} }

// Close implements [net.Conn].
func (c *conn) Close() (err error) {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Read implements [net.Conn]. It returns no byte of a read that makes a head malformed.
func (c *conn) Read(buffer []byte) (count int, err error) {
	count, err = c.Conn.Read(buffer)
	if headErr := c.check(buffer[:count]); headErr != nil {
		return 0, headErr
	}
	if errors.Is(err, io.EOF) {
		err = c.endOfRead()
	}
	return count, err
}

// check checks the bytes up to the end of the head of the current exchange.
func (c *conn) check(data []byte) (err error) {
	current := c.current.Load()
	if current == nil {
		return nil // no request was sent, which RoundTrip finds
	}
	if c.checked != current {
		c.checked, c.head = current, headChecker{}
	}
	if c.head.isComplete() {
		return nil
	}
	if err = c.head.check(data); err != nil {
		return err
	}
	if c.head.isComplete() {
		current.headChecked.Store(true)
	}
	return nil
}
