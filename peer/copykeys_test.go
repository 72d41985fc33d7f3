package peer_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"reflect"
	"strings"
	"testing"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/peer"
	"lentilmux.example/lentilmux/service"
)

// TestCopiesWithOddKeys guards against a copy that no peer can read because one of
// its keys, left by another writer, is not text.
func TestCopiesWithOddKeys(t *testing.T) {
	entries := []lentilmux.CompactedEntry{
		{Key: "w1", Value: []byte("{}"), Offset: 1},
		{Key: "\xff\x00\xc3", Value: []byte("\xfe"), Offset: 2},
		{Key: strings.Repeat("\x80", 255), Offset: 3},
		{Key: "", Value: []byte("{}"), Offset: 4},
	}
	mux := http.NewServeMux()
	mux.Handle(peer.NewCopyHandler(&copyReader{out: &strings.Builder{}, page: lentilmux.CompactedPage{End: 5, Entries: entries}}))
	server := httptest.NewServer(mux)
	defer server.Close()
	page, err := peer.NewCopyClient(service.NewClient()).Read(t.Context(), netip.MustParseAddrPort(server.Listener.Addr().String()), lentilmux.CopyRead{Stream: lentilmux.StreamUpstreams, AllKeys: true})
	if err != nil || !reflect.DeepEqual(page.Entries, entries) {
		t.Errorf("got entries %+v, error %v", page.Entries, err)
	}
}
