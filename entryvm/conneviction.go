package entryvm

import (
	"bytes"
	"context"
	"time"

	"lentilmux.example/lentilmux"
)

// evictionSample is the number of connections that are compared to find the one to be
// closed. The rows of a table come in random order, so that a connection among the oldest
// is found without a scan of all; with fewer connections the choice is exact.
const evictionSample = 64

// connUse says how a connection is used. Those with a lower value are closed first when a
// limit is reached.
type connUse int

// The uses. A connection is proven once a handler has called [ConnUse.Prove]: a request
// with an Authorization was answered by an upstream, on a route for anonymous callers also
// one whose key is not valid, or a request had the headers of one that a peer forwards. A
// connection with a request that a handler may pass on to an upstream is never closed for
// a limit.
const (
	useIdleUnproven connUse = iota
	useReadingUnproven
	useIdleProven
	useReadingProven
	useHandled
)

// use returns how the connection is used. All connections of a table with ageOnly have
// the same use.
func (r *connRow) use() (use connUse) {
	use = useIdleUnproven
	switch {
	case r.table.ageOnly && !r.evicted:
		return useIdleUnproven
	case r.evicted || r.handled && !r.readsBody:
		return useHandled
	case r.received > 0 || r.handled:
		use = useReadingUnproven
	}
	if r.proven {
		use += useIdleProven
	}
	return use
}

// closesBefore reports whether r is closed before other when a limit is reached: by use,
// then the larger head if byHead is set, then the older one.
func (r *connRow) closesBefore(other *connRow, byHead bool) bool {
	switch {
	case other == nil:
		return true
	case r.use() != other.use():
		return r.use() < other.use()
	case byHead && r.headBytes != other.headBytes:
		return r.headBytes > other.headBytes
	}
	return r.since.Before(other.since)
}

// readBufferBytes is the size of the buffer through which net/http reads a connection.
const readBufferBytes = 4 << 10

// findVictim returns the connection to be closed first, or nil if all have a request that
// may have been passed on. With byHead it returns one whose head takes memory.
func (t *connTable) findVictim(byHead bool) (victim *connRow) {
	compared := 0
	for row := range t.rows {
		if compared++; compared > evictionSample && victim != nil {
			break
		}
		if row.use() != useHandled && (!byHead || row.headBytes > 0) && row.closesBefore(victim, byHead) {
			victim = row
		}
	}
	return victim
}

// evict closes a connection for a limit. Its request, if there is one, is not handled.
func (t *connTable) evict(row *connRow, limit string) {
	row.evicted = true
	t.evictedCount++
	t.releaseHead(row)
	_ = row.Conn.Close() // its goroutine notices
	t.unreported = append(t.unreported, limit)
}

// makeRoom closes connections until one more may be open. It reports whether it may.
func (t *connTable) makeRoom() bool {
	t.mu.Lock()
	defer t.unlockAndReport()
	for t.limits.Conns > 0 && len(t.rows)-t.evictedCount >= t.limits.Conns {
		victim := t.findVictim(false)
		if victim == nil {
			t.unreported = append(t.unreported, limitConnections)
			return false
		}
		t.evict(victim, limitConnections)
	}
	return true
}

// holdHead adds what was read of a request's head to what heads hold, and closes
// connections until that is within the limit.
func (t *connTable) holdHead(row *connRow, data []byte) {
	if row.evicted || len(data) == 0 {
		return
	}
	row.noteRest(data)
	if row.handled {
		return
	}
	held := headMemory(data)
	row.headBytes += held
	t.headBytes += held
	t.boundHeads()
}

// headMemory returns the memory that a part of a request's head takes, in bytes.
func headMemory(data []byte) (size int64) {
	return int64(len(data)) + headLineBytes*int64(bytes.Count(data, []byte{'\n'}))
}

// boundHeads closes connections until what heads hold is within the limit.
func (t *connTable) boundHeads() {
	for t.limits.HeadBytes > 0 && t.headBytes > t.limits.HeadBytes {
		victim := t.findVictim(true)
		if victim == nil {
			return // not expected: the connection whose head has grown can be closed itself
		}
		t.evict(victim, limitHeads)
	}
}

// noteRest records a bound of what data, which was just read, holds of the head of the next
// request. net/http reads into a buffer of readBufferBytes, and a longer read goes past it.
// Its read in the background, of one byte, leaves in the buffer what was there.
func (r *connRow) noteRest(data []byte) {
	switch {
	case len(data) == 1:
		r.restBytes = min(r.restBytes+headMemory(data), readBufferBytes*(1+headLineBytes))
	case len(data) > readBufferBytes:
		r.restBytes = 0
	case r.handled: // data may end a body anywhere
		r.restBytes = headMemory(data)
	default:
		r.restBytes = headMemory(afterHead(data))
	}
}

// afterHead returns what follows the first empty line in data, or data if there is none.
// A head that ends in data ends there or later. The empty line may have begun before data.
func afterHead(data []byte) (rest []byte) {
	for rest = data; ; {
		line, next, found := bytes.Cut(rest, []byte{'\n'})
		if !found {
			return data
		}
		if rest = next; len(line) == 0 || string(line) == "\r" {
			return rest
		}
	}
}

// holdRest makes what may have been read of the next request's head the head that a
// connection holds, when its request has been answered.
func (t *connTable) holdRest(row *connRow) {
	t.releaseHead(row)
	if row.evicted {
		return
	}
	row.headBytes = row.restBytes
	t.headBytes += row.headBytes
	t.boundHeads()
}

// releaseHead removes a connection's head from what heads hold.
func (t *connTable) releaseHead(row *connRow) {
	t.headBytes -= row.headBytes
	row.headBytes = 0
}

// ConnUse is what a handler tells of the use of a request's connection.
type ConnUse struct{ row *connRow }

// ConnUseOf returns the use of the connection of the request with a context. It has no
// effect if the connection belongs to no server of a VM.
func ConnUseOf(ctx context.Context) ConnUse {
	row, _ := ctx.Value(connRowKey{}).(*connRow)
	return ConnUse{row: row}
}

// Prove records that an upstream has answered a request with an Authorization, or that a
// request had the headers of one that a peer forwards.
func (c ConnUse) Prove() {
	if c.row == nil {
		return
	}
	c.row.table.mu.Lock()
	defer c.row.table.mu.Unlock()
	c.row.proven = true
}

// countRequest counts a request and returns the number on its connection so far.
func (c ConnUse) countRequest() (requests int) {
	if c.row == nil {
		return 0
	}
	c.row.table.mu.Lock()
	defer c.row.table.mu.Unlock()
	c.row.requests++
	return c.row.requests
}

// ReadBody reads a body with read, or waits for something else before anything is passed
// on. Only meanwhile the connection of a request that has reached its handler may be
// closed for a limit; then the error is [lentilmux.ErrNoMemory], and the request must not
// be passed on.
func (c ConnUse) ReadBody(read func() error) (err error) {
	if c.row == nil {
		return read()
	}
	c.setReadsBody(true)
	err = read()
	if evicted := c.setReadsBody(false); evicted {
		return lentilmux.ErrNoMemory
	}
	return err
}

// setReadsBody records whether the body is read. It reports whether the connection was
// closed for a limit.
func (c ConnUse) setReadsBody(reads bool) (evicted bool) {
	c.row.table.mu.Lock()
	defer c.row.table.mu.Unlock()
	c.row.readsBody = reads
	return c.row.evicted
}

// BodyDeadline returns the time by which a body has to arrive: the caller's deadline, but
// within the server's limit.
func (c ConnUse) BodyDeadline(deadline time.Time) time.Time {
	if c.row == nil || c.row.table.limits.BodyTime == 0 {
		return deadline
	}
	if limit := time.Now().Add(c.row.table.limits.BodyTime); limit.Before(deadline) {
		return limit
	}
	return deadline
}
