package entryvm

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestDrainKeepsPipelinedRequest guards against a drain that cancels a request whose
// bytes were read together with those of the request before it.
func TestDrainKeepsPipelinedRequest(t *testing.T) {
	for _, c := range []struct {
		name   string
		second string
		pause  time.Duration // from the requests to the drain
	}{
		{"drain within the second request", "GET /second HTTP/1.1\r\nHost: a\r\n\r\n", 400 * time.Millisecond},
		{"drain within the first request", "GET /second HTTP/1.1\r\nHost: a\r\n\r\n", 50 * time.Millisecond},
		{"drain within the second request, with a body", "POST /second HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody", 400 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			ended := make(chan error, 2)
			f := &connFixture{}
			f.start(t, &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				select {
				case <-time.After(300 * time.Millisecond):
				case <-r.Context().Done():
				}
				ended <- r.Context().Err()
			})})
			conn, err := net.Dial("tcp", f.listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if _, err := io.WriteString(conn, "GET /first HTTP/1.1\r\nHost: a\r\n\r\n"+c.second); err != nil {
				t.Fatal(err)
			}
			time.Sleep(c.pause)
			if err := f.drain(t); err != nil {
				t.Errorf("the drain did not end: %v", err)
			}
			for i := range 2 {
				select {
				case err := <-ended:
					if err != nil {
						t.Errorf("request %d: the drain ended its context: %v", i, err)
					}
				case <-time.After(5 * time.Second):
					t.Fatalf("request %d was not served", i)
				}
			}
		})
	}
}
