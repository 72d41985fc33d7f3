package entryvm_test

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

// gate simulates a paused VM: callers of wait block while the gate is closed.
type gate struct {
	mu     sync.Mutex
	closed chan struct{}
}

// pause closes the gate.
func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed == nil {
		g.closed = make(chan struct{})
	}
}

// resume opens the gate and releases the callers of wait.
func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed != nil {
		close(g.closed)
		g.closed = nil
	}
}

// paused reports whether the gate is closed.
func (g *gate) paused() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed != nil
}

// wait blocks while the gate is closed.
func (g *gate) wait() {
	g.mu.Lock()
	closed := g.closed
	g.mu.Unlock()
	if closed != nil {
		<-closed
	}
}

// Run implements [system.System]. It blocks the control goroutine of a paused VM.
func (g *gate) Run(*table.Tables, time.Time) { g.wait() }

// network holds the connections between members and to the log, each of which
// tests can cut. Members use it through a link.
type network struct {
	mu      sync.Mutex
	nodes   map[netip.AddrPort]*lentilmux.Node
	cuts    map[[2]netip.AddrPort]bool
	logCuts map[netip.AddrPort]bool // members whose connection to the log is cut
}

var errCut = errors.New("connection is cut")

// node returns the node at target for a request from source, or an error if the
// connection is cut or no node runs at target.
func (n *network) node(source, target netip.AddrPort) (node *lentilmux.Node, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts[[2]netip.AddrPort{source, target}] || n.cuts[[2]netip.AddrPort{target, source}] || n.nodes[target] == nil {
		return nil, errCut
	}
	return n.nodes[target], nil
}

// set registers the node that runs at an address; nil removes it.
func (n *network) set(addr netip.AddrPort, node *lentilmux.Node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[addr] = node
}

// cut cuts the connection between two members in both directions.
func (n *network) cut(a, b netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]netip.AddrPort{a, b}] = true
}

// cutLog cuts or restores a member's connection to the log.
func (n *network) cutLog(addr netip.AddrPort, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.logCuts[addr] = cut
}

// isLogCut reports whether a member's connection to the log is cut.
func (n *network) isLogCut(addr netip.AddrPort) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.logCuts[addr]
}

// heal restores all connections.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
	clear(n.logCuts)
}

// link implements the dependencies of one member: it passes calls to the other
// members and the stand-ins. Calls to members and to the log fail while the
// connection is cut. Exchange, Append, Read and Call block while the member is
// paused.
type link struct {
	cluster *cluster
	gate    *gate
	addr    netip.AddrPort
}

// Exchange implements [lentilmux.Peer].
func (l *link) Exchange(ctx context.Context, addr netip.AddrPort, digest lentilmux.Digest) (reply lentilmux.Digest, err error) {
	l.gate.wait()
	defer l.gate.wait()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	node, err := l.cluster.network.node(l.addr, addr)
	if err != nil {
		return lentilmux.Digest{}, err
	}
	answer, err := node.Ask(ctx, lentilmux.DigestMsg{Digest: digest})
	if err != nil {
		return lentilmux.Digest{}, err
	}
	return answer.(lentilmux.DigestAnswer).Digest, nil
}

// Snapshot implements [lentilmux.Peer].
func (l *link) Snapshot(ctx context.Context, addr netip.AddrPort) (snapshot lentilmux.Snapshot, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	node, err := l.cluster.network.node(l.addr, addr)
	if err != nil {
		return lentilmux.Snapshot{}, err
	}
	answer, err := node.Ask(ctx, lentilmux.SnapshotRequestMsg{})
	if err != nil {
		return lentilmux.Snapshot{}, err
	}
	return answer.(lentilmux.SnapshotAnswer).Snapshot, nil
}

// Append implements [lentilmux.Log].
func (l *link) Append(ctx context.Context, stream lentilmux.Stream, entries [][]byte) (err error) {
	l.gate.wait()
	defer l.gate.wait()
	if l.cluster.network.isLogCut(l.addr) {
		return errCut
	}
	return l.cluster.log.Append(ctx, stream, entries)
}

// Read implements [lentilmux.Log].
func (l *link) Read(ctx context.Context, stream lentilmux.Stream, from uint64, wait time.Duration) (page lentilmux.LogPage, err error) {
	l.gate.wait()
	defer l.gate.wait()
	if l.cluster.network.isLogCut(l.addr) {
		return lentilmux.LogPage{}, errCut
	}
	return l.cluster.log.Read(ctx, stream, from, wait)
}

// Call implements [lentilmux.Service].
func (l *link) Call(ctx context.Context, upstream netip.AddrPort, call lentilmux.ServiceCall) (reply lentilmux.ServiceReply, err error) {
	l.gate.wait()
	defer l.gate.wait()
	return l.cluster.services.Call(ctx, upstream, call)
}

// Probe implements [entryvm.ServiceProber].
func (l *link) Probe(ctx context.Context, upstream netip.AddrPort) (err error) {
	return l.cluster.services.Probe(ctx, upstream)
}
