package lentilmux

import "time"

// CallRecordKind is the kind of a record of [StreamCalls].
type CallRecordKind string

// The kinds of call records.
const (
	// CallRecordIntent claims an idempotency key. The first intent in log order wins.
	CallRecordIntent CallRecordKind = "intent"
	// CallRecordOutcome closes the intent with the same ID.
	CallRecordOutcome CallRecordKind = "outcome"
	// CallRecordCrash counts a crashed upstream against the fingerprint of a request.
	CallRecordCrash CallRecordKind = "crash"
	// CallRecordRelease ends the quarantine of a fingerprint.
	CallRecordRelease CallRecordKind = "release"
	// CallRecordTimeline is the first record of a timeline. Calls with keys from
	// before it may be missing.
	CallRecordTimeline CallRecordKind = "timeline"
)

// CallRecord is an entry of [StreamCalls]. The set fields depend on its kind.
type CallRecord struct {
	Kind        CallRecordKind `json:"kind"`
	ID          string         `json:"id"`          // of the intent; a crash or release has an ID of its own
	VM          string         `json:"vm"`          // that appended the record
	Incarnation string         `json:"incarnation"` // start of that VM's process
	Key         string         `json:"key,omitempty"`
	CreatedAt   time.Time      `json:"born,omitzero"`
	Fingerprint Fingerprint    `json:"fingerprint,omitempty"`
	Parts       []PromptPart   `json:"parts,omitempty"` // of a crash before any token: parts of the prompt that other requests may share
	Outcome     Outcome        `json:"outcome,omitempty"`
	Upstream    string         `json:"upstream,omitempty"`
	Status      int            `json:"status,omitempty"`
	ContentType string         `json:"content_type,omitempty"`
	Body        []byte         `json:"body,omitempty"`
	Truncated   bool           `json:"truncated,omitempty"` // Body was too large to keep
	Timeline    Timeline       `json:"timeline,omitempty"`
}

// CallAppendEffect appends a record to [StreamCalls].
type CallAppendEffect struct {
	Record CallRecord
}

// CallPageMsg carries a page of entries read from [StreamCalls].
type CallPageMsg struct {
	Timeline   Timeline // of the offsets
	RestoredAt uint64   // if Timeline has risen: first offset whose entry differs from the one read before
	Start      uint64   // the oldest offset still kept
	End        uint64   // the offset that the next entry will get
	Entries    []CallEntry
}

// CallEntry is an entry of [StreamCalls]. If DecodeError is set, the entry
// could not be decoded and Record is empty.
type CallEntry struct {
	Offset      uint64
	At          time.Time
	Record      CallRecord
	DecodeError string
}
