package lentilmux

import (
	"net/netip"
	"time"
)

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
