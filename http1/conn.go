package http1

import (
	"context"
	"crypto/tls"
	"io"
	"net"
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
	bodyBytes   int64       // length of the request's body; 0 if it is not known
}

// begin expects the next answer on a connection to be that of the exchange. net/http
// calls it before it writes the request, when the previous answer was read to its end.
func (e *exchange) begin(opened net.Conn) {
	if c, ok := opened.(*conn); ok {
		e.conn = c
		c.writes.begin(e.bodyBytes)
		c.current.Store(e)
	}
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
	writes  *requestWrites           // of the last request

	// The fields below belong to the goroutine that reads.
	checked *exchange // of the last bytes that were read
	head    headChecker
}

// newConn returns a connection that reads and writes on opened.
func newConn(opened net.Conn) *conn { return &conn{Conn: opened, writes: newRequestWrites()} }

// Write implements [net.Conn].
func (c *conn) Write(data []byte) (count int, err error) {
	count, err = c.Conn.Write(data)
	c.writes.record(data[:count], err)
	return count, err
}

// Close implements [net.Conn].
func (c *conn) Close() (err error) {
	err = c.Conn.Close()
	c.writes.record(nil, net.ErrClosed)
	return err
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
