package lentilmux

import (
	"context"
	"net/netip"
	"time"
)

// Peer exchanges state with other entry VMs.
type Peer interface {
	// Exchange gives the peer at addr our digest and returns its own.
	Exchange(ctx context.Context, addr netip.AddrPort, digest Digest) (reply Digest, err error)
	// Snapshot returns the configuration that the peer has in force.
	Snapshot(ctx context.Context, addr netip.AddrPort) (snapshot Snapshot, err error)
}

// Digest is what entry VMs tell each other, a summary of bounded size.
type Digest struct {
	VM              string
	Zone            string
	Addr            netip.AddrPort
	Incarnation     string
	Revision        Revision
	NextCallOffset  uint64    // the offset of the calls stream that is read next
	CallsKnownSince time.Time // since when all calls are known; zero for all
	Draining        bool
	Leaving         []string        // upstreams seen to be leaving
	InFlight        []UpstreamCount // own work in flight, upstreams with any
	Usage           []WorkspaceUsage
}

// UpstreamCount is the number of requests that one VM has in flight at one
// upstream.
type UpstreamCount struct {
	Upstream string
	Count    int
}

// WorkspaceUsage is the number of requests that one VM runs and queues for one
// workspace.
type WorkspaceUsage struct {
	Workspace string
	Running   int
	Queued    int
}

// DigestMsg brings a peer's digest.
type DigestMsg struct {
	Digest Digest
	RTT    time.Duration // 0 for a digest that the peer sent by itself
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

// FetchSnapshotEffect asks a peer for its configuration.
type FetchSnapshotEffect struct {
	VM   string
	Addr netip.AddrPort
}

// SnapshotRequestMsg asks for the configuration in force; the answer is a
// [SnapshotAnswer].
type SnapshotRequestMsg struct{}

// SnapshotAnswer answers a [SnapshotRequestMsg].
type SnapshotAnswer struct {
	Snapshot Snapshot
}

// SnapshotMsg brings a peer's configuration.
type SnapshotMsg struct {
	Snapshot Snapshot
}
