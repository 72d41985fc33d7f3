package peer

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/peer/peerpb"
	"lentilmux.example/lentilmux/peer/peerpb/peerpbconnect"
)

const (
	// maxCopyBytes bounds the size of a peer's response.
	maxCopyBytes = 8 << 20
	// maxCopyWait bounds the wait that a peer may request.
	maxCopyWait = 30 * time.Second
)

// Sender sends an HTTP request once, without retries. [service.Client]
// implements it.
type Sender interface {
	Send(request *http.Request) (response *http.Response, err error)
}

// CopyClient implements [lentilmux.StreamCopies] over the Connect protocol. It
// is safe for concurrent use.
type CopyClient struct {
	sender Sender

	mu    sync.Mutex
	stubs map[netip.AddrPort]peerpbconnect.CopyServiceClient
}

// NewCopyClient returns a client that reads the copies of peers through sender.
func NewCopyClient(sender Sender) *CopyClient {
	return &CopyClient{sender: sender, stubs: make(map[netip.AddrPort]peerpbconnect.CopyServiceClient)}
}

// Do implements [connect.HTTPClient]. It sends the request through the [Sender].
func (c *CopyClient) Do(request *http.Request) (response *http.Response, err error) {
	request.GetBody = nil // keeps the transport from retrying the request
	return c.sender.Send(request)
}

// stub returns the stub for the peer at addr. Stubs are kept for later reads.
func (c *CopyClient) stub(addr netip.AddrPort) peerpbconnect.CopyServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	stub, ok := c.stubs[addr]
	if !ok {
		stub = peerpbconnect.NewCopyServiceClient(c, "http://"+addr.String(), connect.WithReadMaxBytes(maxCopyBytes))
		c.stubs[addr] = stub
	}
	return stub
}

// Read implements [lentilmux.StreamCopies]. It returns [lentilmux.ErrTruncated]
// and [lentilmux.ErrCopyBehind] for the Connect codes that [NewCopyHandler] uses
// for them.
func (c *CopyClient) Read(ctx context.Context, addr netip.AddrPort, read lentilmux.CopyRead) (page lentilmux.CompactedPage, err error) {
	defer errors.DeferredAnnotatef(&err, "reading stream %s from peer %s", read.Stream, addr)
	response, err := c.stub(addr).Read(ctx, connect.NewRequest(&peerpb.CopyReadRequest{
		Stream: string(read.Stream), Whole: read.AllKeys, Timeline: uint64(read.Timeline), From: read.From, WaitMs: read.Wait.Milliseconds(),
	}))
	switch connect.CodeOf(err) {
	case connect.CodeOutOfRange:
		return page, lentilmux.ErrTruncated
	case connect.CodeFailedPrecondition:
		return page, lentilmux.ErrCopyBehind
	}
	if err != nil {
		return page, err
	}
	page = lentilmux.CompactedPage{Timeline: lentilmux.Timeline(response.Msg.GetTimeline()), End: response.Msg.GetEnd(), Lag: time.Duration(response.Msg.GetLagNs())}
	for _, entry := range response.Msg.GetEntries() {
		page.Entries = append(page.Entries, lentilmux.CompactedEntry{Key: string(entry.GetKey()), Value: entry.GetValue(), Offset: entry.GetOffset()})
	}
	return page, nil
}

// CopyReader reads this VM's copies of compacted streams;
// [platformlog.CopyCache] implements it.
type CopyReader interface {
	Read(ctx context.Context, read lentilmux.CopyRead) (page lentilmux.CompactedPage, err error)
}

// copyHandler answers the reads of peers.
type copyHandler struct {
	reader CopyReader
}

// NewCopyHandler returns the path to register and the HTTP handler that answers
// the reads of peers from reader.
func NewCopyHandler(reader CopyReader) (path string, handler http.Handler) {
	return peerpbconnect.NewCopyServiceHandler(&copyHandler{reader: reader}, connect.WithReadMaxBytes(1<<10))
}

// Read answers one read. Each kind of error has a Connect code of its own.
func (h *copyHandler) Read(ctx context.Context, request *connect.Request[peerpb.CopyReadRequest]) (response *connect.Response[peerpb.CopyReadResponse], err error) {
	read := request.Msg
	page, err := h.reader.Read(ctx, lentilmux.CopyRead{
		Stream: lentilmux.Stream(read.GetStream()), AllKeys: read.GetWhole(), Timeline: lentilmux.Timeline(read.GetTimeline()), From: read.GetFrom(),
		Wait: min(time.Duration(read.GetWaitMs())*time.Millisecond, maxCopyWait),
	})
	switch {
	case errors.Is(err, lentilmux.ErrTruncated):
		return nil, connect.NewError(connect.CodeOutOfRange, err)
	case errors.Is(err, lentilmux.ErrCopyBehind):
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	case err != nil:
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	reply := &peerpb.CopyReadResponse{Timeline: uint64(page.Timeline), End: page.End, LagNs: page.Lag.Nanoseconds()}
	for _, entry := range page.Entries {
		reply.Entries = append(reply.Entries, &peerpb.CopyEntry{Key: []byte(entry.Key), Value: entry.Value, Offset: entry.Offset})
	}
	return connect.NewResponse(reply), nil
}
