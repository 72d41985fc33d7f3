package peer

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/http1"
	"lentilmux.example/lentilmux/standin"
)

// TestMalformedHead guards against a digest that is read from an answer with a malformed
// head, of which nobody knows where it ends.
func TestMalformedHead(t *testing.T) {
	digest := lentilmux.Digest{VM: "entry-1", Addr: netip.MustParseAddrPort("192.0.2.1:7080")}
	body, err := proto.Marshal(digestToProto(digest))
	if err != nil {
		t.Fatal(err)
	}
	server, err := standin.StartRawServer(func(*http.Request) standin.RawAnswer {
		return standin.RawAnswer{Text: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\nContent-Length : %d\r\n\r\n%s", len(body)+1, body)}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	if reply, err := NewClient("", nil).Exchange(t.Context(), server.Addr(), digest); !errors.Is(err, http1.ErrMalformedHead) {
		t.Errorf("got the digest %+v, error %v; expected a malformed head", reply, err)
	}
}
