package http1_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux/http1"
	"lentilmux.example/lentilmux/standin"
)

// TestMalformedHeadsOverTLS guards against malformed heads that pass on a connection with
// TLS, and against a server there that is not verified.
func TestMalformedHeadsOverTLS(t *testing.T) {
	answers := make(chan string, 1)
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(conn, <-answers)
		_ = conn.Close()
	}))
	defer server.Close()
	config := server.Client().Transport.(*http.Transport).TLSClientConfig
	client := &http.Client{Transport: http1.NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext, TLSClientConfig: config})}
	defer client.CloseIdleConnections()
	for _, head := range standin.RawHeads {
		answers <- head.Answer("")
		response, err := client.Get(server.URL)
		if err == nil {
			_ = response.Body.Close()
		}
		if (err == nil) != head.Sound || !head.Sound && !errors.Is(err, http1.ErrMalformedHead) {
			t.Errorf("%s: error %v", head.Name, err)
		}
	}
	config = config.Clone()
	config.RootCAs, config.ServerName = nil, ""
	stranger := &http.Client{Transport: http1.NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext, TLSClientConfig: config})}
	if response, err := stranger.Get(server.URL); err == nil {
		_ = response.Body.Close()
		t.Error("the certificate of the server is not verified")
	}
}
