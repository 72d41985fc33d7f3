package entryvm

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"lentilmux.example/lentilmux"
)

// connTable holds the open connections of one HTTP server, so that each close of a
// connection has a cause, and a drain loses no request of which bytes were read.
//
// [http.Server.Shutdown] is not used for a drain: it closes connections whose next
// request has arrived in part, and answers no request that it reads afterwards.
type connTable struct {
	logClosed   func(lentilmux.Decision)
	count       func(cause connEnd)
	limits      ConnLimits
	reportLimit func(limit string)
	// ageOnly makes the oldest connection go first when a limit is reached, whatever its use,
	// also while a handler has its request. It is set for servers that pass on nothing to
	// upstreams: there, requests whose refused bodies are still read could fill all places,
	// and a probe must be admitted and go last.
	ageOnly bool

	mu           sync.Mutex
	rows         map[*connRow]struct{}
	evictedCount int      // rows that were closed for a limit
	headBytes    int64    // memory that the heads of requests hold, in bytes
	unreported   []string // limits that have ended connections, for unlockAndReport
	draining     bool
	empty        chan struct{} // closed when there is no row; nil if nothing waits for that
}

// newConnTable returns an empty table. Closes are counted by count, and those that
// lose a request are logged by log.
func newConnTable(log func(lentilmux.Decision), count func(cause connEnd)) *connTable {
	return &connTable{logClosed: log, count: count, reportLimit: func(string) {}, rows: make(map[*connRow]struct{})}
}

// withLimits sets the limits of the table and the function that is told when one of them
// has ended a connection or a request. It returns the table.
func (t *connTable) withLimits(limits ConnLimits, report func(limit string)) *connTable {
	t.limits, t.reportLimit = limits, report
	return t
}

// unlockAndReport unlocks the table and then reports the limits that have ended
// connections: a log writer that blocks must not stop the reads of other connections.
func (t *connTable) unlockAndReport() {
	limits := t.unreported
	t.unreported = nil
	t.mu.Unlock()
	for _, limit := range limits {
		t.reportLimit(limit)
	}
}

// listen returns a listener whose connections are rows of the table.
func (t *connTable) listen(listener net.Listener) net.Listener {
	return &connListener{Listener: listener, table: t}
}

// install makes a server record the state of its connections in the table. During a
// drain its responses ask to close the connection.
func (t *connTable) install(server *http.Server) {
	handler, connState, connContext := server.Handler, server.ConnState, server.ConnContext
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if connState != nil {
			connState(conn, state)
		}
		t.setState(conn, state)
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, conn)
		}
		return context.WithValue(ctx, connRowKey{}, findConnRow(conn))
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		row, ok := r.Context().Value(connRowKey{}).(*connRow)
		if !ok || row == nil {
			handler.ServeHTTP(w, r)
			return
		}
		admitted, draining := t.markHandled(row)
		if !admitted {
			panic(http.ErrAbortHandler) // the connection is closed, nobody reads an answer
		}
		if draining {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
	server.Handler = boundRest(server.Handler)
}

// connRowKey is the key of the row of a request's connection in its context.
type connRowKey struct{}

// findConnRow returns the row of a server's connection, which may be wrapped in TLS, or
// nil if it has none.
func findConnRow(conn net.Conn) *connRow {
	for {
		switch x := conn.(type) {
		case *connRow:
			return x
		case interface{ NetConn() net.Conn }:
			conn = x.NetConn()
		default:
			return nil
		}
	}
}

// markHandled records that a handler has the request that a connection has read. The
// request is not admitted, and must not run, if its connection was closed for a limit.
// draining reports whether the server drains.
func (t *connTable) markHandled(row *connRow) (admitted, draining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row.handled = true
	return !row.evicted, t.draining
}

// setState records the state of a connection.
func (t *connTable) setState(conn net.Conn, state http.ConnState) {
	row := findConnRow(conn)
	if row == nil {
		return
	}
	switch state {
	case http.StateIdle:
		t.mu.Lock()
		defer t.unlockAndReport()
		row.received, row.sent, row.handled, row.answered, row.since = 0, 0, false, true, time.Now()
		t.holdRest(row)
	case http.StateClosed, http.StateHijacked:
		t.remove(row)
	}
}

// add adds an accepted connection.
func (t *connTable) add(conn net.Conn) *connRow {
	row := &connRow{Conn: conn, table: t, since: time.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows[row] = struct{}{}
	return row
}

// remove removes a closed connection, counts it, and logs it if a request was lost.
func (t *connTable) remove(row *connRow) {
	t.mu.Lock()
	_, open := t.rows[row]
	delete(t.rows, row)
	t.releaseHead(row)
	if open && row.evicted {
		t.evictedCount--
	}
	if len(t.rows) == 0 && t.empty != nil {
		close(t.empty)
		t.empty = nil
	}
	end, draining := row.end(), t.draining
	closed := row.describe(time.Now(), draining)
	t.mu.Unlock()
	if !open {
		return
	}
	t.count(end)
	if row.lostRequest() {
		t.logClosed(lentilmux.Decision{What: "connection_closed", Subject: row.RemoteAddr().String(), Chosen: string(end), Reason: closed})
	}
}

// drain closes each connection that waits for a request, a new one after newConnGrace,
// and waits until none is open or ctx ends, whose error it then returns. No connection
// must be accepted any more. Requests that have arrived are handled.
func (t *connTable) drain(ctx context.Context) (err error) {
	t.mu.Lock()
	t.draining = true
	for row := range t.rows {
		row.applyDeadline()
	}
	if len(t.rows) == 0 {
		t.mu.Unlock()
		return nil
	}
	if t.empty == nil {
		t.empty = make(chan struct{})
	}
	empty := t.empty
	t.mu.Unlock()
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// connListener adds the connections that it accepts to a table.
type connListener struct {
	net.Listener
	table *connTable
}

// Accept implements [net.Listener]. When as many connections are open as may be, it
// closes another one, or the new one if all have a request in flight.
func (l *connListener) Accept() (conn net.Conn, err error) {
	for {
		conn, err = l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.table.makeRoom() {
			return l.table.add(conn), nil
		}
		_ = conn.Close() // nothing was read from it
	}
}
