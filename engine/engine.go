// Package engine speaks to model engines: it implements [lentilmux.Engine]
// over the engines' Connect interface, and [Relay], which drives an answer
// through the stages of a pipeline.
//
// The relay knows only the interface, so it serves any front end and any
// engine behind it.
//
// # Usage
//
//	client := engine.NewClient()
//	relay := engine.NewRelay(node, client)
//	err := relay.Answer(ctx, request, prompt, func(token string) error {
//		return writer.Write(token)
//	})
package engine

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/engine/enginepb"
	"lentilmux.example/lentilmux/engine/enginepb/enginepbconnect"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 500 * time.Millisecond
	// pingAfter is the silence of a connection after which it is pinged.
	pingAfter = 500 * time.Millisecond
	// pingTimeout is the wait for the answer to a ping. A connection that
	// does not answer is closed, and its streams fail.
	pingTimeout = time.Second
	// callTimeout bounds calls other than streams.
	callTimeout = 500 * time.Millisecond
)

// Client implements [lentilmux.Engine] over HTTP/2. It keeps one transport for
// each upstream.
type Client struct {
	mu         sync.Mutex
	transports map[netip.AddrPort]*http.Transport
}

// NewClient returns a client with no connections.
func NewClient() *Client {
	return &Client{transports: make(map[netip.AddrPort]*http.Transport)}
}

// newTransport returns a transport for HTTP/2 without TLS that notices
// connections gone silent.
func newTransport() *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		Protocols:       protocols,
		DialContext:     dialer.DialContext,
		TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13},
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingAfter,
			PingTimeout:     pingTimeout,
		},
	}
}

// stub returns the Connect client for an upstream over its shared transport.
func (c *Client) stub(upstream netip.AddrPort) enginepbconnect.EngineServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	transport, ok := c.transports[upstream]
	if !ok {
		transport = newTransport()
		c.transports[upstream] = transport
	}
	return newStub(upstream, transport)
}

func newStub(upstream netip.AddrPort, transport *http.Transport) enginepbconnect.EngineServiceClient {
	// A step is some tens of bytes; compressing each costs more than its relay.
	uncompressed := connect.WithAcceptCompression("gzip", nil, nil)
	return enginepbconnect.NewEngineServiceClient(&http.Client{Transport: transport}, "http://"+upstream.String(), uncompressed)
}

// OpenStage implements [lentilmux.Engine].
func (c *Client) OpenStage(ctx context.Context, upstream netip.AddrPort, open lentilmux.StageOpen) (stage lentilmux.Stage, err error) {
	streamCtx, cancel := context.WithCancel(ctx)
	stream := c.stub(upstream).Run(streamCtx)
	s := &stageStream{stream: stream, cancel: cancel, replies: make(chan reply, 1)}
	if err := stream.Send(&enginepb.RunRequest{Open: openToWire(open)}); err != nil {
		// A send tells only that the stream ended; the reason is received.
		if _, reason := stream.Receive(); reason != nil {
			err = reason
		}
		cancel()
		return nil, s.failure(err)
	}
	go s.receive()
	return s, nil
}

func openToWire(open lentilmux.StageOpen) *enginepb.Open {
	return &enginepb.Open{
		Request:   string(open.Request),
		Epoch:     uint32(open.Epoch),
		Model:     open.Model,
		Layers:    layersToWire(open.Layers),
		Total:     int32(open.TotalLayers),
		Prompt:    open.Prompt,
		Generated: open.Generated,
		MaxTokens: int32(open.MaxTokens),
		Priority:  int32(open.Priority),
	}
}

func layersToWire(l lentilmux.LayerRange) *enginepb.Layers {
	return &enginepb.Layers{First: int32(l.First), Last: int32(l.Last)}
}

// Load implements [lentilmux.Engine].
func (c *Client) Load(ctx context.Context, upstream netip.AddrPort) (report lentilmux.LoadReport, err error) {
	defer errors.DeferredAnnotatef(&err, "asking %s for its load", upstream)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := c.stub(upstream).Load(ctx, connect.NewRequest(&enginepb.LoadRequest{}))
	if err != nil {
		return lentilmux.LoadReport{}, err
	}
	m := response.Msg
	report = lentilmux.LoadReport{
		Running:   int(m.GetRunning()),
		Queued:    int(m.GetQueued()),
		Layers:    lentilmux.LayerRange{First: int(m.GetLayers().GetFirst()), Last: int(m.GetLayers().GetLast())},
		HasLayers: m.GetHeld(),
		Model:     m.GetModel(),
		Leaving:   m.GetLeaving(),
		Fence:     lentilmux.Revision(m.GetFence()),
		At:        time.UnixMilli(m.GetAtUnixMs()),
	}
	for _, hit := range m.GetCacheHits() {
		report.CachedPrefixes = append(report.CachedPrefixes, lentilmux.Fingerprint(hit))
	}
	return report, nil
}

// SendOrder implements [lentilmux.Engine].
func (c *Client) SendOrder(ctx context.Context, upstream netip.AddrPort, order lentilmux.Order) (err error) {
	defer errors.DeferredAnnotatef(&err, "ordering %s", upstream)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = c.stub(upstream).Order(ctx, connect.NewRequest(&enginepb.OrderRequest{
		Model: order.Model, Layers: layersToWire(order.Layers), Fence: uint64(order.Fence),
	}))
	return err
}

// Probe implements [lentilmux.Engine]. It uses a connection of its own. When
// that answers, work moves to new connections too, so that ones gone silent
// take nothing new.
func (c *Client) Probe(ctx context.Context, upstream netip.AddrPort) (err error) {
	defer errors.DeferredAnnotatef(&err, "probing %s", upstream)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	transport := newTransport()
	if _, err := newStub(upstream, transport).Load(ctx, connect.NewRequest(&enginepb.LoadRequest{})); err != nil {
		transport.CloseIdleConnections()
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.transports[upstream]; old != nil {
		old.CloseIdleConnections()
	}
	c.transports[upstream] = transport
	return nil
}

// reply is one message of a stage's stream, or its end.
type reply struct {
	output lentilmux.StepOutput
	err    error
}

// stageStream implements [lentilmux.Stage].
type stageStream struct {
	stream  *connect.BidiStreamForClient[enginepb.RunRequest, enginepb.RunResponse]
	cancel  context.CancelFunc
	replies chan reply
}

// receive reads the stream until it ends, so that Step can wait for a message
// and for its context at once.
func (s *stageStream) receive() {
	defer close(s.replies)
	for {
		message, err := s.stream.Receive()
		if err != nil {
			s.replies <- reply{err: s.failure(err)}
			return
		}
		s.replies <- reply{output: lentilmux.StepOutput{
			Position:   int(message.GetPosition()),
			Activation: message.GetActivation(),
			Token:      message.GetToken(),
			End:        message.GetEnd(),
		}}
	}
}

// Step implements [lentilmux.Stage].
func (s *stageStream) Step(ctx context.Context, input lentilmux.StepInput) (output lentilmux.StepOutput, err error) {
	request := &enginepb.RunRequest{
		Position:   int32(input.Position),
		Token:      input.Token,
		Activation: input.Activation,
	}
	// A failed send means that the stream has ended; receive has the reason.
	if err := s.stream.Send(request); err != nil && !errors.Is(err, io.EOF) {
		return lentilmux.StepOutput{}, s.failure(err)
	}
	select {
	case r, ok := <-s.replies:
		if !ok {
			return lentilmux.StepOutput{}, &lentilmux.UpstreamError{Kind: lentilmux.FailureCrash, Err: io.ErrUnexpectedEOF}
		}
		return r.output, r.err
	case <-ctx.Done():
		return lentilmux.StepOutput{}, &lentilmux.UpstreamError{Kind: lentilmux.FailureTimeout, Err: context.Cause(ctx)}
	}
}

// Close implements [lentilmux.Stage].
func (s *stageStream) Close() (err error) {
	err = s.stream.CloseRequest()
	s.cancel()
	// The receiver may wait to hand over one last reply.
	go func() {
		for range s.replies {
			continue
		}
	}()
	return err
}

// failure sorts an error of the stream into a kind.
func (s *stageStream) failure(err error) *lentilmux.UpstreamError {
	return &lentilmux.UpstreamError{Kind: failureKind(err), Err: err}
}

// failureKind tells how a call failed. An error that the engine itself sent is
// a refusal or a breach of the protocol; one without a connection is a failed
// dial; a connection that stopped answering pings timed out; any other lost
// connection counts as a crash.
func failureKind(err error) lentilmux.FailureKind {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return lentilmux.FailureDial
	}
	if errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) {
		return lentilmux.FailureCrash // whatever code the client gave it
	}
	switch connect.CodeOf(err) {
	case connect.CodeResourceExhausted, connect.CodeFailedPrecondition:
		return lentilmux.FailureRefused
	case connect.CodeInvalidArgument, connect.CodeUnimplemented:
		return lentilmux.FailureProtocol
	case connect.CodeCanceled, connect.CodeDeadlineExceeded:
		return lentilmux.FailureTimeout
	}
	if strings.Contains(err.Error(), "client connection lost") {
		return lentilmux.FailureTimeout
	}
	return lentilmux.FailureCrash
}
