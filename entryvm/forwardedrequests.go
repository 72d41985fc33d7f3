package entryvm

import (
	"context"
	"net/http"
	"sync"

	"lentilmux.example/lentilmux/peer"
)

// forwardedHeaderBytes is what the headers between VMs add to those of a caller, in
// bytes.
const forwardedHeaderBytes = 4 << 10

// forwardedRequests serves the port for peers: requests that they forward, and all
// other calls. It counts the forwarded requests in flight, which a drain waits for;
// the other calls, which wait for changes, are not waited for.
type forwardedRequests struct {
	handler http.Handler // of forwarded requests; nil if none are served
	other   http.Handler // of all other calls

	mu       sync.Mutex
	inFlight int
	idle     chan struct{} // closed when no request is in flight; nil if nothing waits for that
}

// ServeHTTP implements [http.Handler].
func (f *forwardedRequests) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.handler == nil || !peer.IsForwarded(r.Header) {
		f.other.ServeHTTP(w, r)
		return
	}
	f.add(1)
	defer f.add(-1)
	f.handler.ServeHTTP(w, r)
}

// add changes the number of requests in flight.
func (f *forwardedRequests) add(count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inFlight += count; f.inFlight == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}

// wait waits until no forwarded request is in flight, or returns the error of ctx.
func (f *forwardedRequests) wait(ctx context.Context) (err error) {
	f.mu.Lock()
	if f.inFlight == 0 {
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
