package lentilmux

import (
	"context"
	"net/netip"
	"time"
)

// Peer exchanges state with peers, the other entry VMs.
type Peer interface {
	// Exchange sends this node's digest to the peer at addr and returns the
	// peer's digest.
	Exchange(ctx context.Context, addr netip.AddrPort, digest Digest) (reply Digest, err error)
	// Snapshot returns the configuration in force at the peer.
	Snapshot(ctx context.Context, addr netip.AddrPort) (snapshot Snapshot, err error)
}

// Digest is the state that entry VMs exchange by gossip. Its size is bounded by
// the number of upstreams and workspaces.
type Digest struct {
	VM              string
	Zone            string
	Addr            netip.AddrPort
	Incarnation     string           // start of the VM's process
	Revision        Revision         // of the configuration in force
	NextCallOffset  uint64           // next offset to read from [StreamCalls]
	CallsKnownSince time.Time        // all calls after this time are known; zero if all are
	Draining        bool             // whether the VM is in a planned stop
	Leaving         []string         // upstreams that the VM itself saw leaving
	InFlight        []UpstreamCount  // the VM's own requests; only upstreams with any
	Usage           []WorkspaceUsage // the VM's own requests; only workspaces with any
}

// UpstreamCount is the number of requests that one entry VM has in flight at one
// upstream.
type UpstreamCount struct {
	Upstream string
	Count    int
}

// WorkspaceUsage is the number of requests that one entry VM runs and queues for
// one workspace.
type WorkspaceUsage struct {
	Workspace string
	Running   int
	Queued    int
}

// DigestMsg carries a peer's digest. The answer is a [DigestAnswer].
type DigestMsg struct {
	Digest Digest
	RTT    time.Duration // of the exchange that returned it; 0 if the peer began the exchange
}

// ExchangeFailedMsg reports that an exchange with a peer failed.
type ExchangeFailedMsg struct {
	VM string
}

// DigestAnswer answers a [DigestMsg] with the node's own digest.
type DigestAnswer struct {
	Digest Digest
}

// ExchangeEffect sends a digest to a peer.
type ExchangeEffect struct {
	VM     string
	Addr   netip.AddrPort
	Digest Digest
}

// FetchSnapshotEffect fetches the configuration of a peer.
type FetchSnapshotEffect struct {
	VM   string
	Addr netip.AddrPort
}

// SnapshotRequestMsg asks for the configuration in force. The answer is a
// [SnapshotAnswer].
type SnapshotRequestMsg struct{}

// SnapshotAnswer answers a [SnapshotRequestMsg].
type SnapshotAnswer struct {
	Snapshot Snapshot
}

// SnapshotMsg carries the configuration of a peer.
type SnapshotMsg struct {
	Snapshot Snapshot
}
