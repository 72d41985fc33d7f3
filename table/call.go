package table

import (
	"time"

	"lentilmux.example/lentilmux"
)

// CallState is the state of an idempotency key according to the log.
type CallState int

// The states of an idempotency key.
const (
	// CallClaiming means that this node appended an intent and has not read it
	// back yet.
	CallClaiming CallState = iota
	// CallRunning means that there is a winning intent and no outcome.
	CallRunning
	// CallReleased means that the winning intent ended without an outcome to
	// keep, because the call did not run or was a trial. The key can be claimed
	// again.
	CallReleased
	// CallAnswered means that the call was answered and its reply is stored.
	CallAnswered
	// CallUnknown means that the call may have run and its outcome is unknown.
	CallUnknown
)

// String returns the state as query results show it.
func (c CallState) String() string {
	return [...]string{"claiming", "running", "released", "answered", "unknown"}[c]
}

// Call is the state of one idempotency key.
type Call struct {
	Key           string // includes the workspace
	State         CallState
	CreatedAt     time.Time
	Fingerprint   lentilmux.Fingerprint  // of the request that claimed the key
	IntentID      string                 // ID of the winning intent
	IntentOffset  uint64                 // of the winning intent in the calls stream
	OutcomeOffset uint64                 // of the outcome in the calls stream; 0 before it was read
	VM            string                 // entry VM that appended the winning intent
	Incarnation   string                 // start of that VM's process
	Request       lentilmux.RequestID    // request of this node that holds or claims the key
	Reply         lentilmux.ServiceReply // valid in state CallAnswered
	Truncated     bool                   // whether the reply's body was too large to keep
}

// PendingAppend is a record that this node appended and has not read back from
// the log yet.
type PendingAppend struct {
	ID         string // kind and ID of the record, such as "intent/<ID>"
	Record     lentilmux.CallRecord
	AppendedAt time.Time // of the last try
	Tries      int       // appends after the first
}

// CrashSuspect is the fingerprint of requests that crash upstreams, or a part of
// their prompts.
type CrashSuspect struct {
	Fingerprint string
	Part        bool      // whether Fingerprint is a prompt part, which unlike requests share
	Upstreams   []string  // upstreams that it crashed
	CrashedAt   time.Time // of the last crash
}

// CrashEntry is a record of a crash, or of a release from quarantine, and its offset
// in the calls stream.
type CrashEntry struct {
	Offset uint64
	Record lentilmux.CallRecord
}

// maxCrashEntries is the number of records that [RecentCrashes] keeps.
const maxCrashEntries = 256

// RecentCrashes is the table of the last [CrashEntry] rows, the oldest first.
type RecentCrashes struct {
	Rows []CrashEntry
}

// Add appends a row. If the table is full, it drops the oldest row.
func (t *RecentCrashes) Add(row CrashEntry) {
	if len(t.Rows) == maxCrashEntries {
		t.Rows = append(t.Rows[:0], t.Rows[1:]...)
	}
	t.Rows = append(t.Rows, row)
}

// Calls is the table of [Call] rows.
type Calls struct {
	Rows     []Call
	SweepRow int // row that was last checked for expiry
	index    Index
}

// Find returns the row with the key, or nil.
func (t *Calls) Find(key string) *Call {
	row, ok := t.index.Find(key)
	if !ok {
		return nil
	}
	return &t.Rows[row]
}

// Put adds row, or replaces the row with the same key.
func (t *Calls) Put(row Call) *Call {
	if old := t.Find(row.Key); old != nil {
		*old = row
		return old
	}
	t.index.put(row.Key, len(t.Rows))
	t.Rows = append(t.Rows, row)
	return &t.Rows[len(t.Rows)-1]
}

// Remove removes the row with the key, if there is one.
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

// Find returns the row with the ID, or nil.
func (t *PendingAppends) Find(id string) *PendingAppend {
	row, ok := t.index.Find(id)
	if !ok {
		return nil
	}
	return &t.Rows[row]
}

// Put adds row, or replaces the row with the same key.
func (t *PendingAppends) Put(row PendingAppend) *PendingAppend {
	if old := t.Find(row.ID); old != nil {
		*old = row
		return old
	}
	t.index.put(row.ID, len(t.Rows))
	t.Rows = append(t.Rows, row)
	return &t.Rows[len(t.Rows)-1]
}

// Remove removes the row with the ID, if there is one.
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

// Find returns the row with the fingerprint, or nil.
func (t *CrashSuspects) Find(fingerprint string) *CrashSuspect {
	row, ok := t.index.Find(fingerprint)
	if !ok {
		return nil
	}
	return &t.Rows[row]
}

// Put adds row, or replaces the row with the same key.
func (t *CrashSuspects) Put(row CrashSuspect) *CrashSuspect {
	if old := t.Find(row.Fingerprint); old != nil {
		*old = row
		return old
	}
	t.index.put(row.Fingerprint, len(t.Rows))
	t.Rows = append(t.Rows, row)
	return &t.Rows[len(t.Rows)-1]
}

// Remove removes the row with the fingerprint, if there is one.
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
