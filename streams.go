package lentilmux

import (
	"context"
	"net/netip"
	"time"

	"github.com/juju/errors"
)

// ErrTruncated reports that the requested entries are no longer in the log.
const ErrTruncated = errors.ConstError("entries are no longer in the log")

// ErrCopyBehind reports that a peer's copy of a stream is too far behind the log
// to be used.
const ErrCopyBehind = errors.ConstError("copy of the stream is behind")

// The compacted streams that the system uses.
const (
	// StreamRules carries the operators' configuration.
	StreamRules Stream = "rules"
	// StreamUpstreams carries the records with which upstreams register.
	StreamUpstreams Stream = "members"
	// StreamVMs carries what the entry VMs publish: their addresses and the prompt
	// parts that they hold.
	StreamVMs Stream = "vms"
)

// CompactedLog reads and writes the platform's compacted streams, which keep the
// newest entry of each key without a time limit. Its reads are linearizable.
type CompactedLog interface {
	// Newest returns a page of the newest entries of the keys that sort after
	// previousKey. An empty previousKey starts with the first page.
	Newest(ctx context.Context, stream Stream, previousKey string) (page CompactedPage, err error)
	// Follow returns the entries from a position onward. If there are none, it waits
	// for one, at most for the duration wait. It returns [ErrTruncated] if entries
	// from that position on were dropped. If the log was restored from an earlier
	// copy since, the page is of another timeline and continues nothing that was read
	// before.
	Follow(ctx context.Context, stream Stream, first LogPosition, wait time.Duration) (page CompactedPage, err error)
	// Put appends an entry. After an error it is unknown whether it was
	// appended.
	Put(ctx context.Context, stream Stream, key string, value []byte) (err error)
}

// CompactedPage is the result of one read of a compacted stream.
type CompactedPage struct {
	Entries  []CompactedEntry
	Timeline Timeline // of the log; all offsets of the page belong to it
	End      uint64   // the offset that the next entry will get
	More     bool     // whether there are more keys after the last one; only from Newest
	// Lag bounds the age of the page: the page was up to date at most this long
	// before the read was sent. It is zero for a page read from the log itself.
	Lag time.Duration
}

// ReachesEnd reports whether a page that was read from an offset on holds everything
// that the log had when it was read. A log may return less than that, and the page is
// then not as new as its read.
func (p CompactedPage) ReachesEnd(from uint64) bool { return p.Next(from) >= p.End }

// Next returns the offset that follows the last entry of a page that was read from an
// offset on.
func (p CompactedPage) Next(from uint64) uint64 {
	if len(p.Entries) == 0 {
		return from
	}
	return p.Entries[len(p.Entries)-1].Offset + 1
}

// CopyRead holds the parameters of a read from a peer's copy of a compacted
// stream.
type CopyRead struct {
	Stream   Stream
	AllKeys  bool          // read the newest entries of all keys instead of those from From on
	Timeline Timeline      // of From; a copy of an earlier timeline is behind
	From     uint64        // first offset to read; a copy that does not reach it is behind
	Wait     time.Duration // maximum wait for the first entry
}

// StreamCopies reads the copies of compacted streams that peers keep.
type StreamCopies interface {
	// Read reads from the peer at addr. It returns [ErrCopyBehind] if the peer's
	// copy does not reach the offset or the peer cannot read the log, and
	// [ErrTruncated] if its copy lacks changes from the offset on.
	Read(ctx context.Context, addr netip.AddrPort, read CopyRead) (page CompactedPage, err error)
}

// StreamSourceEffect sets where this VM reads compacted streams: from one of the
// peers in VMs, in order of preference, or from the log if there are none.
type StreamSourceEffect struct {
	VMs    []netip.AddrPort
	Shared bool // whether digest relays read the log for the other VMs of their zone
}

// CompactedEntry is an entry of a compacted stream. An entry without a value
// deletes its key.
type CompactedEntry struct {
	Key    string
	Value  []byte
	Offset uint64
}

// StreamUpdate is a decoded entry of a compacted stream. Exactly one of its
// pointers is set, unless the key was deleted or the entry could not be decoded.
type StreamUpdate struct {
	Key         string
	Offset      uint64
	Rules       *Ruleset
	Upstream    *UpstreamRecord
	VM          *VMRecord
	HeldPart    *HeldPartRecord
	DecodeError string // why the entry could not be decoded
}

// VMRecord is the entry with which an entry VM registers itself for its peers.
type VMRecord struct {
	Name string         `json:"name"`
	Zone string         `json:"zone"`
	Addr netip.AddrPort `json:"addr"` // at which it receives load digests
}

// StreamUpdatesMsg carries the result of a read of a compacted stream.
type StreamUpdatesMsg struct {
	Stream   Stream
	AsOf     time.Time   // time at which the result was up to date: when the read was sent, less the lag
	Position LogPosition // after the result: where the next read starts
	AllKeys  bool        // whether Updates holds every key of the stream
	Updates  []StreamUpdate
}

// StreamTimelineEffect publishes the timeline from which a stream is read.
type StreamTimelineEffect struct {
	Stream   Stream
	Timeline Timeline
}

// RulesVersionEffect publishes the version of the configuration in force.
type RulesVersionEffect struct {
	Version Revision
}

// StreamReadFailedMsg reports a failed read of a compacted stream.
type StreamReadFailedMsg struct {
	Stream Stream
	Err    error
}

// StreamBehindMsg reports that a read of a compacted stream returned only part of what
// is new. The stream is listed instead.
type StreamBehindMsg struct {
	Stream   Stream
	Position LogPosition // up to which the stream was read
	End      uint64      // offset at which the log ends
}

// PutEffect appends a record to a compacted stream. Without a record it deletes
// the key.
type PutEffect struct {
	Stream   Stream
	Key      string
	VM       *VMRecord
	HeldPart *HeldPartRecord
}
