package operator_test

import (
	"net/http"
	"net/netip"
	"testing"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux/http1"
	"lentilmux.example/lentilmux/operator"
	"lentilmux.example/lentilmux/standin"
)

// TestMalformedHead guards against a statement that counts as executed since the answer
// has a malformed head: an empty message is a valid result.
func TestMalformedHead(t *testing.T) {
	server, err := standin.StartRawServer(func(*http.Request) standin.RawAnswer {
		return standin.RawAnswer{Text: "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\nContent-Length : 80\r\n\r\n"}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	client := operator.NewClient([]netip.AddrPort{server.Addr()}, "", "ada", nil)
	if result, err := client.Execute(t.Context(), "show vms"); !errors.Is(err, http1.ErrMalformedHead) {
		t.Errorf("got %+v, error %v; expected a malformed head", result, err)
	}
}
