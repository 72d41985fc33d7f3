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

// gate holds up all that passes it while it is shut, as a paused VM does.
type gate struct {
	mu   sync.Mutex
	shut chan struct{}
}

func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut == nil {
		g.shut = make(chan struct{})
	}
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut != nil {
		close(g.shut)
		g.shut = nil
	}
}

// paused reports whether the gate is shut.
func (g *gate) paused() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shut != nil
}

func (g *gate) pass() {
	g.mu.Lock()
	shut := g.shut
	g.mu.Unlock()
	if shut != nil {
		<-shut
	}
}

// Run implements [system.System]: a paused VM's control goroutine hangs.
func (g *gate) Run(*table.Tables, time.Time) { g.pass() }

// network implements [lentilmux.Peer] between the members and can be cut.
type network struct {
	mu    sync.Mutex
	nodes map[netip.AddrPort]*lentilmux.Node
	cuts  map[[2]netip.AddrPort]bool
	log   map[netip.AddrPort]bool // members that are cut off from the log
}

var errCut = errors.New("network is cut")

func (n *network) node(from, to netip.AddrPort) (node *lentilmux.Node, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts[[2]netip.AddrPort{from, to}] || n.cuts[[2]netip.AddrPort{to, from}] || n.nodes[to] == nil {
		return nil, errCut
	}
	return n.nodes[to], nil
}

func (n *network) set(addr netip.AddrPort, node *lentilmux.Node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[addr] = node
}

func (n *network) cut(a, b netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]netip.AddrPort{a, b}] = true
}

func (n *network) cutLog(addr netip.AddrPort, off bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.log[addr] = off
}

func (n *network) logCut(addr netip.AddrPort) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.log[addr]
}

func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
	clear(n.log)
}

// link is what one member sees of the others and of the stand-ins.
type link struct {
	cluster *cluster
	gate    *gate
	addr    netip.AddrPort
}

func (l *link) Exchange(ctx context.Context, addr netip.AddrPort, digest lentilmux.Digest) (reply lentilmux.Digest, err error) {
	l.gate.pass()
	defer l.gate.pass()
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

func (l *link) Append(ctx context.Context, stream lentilmux.Stream, entries [][]byte) (err error) {
	l.gate.pass()
	defer l.gate.pass()
	if l.cluster.network.logCut(l.addr) {
		return errCut
	}
	return l.cluster.log.Append(ctx, stream, entries)
}

func (l *link) Read(ctx context.Context, stream lentilmux.Stream, from uint64, wait time.Duration) (page lentilmux.LogPage, err error) {
	l.gate.pass()
	defer l.gate.pass()
	if l.cluster.network.logCut(l.addr) {
		return lentilmux.LogPage{}, errCut
	}
	return l.cluster.log.Read(ctx, stream, from, wait)
}

func (l *link) Call(ctx context.Context, upstream netip.AddrPort, call lentilmux.ServiceCall) (reply lentilmux.ServiceReply, err error) {
	l.gate.pass()
	defer l.gate.pass()
	return l.cluster.services.Call(ctx, upstream, call)
}

func (l *link) Probe(ctx context.Context, upstream netip.AddrPort) (err error) {
	return l.cluster.services.Probe(ctx, upstream)
}
