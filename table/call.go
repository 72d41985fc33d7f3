package table

import (
	"time"

	"lentilmux.example/lentilmux"
)

// CallState says what the log tells of a key.
type CallState int

// The states of a keyed call.
const (
	// CallClaiming has an own intent that was not read back yet.
	CallClaiming CallState = iota
	// CallRunning has a winning intent and no outcome.
	CallRunning
	// CallReleased had an intent that was withdrawn before it ran.
	CallReleased
	// CallAnswered has a reply to remember.
	CallAnswered
	// CallUnknown has an outcome that nobody knows.
	CallUnknown
)

// String returns the state as queries show it.
func (c CallState) String() string {
	return [...]string{"claiming", "running", "released", "answered", "unknown"}[c]
}

// Call is what the node knows of one idempotency key. Key holds the workspace
// too.
type Call struct {
	Key         string
	State       CallState
	CreatedAt   time.Time
	Fingerprint lentilmux.Fingerprint
	IntentID    string // ID of the winning intent
	VM          string // that holds the winning intent
	Incarnation string
	Request     lentilmux.RequestID // own request that holds or claims the key
	Reply       lentilmux.ServiceReply
	Truncated   bool
}

// PendingAppend is an own record that was not read back from the log yet.
type PendingAppend struct {
	ID         string // kind and ID of the record
	Record     lentilmux.CallRecord
	AppendedAt time.Time
	Tries      int
}

// CrashSuspect is a fingerprint that crashed an upstream.
type CrashSuspect struct {
	Fingerprint string
	Upstreams   []string // that it crashed
	CrashedAt   time.Time
}

// Calls is the table of [Call] rows.
type Calls struct {
	Rows     []Call
	SweepRow int // row that was last checked for its age
	index    Index
}

// Find returns the row of key, or nil.
func (t *Calls) Find(key string) *Call {
	row, ok := t.index.Find(key)
	if !ok {
		return nil
	}
	return &t.Rows[row]
}

// Put adds the row, or replaces the one with the same key.
func (t *Calls) Put(row Call) *Call {
	if old := t.Find(row.Key); old != nil {
		*old = row
		return old
	}
	t.index.put(row.Key, len(t.Rows))
	t.Rows = append(t.Rows, row)
	return &t.Rows[len(t.Rows)-1]
}

// Remove removes the row of key, if there is one.
func (t *Calls) Remove(key string) {
	row, ok := t.index.Find(key)
	if !ok {
		return
	}
	last := len(t.Rows) - 1
	moved := t.Rows[last]
	t.Rows[row] = moved
	t.Rows[last] = Call{}
	t.Rows = t.Rows[:last]
	t.index.remove(key, moved.Key)
}

// PendingAppends is the table of [PendingAppend] rows.
type PendingAppends struct {
	Rows  []PendingAppend
	index Index
}

// Find returns the row of id, or nil.
func (t *PendingAppends) Find(id string) *PendingAppend {
	row, ok := t.index.Find(id)
	if !ok {
		return nil
	}
	return &t.Rows[row]
}

// Put adds the row, or replaces the one with the same key.
func (t *PendingAppends) Put(row PendingAppend) *PendingAppend {
	if old := t.Find(row.ID); old != nil {
		*old = row
		return old
	}
	t.index.put(row.ID, len(t.Rows))
	t.Rows = append(t.Rows, row)
	return &t.Rows[len(t.Rows)-1]
}

// Remove removes the row of id, if there is one.
func (t *PendingAppends) Remove(id string) {
	row, ok := t.index.Find(id)
	if !ok {
		return
	}
	last := len(t.Rows) - 1
	moved := t.Rows[last]
	t.Rows[row] = moved
	t.Rows[last] = PendingAppend{}
	t.Rows = t.Rows[:last]
	t.index.remove(id, moved.ID)
}

// CrashSuspects is the table of [CrashSuspect] rows.
type CrashSuspects struct {
	Rows  []CrashSuspect
	index Index
}

// Find returns the row of fingerprint, or nil.
func (t *CrashSuspects) Find(fingerprint string) *CrashSuspect {
	row, ok := t.index.Find(fingerprint)
	if !ok {
		return nil
	}
	return &t.Rows[row]
}

// Put adds the row, or replaces the one with the same key.
func (t *CrashSuspects) Put(row CrashSuspect) *CrashSuspect {
	if old := t.Find(row.Fingerprint); old != nil {
		*old = row
		return old
	}
	t.index.put(row.Fingerprint, len(t.Rows))
	t.Rows = append(t.Rows, row)
	return &t.Rows[len(t.Rows)-1]
}

// Remove removes the row of fingerprint, if there is one.
func (t *CrashSuspects) Remove(fingerprint string) {
	row, ok := t.index.Find(fingerprint)
	if !ok {
		return
	}
	last := len(t.Rows) - 1
	moved := t.Rows[last]
	t.Rows[row] = moved
	t.Rows[last] = CrashSuspect{}
	t.Rows = t.Rows[:last]
	t.index.remove(fingerprint, moved.Fingerprint)
}
