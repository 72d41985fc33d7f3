package service_test

import (
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/service"
)

// startServer serves handler on a free port until the test ends.
func startServer(t *testing.T, handler http.HandlerFunc) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// failureKindOf returns the failure kind of err, or -1 if it is no
// [*lentilmux.UpstreamError].
func failureKindOf(err error) lentilmux.FailureKind {
	var upstreamErr *lentilmux.UpstreamError
	if errors.As(err, &upstreamErr) {
		return upstreamErr.Kind
	}
	return -1
}

// TestCallIsNeverSentTwice guards against a call that runs twice because
// net/http resends it. The service runs the call and then closes the reused
// connection without a response; net/http would resend a request with an
// idempotency key if its body could be rewound or was missing.
func TestCallIsNeverSentTwice(t *testing.T) {
	for name, body := range map[string][]byte{"body": []byte("refund"), "no body": nil} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int32
			addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodGet {
					return
				}
				runs.Add(1)
				panic(http.ErrAbortHandler)
			})
			client := service.NewClient()
			if _, err := client.Call(t.Context(), addr, lentilmux.ServiceCall{Method: http.MethodGet, Path: "/"}); err != nil {
				t.Fatal(err)
			}
			_, err := client.Call(t.Context(), addr, lentilmux.ServiceCall{Method: http.MethodPost, Path: "/refund", Body: body, Key: "k"})
			if failureKindOf(err) != lentilmux.FailureCrash {
				t.Errorf("call on a connection closed by the service: got error %v, want kind crash", err)
			}
			if n := runs.Load(); n != 1 {
				t.Errorf("call ran %d times, want 1", n)
			}
		})
	}
}

// TestRefusedConnectionIsDialFailure guards against treating a call to a port
// without a listener as one that may have run, which would forbid its retry. The
// port is that of a client's connection, so that no other process listens on it.
func TestRefusedConnectionIsDialFailure(t *testing.T) {
	server := startServer(t, func(http.ResponseWriter, *http.Request) {})
	conn, err := net.Dial("tcp", server.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	addr := conn.LocalAddr().(*net.TCPAddr).AddrPort()
	_, err = service.NewClient().Call(t.Context(), addr, lentilmux.ServiceCall{Method: http.MethodPost, Path: "/", Body: []byte("x")})
	if failureKindOf(err) != lentilmux.FailureDial {
		t.Errorf("call without a listener: got error %v, want kind dial", err)
	}
}

// TestClosedIdleConnection guards against calls that run twice when a service
// closes connections between calls, as it does on a restart. A call on such a
// connection may fail, as a failed dial if none of it was written, but not as
// refused, and must not run again.
func TestClosedIdleConnection(t *testing.T) {
	var runs atomic.Int32
	addr := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		w.Header().Set("Connection", "close")
	})
	client := service.NewClient()
	for range 20 {
		_, err := client.Call(t.Context(), addr, lentilmux.ServiceCall{Method: http.MethodPost, Path: "/", Key: "k"})
		if err != nil && failureKindOf(err) == lentilmux.FailureRefused {
			t.Errorf("call on a closed connection: got error %v, want none or a kind other than refused", err)
		}
	}
	if n := runs.Load(); n > 20 {
		t.Errorf("20 calls ran %d times, want at most 20", n)
	}
}
