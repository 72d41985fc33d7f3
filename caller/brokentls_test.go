package caller_test

import (
	"crypto/tls"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"lentilmux.example/lentilmux/caller"
)

// TestBrokenResponseOverTLS guards against a response to HTTP/1.0 that broke off and ends,
// under TLS, as a complete one does: by the message close_notify.
func TestBrokenResponseOverTLS(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "data: a\n\n")
		_ = http.NewResponseController(w).Flush()
		caller.BreakResponse(w, r)
	}))
	defer server.Close()
	config := server.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
	config.ServerName, config.NextProtos = "example.com", nil
	conn, err := tls.Dial("tcp", server.Listener.Addr().String(), config)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err = io.WriteString(conn, "GET / HTTP/1.0\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	received, err := io.ReadAll(conn)
	if err == nil {
		t.Errorf("the broken response ends as a complete one: %q", received)
	}
	if !strings.HasPrefix(string(received), "HTTP/1.0 200") && len(received) > 0 {
		t.Errorf("got %q, expected the beginning of a response", received)
	}
}
