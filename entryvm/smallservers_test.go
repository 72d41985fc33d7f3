package entryvm

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/peer"
)

// evictingReader is a reader of copies for which the table needs room while it waits.
type evictingReader struct {
	table *connTable
	room  bool // whether there was any
}

// Read implements [peer.CopyReader].
func (e *evictingReader) Read(context.Context, lentilmux.CopyRead) (page lentilmux.CompactedPage, err error) {
	e.room = e.table.makeRoom()
	return page, nil
}

// TestEvictCopyRead guards against reads of copies, which need no key, that fill the
// peers' port: while they wait they make room, and sooner than a connection that has
// carried a forwarded request.
func TestEvictCopyRead(t *testing.T) {
	table := newConnTable(func(lentilmux.Decision) {}, func(connEnd) {}).withLimits(ConnLimits{Conns: 2}, func(string) {})
	contexts, rows := make([]context.Context, 2), make([]*connRow, 2)
	for i := range rows {
		conn, _ := net.Pipe()
		rows[i] = table.add(conn)
		contexts[i] = context.WithValue(context.WithValue(t.Context(), connRowKey{}, rows[i]), connKey{}, conn)
		table.markHandled(rows[i])
	}
	forwarded := forwardedRequests{handler: http.NotFoundHandler()}
	request := httptest.NewRequestWithContext(contexts[0], http.MethodGet, "/", http.NoBody)
	peer.SetForwarded(request.Header, lentilmux.ForwardedRequest{VM: "edge-1"})
	forwarded.ServeHTTP(httptest.NewRecorder(), request)
	table.setState(rows[0], http.StateIdle)

	reader := &evictingReader{table: table}
	_, err := evictableReader{reader}.Read(contexts[1], lentilmux.CopyRead{})
	if !reader.room || !errors.Is(err, lentilmux.ErrNoMemory) || rows[0].evicted {
		t.Errorf("room %t, the read ended with %v, the peer's connection closed %t; expected room, no memory, and an open connection", reader.room, err, rows[0].evicted)
	}
}
