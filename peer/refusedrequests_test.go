package peer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux"
)

// TestRefusedRequestsInDigests guards against other bytes than those of an earlier build
// where no request was refused, against callers of which a build without the field tells
// nothing that are expected, against columns of different lengths, and against digests
// that grow by more than about 6 bytes a request.
func TestRefusedRequestsInDigests(t *testing.T) {
	var out strings.Builder
	digest := mixedDigest()
	without := sentBytes(t, digest)
	fmt.Fprintf(&out, "without: read as %v\n", receivedDigest(t, without).Refused)
	digest.Refused = []lentilmux.RefusedRequest{{Request: 7, Remaining: 2310 * time.Millisecond}, {Request: 1 << 31, Remaining: -time.Second}}
	fmt.Fprintf(&out, "with two: read as %v\n", receivedDigest(t, sentBytes(t, digest)).Refused)
	fmt.Fprintf(&out, "columns of different lengths: read as %v\n", receivedDigest(t, without+"c201060a0407000000").Refused)
	for i := len(digest.Refused); i < 256; i++ {
		digest.Refused = append(digest.Refused, lentilmux.RefusedRequest{Request: lentilmux.RequestHash(i) << 20, Remaining: 14 * time.Second})
	}
	fmt.Fprintf(&out, "with 256: %d bytes more\n", (len(sentBytes(t, digest))-len(without))/2)
	goldie.New(t).Assert(t, "refused_requests", []byte(out.String()))
}
