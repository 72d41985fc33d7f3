package operator_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/operator"
)

// unknownColumnNode answers each query with the error that a column is unknown.
type unknownColumnNode struct{ name string }

// Send implements [lentilmux.NodeClient].
func (n unknownColumnNode) Send(context.Context, lentilmux.Msg) (err error) { return nil }

// Ask implements [lentilmux.NodeClient].
func (n unknownColumnNode) Ask(context.Context, lentilmux.Msg) (answer lentilmux.Answer, err error) {
	return lentilmux.QueryAnswer{Err: "no such column", UnknownName: n.name}, nil
}

// TestCaretAfterWideCharacters guards against a caret that stands right of the wrong
// word, because the position counts the bytes of the characters before it.
func TestCaretAfterWideCharacters(t *testing.T) {
	server := httptest.NewServer(nil)
	defer server.Close()
	_, server.Config.Handler = operator.NewHandler(unknownColumnNode{"nosuch"}, operator.Keys{}, func() {})
	client := operator.NewClient([]netip.AddrPort{netip.MustParseAddrPort(server.Listener.Addr().String())}, "", "tester", nil)
	_, err := client.Execute(t.Context(), `show upstreams where zone = "bücher" and nosuch = 1`)
	if err == nil {
		t.Fatal("got no error for an unknown column")
	}
	lines := strings.Split(err.Error(), "\n")
	if len(lines) < 2 || !strings.HasSuffix(lines[1], strings.Repeat(" ", 41)+"^") || strings.HasSuffix(lines[1], strings.Repeat(" ", 42)+"^") {
		t.Errorf("the caret is not under the wrong word:\n%s", err)
	}
}
