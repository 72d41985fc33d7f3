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

// serve serves a handler on a port of its own.
func serve(t *testing.T, handler http.HandlerFunc) netip.AddrPort {
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

// kind returns the kind of a failure, or -1 for none.
func kind(err error) lentilmux.FailureKind {
	var stepError *lentilmux.UpstreamError
	if errors.As(err, &stepError) {
		return stepError.Kind
	}
	return -1
}

// TestCallIsNeverSentTwice lets a service break a connection that was used
// before, after it has run the call. The network client must not send the call
// again by itself, with a body or without.
func TestCallIsNeverSentTwice(t *testing.T) {
	for name, body := range map[string][]byte{"body": []byte("refund"), "no body": nil} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int32
			addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
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
			if kind(err) != lentilmux.FailureCrash {
				t.Errorf("a broken call gave %v", err)
			}
			if n := runs.Load(); n != 1 {
				t.Errorf("the call ran %d times", n)
			}
		})
	}
}

func TestNoListenerIsAFailedDial(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().(*net.TCPAddr).AddrPort()
	_ = listener.Close()
	_, err = service.NewClient().Call(t.Context(), addr, lentilmux.ServiceCall{Method: http.MethodPost, Path: "/", Body: []byte("x")})
	if kind(err) != lentilmux.FailureDial {
		t.Errorf("got %v", err)
	}
}

// TestClosedIdleConnection lets the service close a connection between two
// calls, as one that was restarted does. The call ends as failed, never as run
// twice, and a failure before any byte left may say so.
func TestClosedIdleConnection(t *testing.T) {
	var runs atomic.Int32
	addr := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		w.Header().Set("Connection", "close")
	})
	client := service.NewClient()
	for range 20 {
		_, err := client.Call(t.Context(), addr, lentilmux.ServiceCall{Method: http.MethodPost, Path: "/", Key: "k"})
		if err != nil && kind(err) == lentilmux.FailureRefused {
			t.Errorf("got %v", err)
		}
	}
	if n := runs.Load(); n > 20 {
		t.Errorf("20 calls ran %d times", n)
	}
}
