package platformlog_test

import (
	"net/http"
	"testing"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/http1"
	"lentilmux.example/lentilmux/platformlog"
	"lentilmux.example/lentilmux/standin"
)

// TestMalformedHead guards against an append that counts as stored, and a log that looks
// empty, since an answer with a malformed head has lost its length: an empty message is
// valid.
func TestMalformedHead(t *testing.T) {
	server, err := standin.StartRawServer(func(*http.Request) standin.RawAnswer {
		return standin.RawAnswer{Text: "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\nContent-Length : 80\r\n\r\n"}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	client := platformlog.NewClient(server.Addr())
	if err := client.Append(t.Context(), lentilmux.StreamCalls, [][]byte{[]byte("x")}); !errors.Is(err, http1.ErrMalformedHead) {
		t.Errorf("append: error %v, expected a malformed head", err)
	}
	if page, err := client.Read(t.Context(), lentilmux.StreamCalls, 5, 0); !errors.Is(err, http1.ErrMalformedHead) {
		t.Errorf("got the page %+v, error %v; expected a malformed head", page, err)
	}
}
