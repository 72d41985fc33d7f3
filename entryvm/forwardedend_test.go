package entryvm

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/peer"
)

// slowListener accepts connections whose writes take a while, as on a busy VM.
type slowListener struct{ net.Listener }

func (l slowListener) Accept() (conn net.Conn, err error) {
	if conn, err = l.Listener.Accept(); err != nil {
		return nil, err
	}
	return slowConn{conn}, nil
}

type slowConn struct{ net.Conn }

func (c slowConn) Write(data []byte) (count int, err error) {
	time.Sleep(2 * time.Millisecond)
	return c.Conn.Write(data)
}

// TestForwardedAnswerIsWhole guards against answers to peers that are cut since the process ends when their handler has returned.
func TestForwardedAnswerIsWhole(t *testing.T) {
	const rounds = 50
	cut := 0
	for range rounds {
		returned := make(chan struct{})
		f := &forwardedRequests{handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "first ")
			_ = http.NewResponseController(w).Flush()
			_, _ = io.WriteString(w, "last")
			close(returned)
		})}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := f.newServer()
		go func() { _ = server.Serve(slowListener{listener}) }()
		go func() {
			<-returned
			_ = f.wait(t.Context())
			_ = server.Close()
		}()
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+listener.Addr().String()+"/", nil)
		if err != nil {
			t.Fatal(err)
		}
		peer.SetForwarded(request.Header, lentilmux.ForwardedRequest{VM: "entry-2"})
		response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
		if err != nil {
			cut++
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || strings.TrimSpace(string(body)) != "first last" {
			cut++
		}
	}
	if cut > 0 {
		t.Errorf("%d of %d answers were cut", cut, rounds)
	}
}
