package lentilmux

import "time"

// CallRecordKind says what a record of [StreamCalls] states.
type CallRecordKind string

// The kinds of call records.
const (
	// CallIntent claims a key. The first in log order wins.
	CallIntent CallRecordKind = "intent"
	// CallOutcome closes the intent that it names.
	CallOutcome CallRecordKind = "outcome"
	// CallCrash states that a request crashed an upstream.
	CallCrash CallRecordKind = "crash"
	// CallRelease ends the quarantine of a fingerprint.
	CallRelease CallRecordKind = "release"
)

// CallRecord is an entry of [StreamCalls].
type CallRecord struct {
	Kind        CallRecordKind `json:"kind"`
	ID          string         `json:"id"` // of the intent
	VM          string         `json:"vm"`
	Incarnation string         `json:"incarnation"`
	Key         string         `json:"key,omitempty"`
	CreatedAt   time.Time      `json:"born,omitzero"`
	Fingerprint Fingerprint    `json:"fingerprint,omitempty"`
	Outcome     Outcome        `json:"outcome,omitempty"`
	Upstream    string         `json:"upstream,omitempty"`
	Status      int            `json:"status,omitempty"`
	ContentType string         `json:"content_type,omitempty"`
	Body        []byte         `json:"body,omitempty"`
	Truncated   bool           `json:"truncated,omitempty"` // the body was too large to keep
}

// CallAppendEffect appends a record to [StreamCalls].
type CallAppendEffect struct {
	Record CallRecord
}

// CallPageMsg brings what was read from [StreamCalls].
type CallPageMsg struct {
	Start   uint64
	End     uint64
	Entries []CallEntry
}

// CallEntry is a decoded entry. Bad tells why it could not be decoded.
type CallEntry struct {
	Offset      uint64
	At          time.Time
	Record      CallRecord
	DecodeError string
}
