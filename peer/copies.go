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
	// copyMost is the largest answer of another VM that is read, in bytes.
	copyMost = 8 << 20
	// copyWaitMost bounds the wait that another VM may ask for.
	copyWaitMost = 30 * time.Second
)

// Sender sends a request once, as [service.Client] does.
type Sender interface {
	Send(request *http.Request) (response *http.Response, err error)
}

// CopyClient implements [lentilmux.StreamCopies].
type CopyClient struct {
	sender Sender

	mu    sync.Mutex
	stubs map[netip.AddrPort]peerpbconnect.CopyServiceClient
}

// NewCopyClient returns a client of other VMs' copies.
func NewCopyClient(sender Sender) *CopyClient {
	return &CopyClient{sender: sender, stubs: make(map[netip.AddrPort]peerpbconnect.CopyServiceClient)}
}

// Do makes a [Sender] what stubs use.
func (c *CopyClient) Do(request *http.Request) (response *http.Response, err error) {
	request.GetBody = nil // keeps the transport from sending the question again
	return c.sender.Send(request)
}

func (c *CopyClient) stub(addr netip.AddrPort) peerpbconnect.CopyServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	stub, ok := c.stubs[addr]
	if !ok {
		stub = peerpbconnect.NewCopyServiceClient(c, "http://"+addr.String(), connect.WithReadMaxBytes(copyMost))
		c.stubs[addr] = stub
	}
	return stub
}

// Read implements [lentilmux.StreamCopies].
func (c *CopyClient) Read(ctx context.Context, addr netip.AddrPort, read lentilmux.CopyRead) (page lentilmux.KeyedPage, err error) {
	defer errors.DeferredAnnotatef(&err, "reading %s at %s", read.Stream, addr)
	response, err := c.stub(addr).Read(ctx, connect.NewRequest(&peerpb.CopyReadRequest{
		Stream: string(read.Stream), Whole: read.AllKeys, From: read.From, WaitMs: read.Wait.Milliseconds(),
	}))
	switch connect.CodeOf(err) {
	case connect.CodeOutOfRange:
		return page, lentilmux.ErrTruncated
	case connect.CodeFailedPrecondition:
		return page, lentilmux.ErrBehind
	}
	if err != nil {
		return page, err
	}
	page = lentilmux.KeyedPage{End: response.Msg.GetEnd(), Lag: time.Duration(response.Msg.GetLagNs())}
	for _, entry := range response.Msg.GetEntries() {
		page.Entries = append(page.Entries, lentilmux.KeyedEntry{Key: entry.GetKey(), Value: entry.GetValue(), Offset: entry.GetOffset()})
	}
	return page, nil
}

// CopyReader answers questions about copies; [platformlog.CopyStore] is one.
type CopyReader interface {
	Read(ctx context.Context, read lentilmux.CopyRead) (page lentilmux.KeyedPage, err error)
}

// copyHandler answers the questions of other VMs.
type copyHandler struct {
	reader CopyReader
}

// NewCopyHandler returns the path and the HTTP handler that answer other VMs'
// questions about copies.
func NewCopyHandler(reader CopyReader) (path string, handler http.Handler) {
	return peerpbconnect.NewCopyServiceHandler(&copyHandler{reader: reader}, connect.WithReadMaxBytes(1<<10))
}

// Read answers one question.
func (h *copyHandler) Read(ctx context.Context, request *connect.Request[peerpb.CopyReadRequest]) (response *connect.Response[peerpb.CopyReadResponse], err error) {
	asked := request.Msg
	page, err := h.reader.Read(ctx, lentilmux.CopyRead{
		Stream: lentilmux.Stream(asked.GetStream()), AllKeys: asked.GetWhole(), From: asked.GetFrom(),
		Wait: min(time.Duration(asked.GetWaitMs())*time.Millisecond, copyWaitMost),
	})
	switch {
	case errors.Is(err, lentilmux.ErrTruncated):
		return nil, connect.NewError(connect.CodeOutOfRange, err)
	case errors.Is(err, lentilmux.ErrBehind):
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	case err != nil:
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	answer := &peerpb.CopyReadResponse{End: page.End, LagNs: page.Lag.Nanoseconds()}
	for _, entry := range page.Entries {
		answer.Entries = append(answer.Entries, &peerpb.CopyEntry{Key: entry.Key, Value: entry.Value, Offset: entry.Offset})
	}
	return connect.NewResponse(answer), nil
}
