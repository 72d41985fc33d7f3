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

// UpstreamReport is the state that an upstream reports.
type UpstreamReport struct {
	Layers              LayerRange
	HasLayers           bool
	OrderRunning        bool      // whether it is executing an order
	AcceptedOrders      int       // number of orders accepted since its start
	Streams             int       // requests in flight
	PendingPromptTokens int       // prompt tokens that wait for prefill
	Slowdown            float64   // factor on its usual step time; above 1 if it is slow
	Capacity            int64     // KV cache, in tokens times layers
	Reserved            int64     // KV cache in use, in tokens times layers
	StartedAt           time.Time // start of its process
	Draining            bool      // whether it announces its drain
}

// RangeOrder orders an upstream to hold a layer range.
type RangeOrder struct {
	Layers         LayerRange
	ExpectedOrders int // number of orders that it must have accepted before; otherwise it refuses
}

// PathEngine makes control calls to upstreams that send activations to the next
// hop of the path themselves.
type PathEngine interface {
	// Report returns the state of an upstream.
	Report(ctx context.Context, upstream string, addr netip.AddrPort) (report UpstreamReport, err error)
	// SendOrder sends an order. It returns false if the upstream refuses it
	// because it does not fit the upstream's state.
	SendOrder(ctx context.Context, upstream string, addr netip.AddrPort, order RangeOrder) (accepted bool, err error)
	// MoveRequest moves a request in flight to another path with the same first
	// hop. The error says why there is no answer.
	MoveRequest(ctx context.Context, request RequestID, path []Hop) (answer MoveAnswer, err error)
	// Connect opens a new connection to an upstream and closes it again.
	Connect(ctx context.Context, addr netip.AddrPort) (err error)
}

// FetchReportEffect fetches the state of an upstream.
type FetchReportEffect struct {
	Upstream string
	Addr     netip.AddrPort
}

// UpstreamReportMsg carries the state of an upstream, or the error of the call.
type UpstreamReportMsg struct {
	Upstream string
	Report   UpstreamReport
	Err      error
	Took     time.Duration // from the sending of the probe until its report was read, or it had failed
}

// RangeOrderEffect sends an order to an upstream.
type RangeOrderEffect struct {
	Upstream string
	Addr     netip.AddrPort
	Order    RangeOrder
}

// RangeOrderResultMsg reports the result of an order.
type RangeOrderResultMsg struct {
	Upstream string
	Order    RangeOrder
	Accepted bool
	Err      error
}

// MoveEffect moves a request in flight to another path.
type MoveEffect struct {
	Request RequestID
	Epoch   Epoch
	Path    []Hop
}

// MoveOutcome classifies an upstream's answer to a move.
type MoveOutcome int

// The outcomes of a move.
const (
	// MoveUnknown means that there was no valid answer, so the move may have been
	// carried out.
	MoveUnknown MoveOutcome = iota
	// MoveAccepted means that the request continues on the new path.
	MoveAccepted
	// MoveNotInFlight means that the first hop of the path does not run the
	// request, or no longer.
	MoveNotInFlight
	// MoveHopUnavailable means that a new hop of the path does not hold its layers
	// or has no room. The request remains on its path.
	MoveHopUnavailable
	// MoveRejected means that the upstream refused the move for another reason.
	// The request remains on its path.
	MoveRejected
)

// String returns the outcome in snake case, as log lines show it.
func (m MoveOutcome) String() string {
	return [...]string{"unknown", "accepted", "not_in_flight", "hop_unavailable", "rejected"}[m]
}

// MoveAnswer is an upstream's answer to a move.
type MoveAnswer struct {
	Outcome        MoveOutcome
	Status         int            // of the upstream's answer, for the log; 0 without one
	UnavailableHop netip.AddrPort // hop that cannot take its part, if the upstream names it
}

// MoveResultMsg reports the result of a move.
type MoveResultMsg struct {
	Request RequestID
	Epoch   Epoch
	Answer  MoveAnswer
	Err     error
}

// UpstreamHash identifies an upstream in load digests. It is short, since digests
// list many upstreams. Two upstreams with the same hash share their load.
type UpstreamHash uint32

// HashUpstream returns the hash of an upstream's ID.
func HashUpstream(id string) UpstreamHash { return UpstreamHash(ComputeFingerprint(id)) }

// VMHash identifies an entry VM in load digests, by a hash of its name.
type VMHash uint32

// HashVM returns the hash of the name of an entry VM.
func HashVM(name string) VMHash { return VMHash(ComputeFingerprint(name)) }

// UpstreamLoad is the work in flight at one upstream, summed over the VMs of a
// load digest.
type UpstreamLoad struct {
	Upstream            UpstreamHash
	Streams             int           // requests in flight
	PendingPromptTokens int           // prompt tokens that wait for prefill
	Reserved            int64         // reserved KV cache, in tokens times layers
	Slowdown            float64       // as reported by the upstream; 0 without a recent report
	WorkLeft            time.Duration // sum of the times that the streams still run, if WorkKnown
	WorkKnown           bool          // whether WorkLeft covers all streams; false if a VM does not say
	Speed               UpstreamSpeed // as measured by the VMs
}

// UpstreamSpeed holds the ratios of the measured to the expected times of an upstream,
// where the expected ones follow from its accelerator and its reported slowdown.
type UpstreamSpeed struct {
	Step    float64 // of the gaps between events
	Prefill float64
	Pauses  float64 // part of its streams that it paused, as when it preempts them
	Weight  float64 // number of answers that were measured, decayed; 0 if the ratios are not known
}

// DigestScope is the set of VMs whose work a load digest covers.
type DigestScope int

// The scopes.
const (
	// ScopeVM covers the sender's own work.
	ScopeVM DigestScope = iota
	// ScopeZone covers the work of all VMs of the sender's availability zone.
	ScopeZone
	// ScopeFleet covers the work of all VMs.
	ScopeFleet
)

// LoadDigest is a message in which an entry VM reports the work in flight to its
// peers. Each digest replaces all that an earlier one said of the upstreams that
// it covers, so that a lost one does no harm.
type LoadDigest struct {
	Scope       DigestScope
	VMCount     int            // number of VMs whose work is summed up
	VM          string         // the sender
	Zone        string         // of the sender
	Addr        netip.AddrPort // of the sender
	Incarnation uint64         // start of the sender's process; higher for later starts
	Sequence    uint64         // number of the digest within the incarnation
	Draining    bool
	Stale       bool           // whether the sender's view of the store is too old
	Loads       []UpstreamLoad // of the upstreams that it covers; one that is not listed has none
	Slices      int            // if positive, it covers the sender's zone and a slice of the other upstreams, else all
	Slice       int            // slice that it covers: upstreams whose hash modulo Slices is this number
	Suspects    []string       // upstreams that are suspected to be dead
	RetryCounts []RetryCounts
	Parts       []PartSuspicion   // prompt parts that may crash upstreams, as the sender knows them
	Limits      []UpstreamLimit   // limits that upstreams named, as the sender knows them
	Drains      []UpstreamDrain   // drains that upstreams announced, as the sender knows them
	Rules       Revision          // newest version of the configuration that is in force on a VM that the digest covers
	IsolatedVMs []VMHash          // VMs that the digest covers and that reach no upstream
	Shortages   []ServiceShortage // services whose requests lately found no room, as the sender knows them
	Refused     []RefusedRequest  // requests that were refused for want of room, as the sender knows them
	Counts      []AnswerCounts    // answers that the VMs that the digest covers observed, of some keys
	BackOffs    []BackOffHint     // upstreams that asked a VM for a back-off, as the sender knows them
}

// BackOffHint tells that an upstream asked some VM for a back-off. It binds that VM
// only, but is a sign that the upstream may turn the requests of others away too.
type BackOffHint struct {
	Upstream  UpstreamHash
	Remaining time.Duration // until the back-off ends
}

// RetryCounts counts the sends to one service in the retry window, for the retry
// budget.
type RetryCounts struct {
	Service  string
	Requests int
	Retries  int // attempts after the first of each request
}

// LoadDigestMsg carries a load digest of a peer.
type LoadDigestMsg struct {
	Digest LoadDigest
}

// LoadDigestEffect sends a load digest to peers.
type LoadDigestEffect struct {
	Digest LoadDigest
	To     []netip.AddrPort
}

// ReadinessEffect sets the answer to the load balancer's readiness probes.
type ReadinessEffect struct {
	Ready  bool
	Reason string // why this VM is not ready
}

// BeginDrainMsg begins a drain, the planned stop of this VM, in package fleet. It
// has no answer. Package system uses [DrainMsg].
type BeginDrainMsg struct{}

// BodyLimitEffect sets the maximum size of callers' request bodies.
type BodyLimitEffect struct {
	MaxBytes int64
}
