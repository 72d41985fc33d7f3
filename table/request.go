package table

import (
	"time"

	"lentilmux.example/lentilmux"
)

// RequestState is the state of a request that is not finished.
type RequestState int

// The states of a request.
const (
	// RequestClaiming means that the request waits for its intent to be read
	// back from the log.
	RequestClaiming RequestState = iota
	// RequestJoined means that the request waits for the outcome of another
	// request with the same key.
	RequestJoined
	// RequestQueued means that the request waits for capacity.
	RequestQueued
	// RequestRunning means that an attempt is in flight.
	RequestRunning
	// RequestCrashCheck means that an upstream crashed during the request and
	// that the crash, if counted, leads to quarantine. The request waits for a
	// moment, since crashes of several upstreams at the same time have a common
	// cause and are not counted against it.
	RequestCrashCheck
)

// String returns the state as query results show it.
func (r RequestState) String() string {
	return [...]string{"claiming", "joined", "queued", "running", "judged"}[r]
}

// Request is a request that is not finished.
type Request struct {
	Request         lentilmux.Request
	State           RequestState
	CorrelationID   lentilmux.CorrelationID // of the message that waits for an answer, if any
	Target          string                  // name of the pipeline or service
	Epoch           lentilmux.Epoch         // of the last attempt
	Upstreams       []string                // of the attempt in flight, by stage
	ArrivedAt       time.Time
	QueuedAt        time.Time
	StartedAt       time.Time // of the last attempt
	MayHaveRun      bool      // whether an upstream may have acted on it
	PendingKey      string    // key that it claims or waits for
	HeldKeys        []string  // keys that it has claimed
	Attempts        int       // not counting those that were refused without running
	DeliveredTokens int       // tokens delivered to the caller, as last reported
	FailedUpstreams []string  // upstreams on which an attempt failed
	CrashCheckUntil time.Time
	NotBefore       time.Time // end of the backoff before the next attempt
}

// Requests is the table of [Request] rows.
type Requests struct {
	Rows  []Request
	index Index
}

// Find returns the row with the ID, or nil.
func (t *Requests) Find(id string) *Request {
	row, ok := t.index.Find(id)
	if !ok {
		return nil
	}
	return &t.Rows[row]
}

// Put adds row, or replaces the row with the same key.
func (t *Requests) Put(row Request) *Request {
	if old := t.Find(string(row.Request.ID)); old != nil {
		*old = row
		return old
	}
	t.index.put(string(row.Request.ID), len(t.Rows))
	t.Rows = append(t.Rows, row)
	return &t.Rows[len(t.Rows)-1]
}

// Remove removes the row with the ID, if there is one.
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

// Queue lists the queued requests, the next one first. It may also hold IDs of
// requests that are no longer queued.
type Queue struct {
	IDs []lentilmux.RequestID
}
