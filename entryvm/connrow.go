package entryvm

import (
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"github.com/juju/errors"
)

// newConnGrace is how long a drain leaves an accepted connection open for its first
// request, which a caller sends as soon as the connection is open.
const newConnGrace = 300 * time.Millisecond

// connEnd is the reason why a connection of a server was closed.
type connEnd string

// The reasons. The value is a label of a metric.
const (
	connEndAnswered      connEnd = "answered"       // by this VM, after a response
	connEndCaller        connEnd = "caller_closed"  // by the caller
	connEndReset         connEnd = "caller_reset"   // by the caller or the network
	connEndIdle          connEnd = "idle_timeout"   // by this VM: no request came
	connEndHeaderTimeout connEnd = "header_timeout" // by this VM: a request's header did not arrive completely
	connEndMalformed     connEnd = "malformed"      // by this VM: the request could not be read
	connEndDrained       connEnd = "drained"        // by this VM: no request came during a drain
	connEndStopped       connEnd = "stopped"        // by this VM: the server was closed
)

// connRow is one connection of a server. Its fields are guarded by the table's mutex.
type connRow struct {
	net.Conn
	table *connTable

	answered bool      // whether a response has ended
	since    time.Time // when the connection was accepted or its last response ended
	received int64     // bytes read since then
	sent     int64     // bytes written since then
	handled  bool      // whether a handler has the request read since then
	readErr  error     // of the last read
	unread   bool      // whether bytes had arrived but were not read when this VM closed the connection
	deadline time.Time // for reads, as set by the server; 0 for none
}

// Read implements [net.Conn]. During a drain it fails at the earlier deadline of
// [connRow.applyDeadline] only if no byte of a request has arrived.
func (r *connRow) Read(buffer []byte) (n int, err error) {
	for {
		n, err = r.Conn.Read(buffer)
		if !r.recordRead(n, err) {
			return n, err
		}
	}
}

// recordRead records the result of a read. It reports whether the read has to be
// repeated, since bytes arrived at the deadline that the drain set.
func (r *connRow) recordRead(n int, err error) (repeat bool) {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	drained := t.draining && r.received == 0
	r.received += int64(n)
	r.readErr = err
	if !drained || n > 0 {
		if drained {
			_ = r.Conn.SetReadDeadline(r.deadline) // the next read reports it
		}
		return false
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) || !hasUnreadBytes(r.Conn) || !r.deadline.IsZero() && t.clock().After(r.deadline) {
		return false
	}
	_ = r.Conn.SetReadDeadline(r.deadline) // the next read reports it
	return true
}

// Write implements [net.Conn].
func (r *connRow) Write(data []byte) (n int, err error) {
	n, err = r.Conn.Write(data)
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.sent += int64(n)
	return n, err
}

// Close implements [net.Conn].
func (r *connRow) Close() (err error) {
	unread := hasUnreadBytes(r.Conn)
	r.table.mu.Lock()
	r.unread = r.unread || unread
	r.table.mu.Unlock()
	return r.Conn.Close()
}

// CloseWrite closes the sending half, so that the caller can read an error that the
// server answers before it has read the whole request.
func (r *connRow) CloseWrite() (err error) { return closeWrite(r.Conn) }

// closeWrite closes the sending half of a connection, if it can be closed alone.
func closeWrite(conn net.Conn) (err error) {
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetDeadline implements [net.Conn].
func (r *connRow) SetDeadline(deadline time.Time) (err error) {
	if err := r.SetReadDeadline(deadline); err != nil {
		return err
	}
	return r.SetWriteDeadline(deadline)
}

// SetReadDeadline implements [net.Conn].
func (r *connRow) SetReadDeadline(deadline time.Time) (err error) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.deadline = deadline
	return r.applyDeadline()
}

// applyDeadline sets the deadline for reads: that of the server, or during a drain, if
// no byte of a request has been read, the end of the last response or of newConnGrace.
func (r *connRow) applyDeadline() (err error) {
	deadline := r.deadline
	if r.table.draining && r.received == 0 {
		deadline = r.since
		if !r.answered {
			deadline = deadline.Add(newConnGrace)
		}
	}
	return r.Conn.SetReadDeadline(deadline)
}

// NetConn returns the connection below.
func (r *connRow) NetConn() net.Conn { return r.Conn }

// end returns why the connection was closed.
func (r *connRow) end() connEnd {
	timedOut := errors.Is(r.readErr, os.ErrDeadlineExceeded)
	switch {
	case r.handled:
		return connEndAnswered
	case r.readErr == io.EOF:
		return connEndCaller
	case timedOut && r.received > 0:
		return connEndHeaderTimeout
	case timedOut && r.table.draining:
		return connEndDrained
	case timedOut:
		return connEndIdle
	case errors.Is(r.readErr, net.ErrClosed):
		return connEndStopped
	case r.readErr != nil:
		return connEndReset
	case r.sent > 0:
		return connEndMalformed
	}
	return connEndStopped
}

// lostRequest reports whether the connection was closed although bytes of a request
// had arrived that no handler has seen.
func (r *connRow) lostRequest() bool { return !r.handled && (r.received > 0 || r.unread) }

// describe returns what is known of a closed connection, for the log.
func (r *connRow) describe(now time.Time, draining bool) string {
	return fmt.Sprintf("read=%d unread=%t sent=%d since=%s draining=%t", r.received, r.unread, r.sent, now.Sub(r.since).Round(time.Millisecond), draining)
}
