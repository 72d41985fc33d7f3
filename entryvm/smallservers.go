package entryvm

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/peer"
)

const (
	// smallHeaderBytes bounds the headers of requests to the readiness and metrics
	// addresses, in bytes. It is the limit that the deployments set for callers.
	smallHeaderBytes = 16 << 10
	// smallWriteTimeout bounds the time for an answer there to be taken.
	smallWriteTimeout = 10 * time.Second
	// maxRequestsPerConn is the number of requests to the readiness or metrics address
	// after which a connection is closed with the answer, so that one client that sends
	// many requests at once does not take the processor from others.
	maxRequestsPerConn = 100
)

// newConnTable returns the table of the connections of a server, whose name is a label of
// the metrics of limits.
func (g *Gateway) newConnTable(server string, limits ConnLimits, count func(connEnd)) *connTable {
	log := newLimitLog(server, g.metrics.countLimited, g.decisionLog.enqueue)
	return newConnTable(g.decisionLog.enqueue, count).withLimits(limits, log.record)
}

// serveSmall serves an address whose requests and answers are small and short, and are
// not passed on to upstreams.
func (g *Gateway) serveSmall(name string, addr netip.AddrPort, limits ConnLimits, handler http.Handler) (server *http.Server, err error) {
	server = &http.Server{
		Handler: closeAfterRequests(readSmallBodies(handler, g.config.HeaderTimeout)), ReadHeaderTimeout: g.config.HeaderTimeout, IdleTimeout: gatewayIdleTimeout,
		MaxHeaderBytes: smallHeaderBytes, WriteTimeout: smallWriteTimeout,
	}
	conns := g.newConnTable(name, limits, func(connEnd) {})
	conns.ageOnly = true
	conns.install(server)
	g.countConnections(server)
	_, err = g.serve(server, addr, conns)
	return server, err
}

// closeAfterRequests wraps a handler so that a connection ends after maxRequestsPerConn.
func closeAfterRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if ConnUseOf(r.Context()).countRequest() >= maxRequestsPerConn {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// readinessHandler answers the platform's readiness probe.
func (g *Gateway) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+g.config.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.state.ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// metricsHandler serves the metrics, the held prompt parts and explanations.
func (g *Gateway) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+g.config.MetricsPath, g.metrics.handler())
	mux.HandleFunc("GET "+heldPartsPath, g.listHeldParts)
	mux.HandleFunc("GET "+explainPath, g.explain)
	mux.HandleFunc("POST "+releasePartPath, g.releaseHeldPart)
	return mux
}

// evictableReader lets the connection of a read of a copy be closed for a limit while the
// read waits for changes. Such reads need no key, wait for up to 30 s and pass on nothing
// to an upstream, so that they must not fill the peers' port.
type evictableReader struct{ peer.CopyReader }

// Read implements [peer.CopyReader].
func (e evictableReader) Read(ctx context.Context, read lentilmux.CopyRead) (page lentilmux.CompactedPage, err error) {
	err = ConnUseOf(ctx).ReadBody(func() (err error) {
		page, err = e.CopyReader.Read(ctx, read)
		return err
	})
	return page, err
}
