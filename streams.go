package lentilmux

import (
	"context"
	"net/netip"
	"time"

	"github.com/juju/errors"
)

// ErrTruncated reports that the log has dropped the entries asked for.
const ErrTruncated = errors.ConstError("entries are no longer in the log")

// ErrBehind reports that another VM's copy of a stream is too old to be used.
const ErrBehind = errors.ConstError("copy of the stream is behind")

// The compacted streams that the system uses.
const (
	// StreamRules carries the operators' configuration.
	StreamRules Stream = "rules"
	// StreamUpstreams carries what upstreams say of themselves.
	StreamUpstreams Stream = "members"
	// StreamVMs carries the addresses of the entry VMs.
	StreamVMs Stream = "vms"
)

// KeyedLog is a log whose streams keep the newest entry of each key for good.
// Its answers are linearizable.
type KeyedLog interface {
	// Newest returns the newest entries of the keys behind after, in parts.
	Newest(ctx context.Context, stream Stream, after string) (page KeyedPage, err error)
	// Follow returns entries from an offset on. If there are none it waits up
	// to wait for the first. It returns [ErrTruncated] if they were dropped.
	Follow(ctx context.Context, stream Stream, from uint64, wait time.Duration) (page KeyedPage, err error)
	// Put adds an entry. After an error it is not known whether it was added.
	Put(ctx context.Context, stream Stream, key string, value []byte) (err error)
}

// KeyedPage is a part of a compacted stream.
type KeyedPage struct {
	Entries []KeyedEntry
	End     uint64 // the offset that the next entry will get
	More    bool   // whether Newest has more behind the last key
	// Lag is how long before the read was sent what it tells was the newest;
	// zero for an answer of the log itself.
	Lag time.Duration
}

// CopyRead asks for entries of a VM's copy of a compacted stream.
type CopyRead struct {
	Stream  Stream
	AllKeys bool          // the newest entries of all keys, not just those from From on
	From    uint64        // a copy that does not reach this offset is behind
	Wait    time.Duration // for the first entry
}

// StreamCopies reads the copies that other entry VMs keep of compacted streams.
type StreamCopies interface {
	// Read asks the VM at addr. It returns [ErrBehind] if the VM has lost touch
	// with the log, and [ErrTruncated] if its copy does not tell of all changes
	// from the offset on.
	Read(ctx context.Context, addr netip.AddrPort, read CopyRead) (page KeyedPage, err error)
}

// StreamSourceEffect sets where this VM reads compacted streams: at one of other VMs,
// or at the log if there are none.
type StreamSourceEffect struct {
	VMs    []netip.AddrPort
	Shared bool // whether VMs read for one another
}

// KeyedEntry is an entry of a compacted stream. Without a value it drops the
// key.
type KeyedEntry struct {
	Key    string
	Value  []byte
	Offset uint64
}

// StreamUpdate is one decoded entry of a compacted stream: exactly one of the pointers
// is set, unless the key was dropped or its entry cannot be read.
type StreamUpdate struct {
	Key         string
	Offset      uint64
	Rules       *Ruleset
	Upstream    *UpstreamRecord
	VM          *VMRecord
	DecodeError string // why the entry cannot be read
}

// VMRecord is what an entry VM says of itself to the others.
type VMRecord struct {
	Name string         `json:"name"`
	Zone string         `json:"zone"`
	Addr netip.AddrPort `json:"addr"` // for load digests
}

// StreamUpdatesMsg carries what a read of a compacted stream told.
type StreamUpdatesMsg struct {
	Stream  Stream
	AsOf    time.Time // when the read was sent
	AllKeys bool      // whether Facts are all keys that there are
	Updates []StreamUpdate
}

// StreamReadFailedMsg reports a read that failed.
type StreamReadFailedMsg struct {
	Stream Stream
	Err    error
}

// PutEffect adds an entry to a compacted stream.
type PutEffect struct {
	Stream Stream
	Key    string
	VM     VMRecord
}

// UpstreamReport is the state that an upstream gives when asked.
type UpstreamReport struct {
	Layers              LayerRange
	HasLayers           bool
	OrderRunning        bool // whether it carries out an order
	AcceptedOrders      int  // orders accepted since its start
	Streams             int
	PendingPromptTokens int
	Slowdown            float64 // above 1 for one that is slow
	Capacity            int64   // tokens times layers
	Reserved            int64   // tokens times layers
	StartedAt           time.Time
}

// RangeOrder tells an upstream to hold a range of layers.
type RangeOrder struct {
	Layers         LayerRange
	ExpectedOrders int // orders that it is expected to have accepted before
}

// PathEngine speaks to upstreams that pass activations on themselves.
type PathEngine interface {
	// Report asks an upstream for its state.
	Report(ctx context.Context, upstream string, addr netip.AddrPort) (report UpstreamReport, err error)
	// Place gives an order. It returns false if the order does not fit the
	// upstream's state.
	SendOrder(ctx context.Context, upstream string, addr netip.AddrPort, order RangeOrder) (accepted bool, err error)
	// Repath moves a request that runs to another path with the same first
	// hop. It returns false if the upstream does not do it.
	MoveRequest(ctx context.Context, request RequestID, path []Hop) (accepted bool, err error)
}

// FetchReportEffect asks an upstream for its state.
type FetchReportEffect struct {
	Upstream string
	Addr     netip.AddrPort
}

// UpstreamReportMsg carries the state of an upstream, or the error of the question.
type UpstreamReportMsg struct {
	Upstream string
	Report   UpstreamReport
	Err      error
}

// RangeOrderEffect gives an upstream an order.
type RangeOrderEffect struct {
	Upstream string
	Addr     netip.AddrPort
	Order    RangeOrder
}

// RangeOrderResultMsg reports what became of an order.
type RangeOrderResultMsg struct {
	Upstream string
	Order    RangeOrder
	Accepted bool
	Err      error
}

// MoveEffect moves a request that runs to another path.
type MoveEffect struct {
	Request RequestID
	Epoch   Epoch
	Path    []Hop
}

// MoveResultMsg reports what became of a move.
type MoveResultMsg struct {
	Request  RequestID
	Epoch    Epoch
	Accepted bool
	Err      error
}

// UpstreamLoad is what one VM has under way at one upstream.
type UpstreamLoad struct {
	Upstream            string
	Streams             int
	PendingPromptTokens int     // prompt tokens that are still to be read
	Reserved            int64   // tokens times layers
	Slowdown            float64 // how slow it says it is, if the sender asked it; 0 if not
}

// DigestScope says whose work a load digest sums up.
type DigestScope int

// The scopes.
const (
	// ScopeVM is the sender's own work.
	ScopeVM DigestScope = iota
	// ScopeZone is the work of all VMs of the sender's availability zone.
	ScopeZone
	// ScopeFleet is the work of all VMs.
	ScopeFleet
)

// LoadDigest is what entry VMs tell each other of the work that they have under
// way, whole each time, so that a lost one does no harm.
type LoadDigest struct {
	Scope       DigestScope
	VMCount     int // that are summed up
	VM          string
	Zone        string
	Addr        netip.AddrPort
	Incarnation uint64
	Sequence    uint64
	Draining    bool
	Stale       bool // whether the sender lost touch with the store
	Loads       []UpstreamLoad
	Suspects    []string // upstreams that the sender holds to be dead
	RetryCounts []RetryCounts
}

// RetryCounts counts what one VM sent to one service in the retry window.
type RetryCounts struct {
	Service  string
	Requests int
	Retries  int // sends beyond the first of each request
}

// LoadDigestMsg carries a digest of another VM.
type LoadDigestMsg struct {
	Digest LoadDigest
}

// LoadDigestEffect sends a digest to other VMs.
type LoadDigestEffect struct {
	Digest LoadDigest
	To     []netip.AddrPort
}

// ReadinessEffect tells the balancer's questions whether this VM takes work.
type ReadinessEffect struct {
	Ready  bool
	Reason string
}

// BeginDrainMsg begins a planned stop.
type BeginDrainMsg struct{}

// BodyLimitEffect sets the largest body that callers may send, in bytes.
type BodyLimitEffect struct {
	MaxBytes int64
}
