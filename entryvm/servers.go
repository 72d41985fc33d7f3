package entryvm

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/operator"
	"lentilmux.example/lentilmux/peer"
)

const (
	// headerTimeout bounds the time to read a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long a connection may stay idle between requests.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes is the maximum size of a request's header.
	maxHeaderBytes = 32 << 10
	// maxCallerConns is the maximum number of concurrent caller connections.
	maxCallerConns = 10000
	// maxControlConns is the maximum number of concurrent connections of peers
	// and operators.
	maxControlConns = 2000
	// maxHeadMemory bounds the memory of the heads of callers' requests, in bytes. The
	// 10,000 connections with an ordinary head of 2 KiB take 20 MiB.
	maxHeadMemory = 32 << 20
)

// servers holds the two listeners of a [VM], for callers and for control traffic
// of peers and operators, with their HTTP servers.
type servers struct {
	caller          *http.Server
	control         *http.Server
	callerListener  net.Listener
	controlListener net.Listener
	callerConns     *connTable
	controlConns    *connTable
	logger          *logrus.Logger

	cancelRequests context.CancelCauseFunc // ends all requests of callers in flight
}

// listen opens both listeners and creates their servers without starting them.
func (v *VM) listen() (s *servers, err error) {
	callerListener, err := net.Listen("tcp", v.config.CallerAddr.String())
	if err != nil {
		return nil, errors.Annotate(err, "listening for callers")
	}
	controlListener, err := net.Listen("tcp", v.config.ControlAddr.String())
	if err != nil {
		_ = callerListener.Close() // no connection was accepted yet
		return nil, errors.Annotate(err, "listening for peers and operators")
	}
	requests, cancelRequests := context.WithCancelCause(context.Background())
	s = &servers{
		caller: newServer(v.Handler()), control: newServer(v.controlHandler()), logger: v.config.Logger,
		cancelRequests: cancelRequests,
		callerConns:    v.newConnTable("callers", ConnLimits{Conns: maxCallerConns, HeadBytes: maxHeadMemory}, v.metrics.countClosedConn),
		controlConns:   v.newConnTable("control", ConnLimits{Conns: maxControlConns, HeadBytes: maxHeadMemory / 2}, func(connEnd) {}),
	}
	s.caller.BaseContext = func(net.Listener) context.Context { return requests }
	s.callerConns.install(s.caller)
	s.controlConns.install(s.control)
	s.callerListener = v.withTLS(s.callerConns.listen(callerListener))
	s.controlListener = v.withTLS(s.controlConns.listen(controlListener))
	return s, nil
}

// newConnTable returns the table of the connections of a server, whose name is a label of
// the metrics of limits.
func (v *VM) newConnTable(server string, limits ConnLimits, count func(connEnd)) *connTable {
	log := newLimitLog(server, v.metrics.countLimited, v.effects.recordDecision)
	return newConnTable(v.effects.recordDecision, count).withLimits(limits, log.record)
}

// withTLS wraps the listener in TLS if the entry VM has a certificate.
func (v *VM) withTLS(listener net.Listener) net.Listener {
	if v.config.TLS == nil {
		return listener
	}
	return tls.NewListener(listener, v.config.TLS.ServerConfig())
}

// controlHandler returns the handler for peers, operators and metrics.
func (v *VM) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.NewHandler(v.node, v.config.PeerKey))
	mux.Handle(operator.NewHandler(v.node, v.config.Operators, v.Drain))
	mux.Handle("GET /metrics", v.metrics.handler())
	return mux
}

// newServer returns a server that limits the size and arrival time of headers
// and the idle time of connections. It sets no timeouts for request bodies and
// responses: handlers limit these, since a response may stream for minutes.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// serve serves both listeners in the background until they are closed.
func (s *servers) serve() {
	go s.serveListener(s.caller, s.callerListener)
	go s.serveListener(s.control, s.controlListener)
}

// serveListener serves a listener until it or its server is closed. It logs an error if
// serving ends for another reason.
func (s *servers) serveListener(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		s.logger.WithError(err).Error("server stopped serving")
	}
}

// shutdown closes both servers gracefully, that of peers and operators last: it accepts
// no more connections and waits until none is open or ctx ends.
func (s *servers) shutdown(ctx context.Context) {
	s.drain(ctx, s.callerListener, s.callerConns)
	s.drain(ctx, s.controlListener, s.controlConns)
}

// drain closes a listener and waits until none of its connections is open or ctx ends.
func (s *servers) drain(ctx context.Context, listener net.Listener, conns *connTable) {
	_ = listener.Close() // it is not used any more
	if err := conns.drain(ctx); err != nil {
		s.logger.WithError(err).Warn("server shut down with requests in flight")
	}
}

// abortRequests ends callers' requests in flight and waits until they are answered or
// broken off, for abortTimeout at most.
func (s *servers) abortRequests() {
	s.cancelRequests(lentilmux.ErrStopped)
	ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
	defer cancel()
	_ = s.callerListener.Close() // it is not used any more
	_ = s.callerConns.drain(ctx) // close follows in any case
}

// close closes both servers and their connections immediately.
func (s *servers) close() {
	_ = s.caller.Close() // the process or test is ending
	_ = s.control.Close()
}
