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

// pipelinedGrace is the time in which a request that was read together with the one
// before it reaches its handler. A drain closes no connection sooner.
const pipelinedGrace = 50 * time.Millisecond

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
	connEndLimit         connEnd = "limit"          // by this VM: a limit was reached and this connection was given up
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

	proven    bool  // whether ConnUse.Prove was called
	readsBody bool  // whether the handler still reads the body or waits, so that nothing was passed on
	evicted   bool  // whether this VM closed the connection for a limit
	requests  int   // that a handler has counted
	headBytes int64 // memory that the head of the request holds, in bytes
	restBytes int64 // bound of what the last read holds of the next head, in bytes as for headBytes
}

// Read implements [net.Conn]. During a drain it fails at the earlier deadline of
// [connRow.applyDeadline] only if there is no request.
func (r *connRow) Read(buffer []byte) (n int, err error) {
	for {
		n, err = r.Conn.Read(buffer)
		if !r.recordRead(buffer[:n], err) {
			return n, err
		}
	}
}

// recordRead records the result of a read. It reports whether the read has to be
// repeated, since a request was there at the deadline that the drain set: its bytes have
// arrived, or were read together with the request before.
func (r *connRow) recordRead(data []byte, err error) (repeat bool) {
	r.table.mu.Lock()
	defer r.table.unlockAndReport()
	n := len(data)
	awaited := r.awaitsRequest()
	r.table.holdHead(r, data)
	r.received += int64(n)
	r.readErr = err
	if !r.table.draining {
		return false
	}
	if n > 0 {
		if awaited {
			_ = r.Conn.SetReadDeadline(r.deadline) // the next read reports it
		}
		return false
	}
	passed := !r.deadline.IsZero() && !time.Now().Before(r.deadline)
	if passed || !errors.Is(err, os.ErrDeadlineExceeded) || awaited && !hasUnreadBytes(r.Conn) {
		return false
	}
	_ = r.Conn.SetReadDeadline(r.deadline) // the next read reports it
	return true
}

// awaitsRequest reports whether no byte of a request has been read since the last
// response. A request may also have been read together with the one before it.
func (r *connRow) awaitsRequest() bool { return r.received == 0 && !r.handled }

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
// no request is known, the end of pipelinedGrace from now, for a new connection that of
// newConnGrace.
func (r *connRow) applyDeadline() (err error) {
	deadline := r.deadline
	if r.table.draining && r.awaitsRequest() {
		deadline = time.Now().Add(pipelinedGrace)
		if end := r.since.Add(newConnGrace); !r.answered && end.After(deadline) {
			deadline = end
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
	case r.evicted:
		return connEndLimit
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
// had arrived that no handler has seen. A close for a limit has a log line of its own.
func (r *connRow) lostRequest() bool {
	return !r.handled && !r.evicted && (r.received > 0 || r.unread)
}

// describe returns what is known of a closed connection, for the log.
func (r *connRow) describe(now time.Time, draining bool) string {
	return fmt.Sprintf("read=%d unread=%t sent=%d since=%s draining=%t", r.received, r.unread, r.sent, now.Sub(r.since).Round(time.Millisecond), draining)
}
