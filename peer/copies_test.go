package peer_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/peer"
	"lentilmux.example/lentilmux/service"
)

// copyReader gives the same answer to each read and logs the read.
type copyReader struct {
	out  *strings.Builder
	page lentilmux.CompactedPage
	err  error
}

func (r *copyReader) Read(_ context.Context, read lentilmux.CopyRead) (page lentilmux.CompactedPage, err error) {
	fmt.Fprintf(r.out, "read %+v\n", read)
	return r.page, r.err
}

// TestCopyRoundTrip compares reads and answers between two VMs over loopback
// with the golden file. It guards against fields and kinds of errors that get
// lost in transit.
func TestCopyRoundTrip(t *testing.T) {
	read := lentilmux.CopyRead{Stream: lentilmux.StreamUpstreams, Timeline: 2, From: 17, Wait: 800 * time.Millisecond}
	cases := []struct {
		name   string
		read   lentilmux.CopyRead
		reader copyReader
	}{
		{"entries", read, copyReader{page: lentilmux.CompactedPage{Timeline: 3, End: 1 << 40, Lag: 3 * time.Millisecond, Entries: []lentilmux.CompactedEntry{
			{Key: "a", Value: []byte("\x00\xff"), Offset: 18}, {Key: "b", Offset: 1<<40 - 1},
		}}}},
		{"newer than the request", lentilmux.CopyRead{Stream: lentilmux.StreamRules, AllKeys: true}, copyReader{page: lentilmux.CompactedPage{Lag: -time.Second}}},
		{"behind", read, copyReader{err: lentilmux.ErrCopyBehind}},
		{"truncated", read, copyReader{err: lentilmux.ErrTruncated}},
		{"another error", read, copyReader{err: errors.New("broken")}},
	}
	var out strings.Builder
	client := peer.NewCopyClient(service.NewClient())
	for _, c := range cases {
		fmt.Fprintf(&out, "== %s\n", c.name)
		c.reader.out = &out
		mux := http.NewServeMux()
		mux.Handle(peer.NewCopyHandler(&c.reader))
		server := httptest.NewServer(mux)
		addr := netip.MustParseAddrPort(server.Listener.Addr().String())
		page, err := client.Read(t.Context(), addr, c.read)
		if err != nil {
			text := strings.ReplaceAll(err.Error(), addr.String(), "ADDR")
			fmt.Fprintf(&out, "error %s; truncated=%t behind=%t\n", text, errors.Is(err, lentilmux.ErrTruncated), errors.Is(err, lentilmux.ErrCopyBehind))
		} else {
			fmt.Fprintf(&out, "timeline %d end %d lag %s entries %+v\n", page.Timeline, page.End, page.Lag, page.Entries)
		}
		server.Close()
	}
	goldie.New(t).Assert(t, "copies", []byte(out.String()))
}
