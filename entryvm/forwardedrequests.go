package entryvm

import (
	"context"
	"net"
	"net/http"
	"sync"

	"lentilmux.example/lentilmux/peer"
)

// forwardedHeaderBytes is what the headers between VMs add to those of a caller, in
// bytes.
const forwardedHeaderBytes = 4 << 10

// forwardedRequests serves the port for peers: requests that they forward, and all
// other calls. It knows the connections with a forwarded request in flight, which a
// drain waits for; the other calls, which wait for changes, are not waited for.
type forwardedRequests struct {
	handler http.Handler // of forwarded requests; nil if none are served
	other   http.Handler // of all other calls

	mu       sync.Mutex
	inFlight map[net.Conn]bool
	idle     chan struct{} // closed when no request is in flight; nil if nothing waits for that
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// newServer returns a server for the port for peers, without limits of its own but for
// idle connections.
func (f *forwardedRequests) newServer() *http.Server {
	return &http.Server{
		Handler: f, IdleTimeout: gatewayIdleTimeout,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
		ConnState: func(conn net.Conn, state http.ConnState) {
			if state != http.StateNew && state != http.StateActive {
				f.end(conn)
			}
		},
	}
}

// ServeHTTP implements [http.Handler]. A forwarded request is in flight until the end
// of its answer has been written, which is after its handler has returned.
func (f *forwardedRequests) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.handler == nil || !peer.IsForwarded(r.Header) {
		f.other.ServeHTTP(w, r)
		return
	}
	ConnUseOf(r.Context()).Prove() // it goes after connections that only read copies
	f.begin(r.Context().Value(connKey{}).(net.Conn))
	f.handler.ServeHTTP(w, r)
}

// begin records that a forwarded request is in flight on a connection.
func (f *forwardedRequests) begin(conn net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inFlight == nil {
		f.inFlight = make(map[net.Conn]bool)
	}
	f.inFlight[conn] = true
}

// end records that no request is in flight on a connection.
func (f *forwardedRequests) end(conn net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if delete(f.inFlight, conn); len(f.inFlight) == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}

// wait waits until no forwarded request is in flight, or returns the error of ctx.
func (f *forwardedRequests) wait(ctx context.Context) (err error) {
	f.mu.Lock()
	if len(f.inFlight) == 0 {
		f.mu.Unlock()
		return nil
	}
	if f.idle == nil {
		f.idle = make(chan struct{})
	}
	idle := f.idle
	f.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
