package entryvm

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/forward"
	"lentilmux.example/lentilmux/peer"
)

const (
	// abortTimeout bounds the end of the requests that a drain cuts off.
	abortTimeout = 100 * time.Millisecond
	// gatewayIdleTimeout is how long a connection may stay idle between requests.
	gatewayIdleTimeout = 2 * time.Minute
)

// gatewayServers holds the HTTP servers of a gateway, one for each address that
// it listens on. A server that was not opened is nil.
type gatewayServers struct {
	caller    *http.Server
	readiness *http.Server
	metrics   *http.Server
	peers     *http.Server
	forwarded forwardedRequests

	callerListener net.Listener
	callerConns    *connTable // connections of the callers' server
	peerListener   net.Listener
	peerConns      *connTable              // connections of the peers' server
	cancelRequests context.CancelCauseFunc // ends all requests of callers in flight
}

// open creates the servers, listens on their addresses and starts serving, the
// callers' address last.
func (s *gatewayServers) open(g *Gateway) (err error) {
	relay := forward.NewRelay(g.node, forward.WithClock(g.config.Clock), forward.WithObserver(g.metrics.countForwarded))
	requests, cancelRequests := context.WithCancelCause(context.Background())
	s.cancelRequests = cancelRequests
	s.caller = &http.Server{
		Handler: g.dependencies.NewCallerHandler(relay, &g.state), ReadHeaderTimeout: g.config.HeaderTimeout, IdleTimeout: gatewayIdleTimeout,
		MaxHeaderBytes: g.config.MaxHeaderBytes, BaseContext: func(net.Listener) context.Context { return requests },
	}
	s.callerConns = g.newConnTable("callers", g.config.ConnLimits.Callers, g.metrics.countClosedConn)
	s.callerConns.install(s.caller)
	g.countConnections(s.caller)
	if s.readiness, err = g.serveSmall("readiness", g.config.ReadyAddr, g.config.ConnLimits.Readiness, g.readinessHandler()); err != nil {
		return err
	}
	if g.config.MetricsAddr.IsValid() {
		if s.metrics, err = g.serveSmall("metrics", g.config.MetricsAddr, g.config.ConnLimits.Metrics, g.metricsHandler()); err != nil {
			return err
		}
	}
	copies := http.NewServeMux()
	copies.Handle(peer.NewCopyHandler(evictableReader{g.copies}))
	s.forwarded.other = readSmallBodies(copies, g.config.HeaderTimeout)
	if g.dependencies.NewPeerHandler != nil {
		s.forwarded.handler = g.dependencies.NewPeerHandler(relay, &g.state)
	}
	s.peers = s.forwarded.newServer()
	s.peers.ReadHeaderTimeout, s.peers.MaxHeaderBytes = g.config.HeaderTimeout, g.config.MaxHeaderBytes+forwardedHeaderBytes
	s.peers.BaseContext = func(net.Listener) context.Context { return requests }
	s.peerConns = g.newConnTable("peers", g.config.ConnLimits.Peers, func(connEnd) {})
	s.peerConns.install(s.peers)
	g.countConnections(s.peers)
	if s.peerListener, err = g.serve(s.peers, g.config.PeerAddr, s.peerConns); err != nil {
		return err
	}
	s.callerListener, err = g.serve(s.caller, g.config.CallerAddr, s.callerConns)
	return err
}

// serve listens on an address and serves it in the background until the server or
// the listener is closed. It records the connections in conns.
func (g *Gateway) serve(server *http.Server, addr netip.AddrPort, conns *connTable) (listener net.Listener, err error) {
	listener, err = net.Listen("tcp", addr.String())
	if err != nil {
		return nil, errors.Annotatef(err, "listening on %s", addr)
	}
	listener = conns.listen(listener)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			g.decisionLog.enqueue(lentilmux.Decision{What: "server_failed", Subject: addr.String(), Reason: err.Error()})
		}
	}()
	return listener, nil
}

// drainCallers accepts no more connections of callers and waits until those that are
// open have ended, or ctx ends.
func (s *gatewayServers) drainCallers(ctx context.Context) (err error) {
	_ = s.callerListener.Close() // it is not used any more
	return s.callerConns.drain(ctx)
}

// drainPeers accepts no more connections of peers and waits, for abortTimeout at most,
// until those that are open have ended: the last requests that were read are refused, and
// reads of copies, which wait for changes, are cut off.
func (s *gatewayServers) drainPeers() {
	_ = s.peerListener.Close() // it is not used any more
	ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
	defer cancel()
	_ = s.peerConns.drain(ctx) // close follows in any case
}

// abortRequests ends the requests of callers and peers in flight and waits until they are
// answered or broken off, for abortTimeout at most.
func (s *gatewayServers) abortRequests() {
	s.cancelRequests(lentilmux.ErrStopped)
	ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
	defer cancel()
	_ = s.drainCallers(ctx) // close follows in any case
	_ = s.forwarded.wait(ctx)
}

// close closes all opened servers and their connections immediately.
func (s *gatewayServers) close() {
	for _, server := range []*http.Server{s.caller, s.readiness, s.metrics, s.peers} {
		if server != nil {
			_ = server.Close() // the process or test is ending
		}
	}
}
