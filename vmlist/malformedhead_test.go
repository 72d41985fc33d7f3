package vmlist_test

import (
	"net/http"
	"testing"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux/http1"
	"lentilmux.example/lentilmux/standin"
	"lentilmux.example/lentilmux/vmlist"
)

// TestMalformedHead guards against a list without VMs that is read from an answer with a
// malformed head: an empty message is valid, and the length of the real one is lost.
func TestMalformedHead(t *testing.T) {
	server, err := standin.StartRawServer(func(*http.Request) standin.RawAnswer {
		return standin.RawAnswer{Text: "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\nContent-Length : 80\r\n\r\n"}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	if vms, err := vmlist.NewClient(server.Addr()).List(t.Context()); !errors.Is(err, http1.ErrMalformedHead) {
		t.Errorf("got the list %v, error %v; expected a malformed head", vms, err)
	}
}
