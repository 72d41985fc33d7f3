package table

import (
	"time"

	"lentilmux.example/lentilmux"
)

// RequestState says where a request is on its way.
type RequestState int

// The states of a request.
const (
	// RequestClaiming waits until its key is won in the log.
	RequestClaiming RequestState = iota
	// RequestJoined waits for the outcome of another request with its key.
	RequestJoined
	// RequestQueued waits for capacity.
	RequestQueued
	// RequestRunning is with traffic.
	RequestRunning
	// RequestCrashCheck waits until it shows whether it crashed an upstream or was
	// only there when several broke.
	RequestCrashCheck
)

// String returns the state as queries show it.
func (r RequestState) String() string {
	return [...]string{"claiming", "joined", "queued", "running", "judged"}[r]
}

// Request is a request that is not finished.
type Request struct {
	Request         lentilmux.Request
	State           RequestState
	CorrelationID   lentilmux.CorrelationID // of the asker that waits, if any
	Pipeline        string
	Epoch           lentilmux.Epoch
	Upstreams       []string // of the running attempt, by stage
	ArrivedAt       time.Time
	QueuedAt        time.Time
	StartedAt       time.Time
	MayHaveRun      bool     // whether an upstream may have acted on it
	PendingKey      string   // the key that it claims or waits for
	HeldKeys        []string // the keys that it holds
	Attempts        int
	DeliveredTokens int      // given to the caller, as last reported
	FailedUpstreams []string // upstreams that failed it
	CrashCheckAt    time.Time
	NotBefore       time.Time // of the next attempt
}

// Requests is the table of [Request] rows.
type Requests struct {
	Rows  []Request
	index Index
}

// Find returns the row of id, or nil.
func (t *Requests) Find(id string) *Request {
	row, ok := t.index.Find(id)
	if !ok {
		return nil
	}
	return &t.Rows[row]
}

// Put adds the row, or replaces the one with the same key.
func (t *Requests) Put(row Request) *Request {
	if old := t.Find(string(row.Request.ID)); old != nil {
		*old = row
		return old
	}
	t.index.put(string(row.Request.ID), len(t.Rows))
	t.Rows = append(t.Rows, row)
	return &t.Rows[len(t.Rows)-1]
}

// Remove removes the row of id, if there is one.
func (t *Requests) Remove(id string) {
	row, ok := t.index.Find(id)
	if !ok {
		return
	}
	last := len(t.Rows) - 1
	moved := t.Rows[last]
	t.Rows[row] = moved
	t.Rows[last] = Request{}
	t.Rows = t.Rows[:last]
	t.index.remove(id, string(moved.Request.ID))
}

// Queue lists the queued requests, the next one first. It may name requests
// that are no longer queued.
type Queue struct {
	IDs []lentilmux.RequestID
}
