// Package engine runs model requests on model engines. [Client] implements
// [lentilmux.Engine] over the engines' Connect interface; [Relay] runs a request
// through the stages of a pipeline and passes the tokens to the caller.
//
// The relay reaches engines only through the interface [lentilmux.Engine] and the
// caller only through an [EmitFunc], so it works with any engine and front end.
//
// # Usage
//
//	relay := engine.NewRelay(node, engine.NewClient())
//	emit := func(token string) error { return writer.Write(token) }
//	buildReply := func(tokens []string) lentilmux.ServiceReply {
//		return lentilmux.ServiceReply{Status: http.StatusOK, Body: []byte(strings.Join(tokens, ""))}
//	}
//	result, err := relay.Generate(ctx, request, prompt, emit, buildReply)
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
	// pingIdleTime is how long a connection may receive nothing before a ping
	// is sent on it.
	pingIdleTime = 500 * time.Millisecond
	// pingTimeout bounds the wait for the response to a ping. After it the
	// connection is closed, and its streams fail. The ping may be sent as a silence
	// begins, and its response has half a second after it.
	pingTimeout = lentilmux.ToleratedSilence + 500*time.Millisecond
	// unaryTimeout bounds each call that is not a stream.
	unaryTimeout = 500 * time.Millisecond
)

// Client implements [lentilmux.Engine] over HTTP/2 without TLS. It keeps one
// transport for each upstream and is safe for concurrent use.
type Client struct {
	dial       DialFunc
	mu         sync.Mutex
	transports map[netip.AddrPort]*http.Transport
}

// DialFunc opens a connection, as [net.Dialer.DialContext] does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Option configures a [Client].
type Option func(*Client)

// WithDial sets how connections are opened. The default is over TCP.
func WithDial(dial DialFunc) Option {
	return func(c *Client) { c.dial = dial }
}

// NewClient returns a client without open connections.
func NewClient(options ...Option) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	c := &Client{dial: dialer.DialContext, transports: make(map[netip.AddrPort]*http.Transport)}
	for _, option := range options {
		option(c)
	}
	return c
}

// newTransport returns a transport for HTTP/2 without TLS that detects dead
// connections by pings.
func (c *Client) newTransport() *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols:       protocols,
		DialContext:     c.dial,
		TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13},
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingIdleTime,
			PingTimeout:     pingTimeout,
		},
	}
}

// stub returns a Connect client that uses the shared transport of upstream.
func (c *Client) stub(upstream netip.AddrPort) enginepbconnect.EngineServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	transport, ok := c.transports[upstream]
	if !ok {
		transport = c.newTransport()
		c.transports[upstream] = transport
	}
	return newStub(upstream, transport)
}

func newStub(upstream netip.AddrPort, transport *http.Transport) enginepbconnect.EngineServiceClient {
	// Messages of a step are some tens of bytes: compressing one would cost
	// more than forwarding it.
	uncompressed := connect.WithAcceptCompression("gzip", nil, nil)
	return enginepbconnect.NewEngineServiceClient(&http.Client{Transport: transport}, "http://"+upstream.String(), uncompressed)
}

// OpenStage implements [lentilmux.Engine]. A failure is a
// [*lentilmux.UpstreamError].
func (c *Client) OpenStage(ctx context.Context, upstream netip.AddrPort, open lentilmux.StageOpen) (stage lentilmux.Stage, err error) {
	streamCtx, cancel := context.WithCancel(ctx)
	stream := c.stub(upstream).Run(streamCtx)
	s := &stageStream{stream: stream, cancel: cancel, results: make(chan stepResult, 1)}
	if err := stream.Send(&enginepb.RunRequest{Open: openMessage(open)}); err != nil {
		// Send returns only io.EOF if the stream has ended; Receive returns
		// the reason.
		if _, reason := stream.Receive(); reason != nil {
			err = reason
		}
		cancel()
		return nil, s.upstreamError(err)
	}
	go s.receive()
	return s, nil
}

func openMessage(open lentilmux.StageOpen) *enginepb.Open {
	return &enginepb.Open{
		Request:   string(open.Request),
		Epoch:     uint32(open.Epoch),
		Model:     open.Model,
		Layers:    layersMessage(open.Layers),
		Total:     int32(open.TotalLayers),
		Prompt:    open.Prompt,
		Generated: open.Generated,
		MaxTokens: int32(open.MaxTokens),
		Priority:  int32(open.Priority),
	}
}

func layersMessage(l lentilmux.LayerRange) *enginepb.Layers {
	return &enginepb.Layers{First: int32(l.First), Last: int32(l.Last)}
}

// Load implements [lentilmux.Engine].
func (c *Client) Load(ctx context.Context, upstream netip.AddrPort) (report lentilmux.LoadReport, err error) {
	defer errors.DeferredAnnotatef(&err, "fetching the load of %s", upstream)
	ctx, cancel := context.WithTimeout(ctx, unaryTimeout)
	defer cancel()
	response, err := c.stub(upstream).Load(ctx, connect.NewRequest(&enginepb.LoadRequest{}))
	if err != nil {
		return lentilmux.LoadReport{}, err
	}
	message := response.Msg
	report = lentilmux.LoadReport{
		Running:   int(message.GetRunning()),
		Queued:    int(message.GetQueued()),
		Layers:    lentilmux.LayerRange{First: int(message.GetLayers().GetFirst()), Last: int(message.GetLayers().GetLast())},
		HasLayers: message.GetHeld(),
		Model:     message.GetModel(),
		Leaving:   message.GetLeaving(),
		Fence:     lentilmux.Revision(message.GetFence()),
		At:        time.UnixMilli(message.GetAtUnixMs()),
	}
	for _, hit := range message.GetCacheHits() {
		report.CachedPrefixes = append(report.CachedPrefixes, lentilmux.Fingerprint(hit))
	}
	return report, nil
}

// SendOrder implements [lentilmux.Engine].
func (c *Client) SendOrder(ctx context.Context, upstream netip.AddrPort, order lentilmux.Order) (err error) {
	defer errors.DeferredAnnotatef(&err, "ordering %s", upstream)
	ctx, cancel := context.WithTimeout(ctx, unaryTimeout)
	defer cancel()
	_, err = c.stub(upstream).Order(ctx, connect.NewRequest(&enginepb.OrderRequest{
		Model: order.Model, Layers: layersMessage(order.Layers), Fence: uint64(order.Fence),
	}))
	return err
}

// Probe implements [lentilmux.Engine] over a connection of its own. A failure is a
// [*lentilmux.UpstreamError]. If the engine
// answers on it, its transport replaces the shared one, so that new streams do
// not use connections that have gone silent.
func (c *Client) Probe(ctx context.Context, upstream netip.AddrPort) (err error) {
	defer errors.DeferredAnnotatef(&err, "probing %s", upstream)
	ctx, cancel := context.WithTimeout(ctx, unaryTimeout)
	defer cancel()
	transport := c.newTransport()
	if _, err := newStub(upstream, transport).Load(ctx, connect.NewRequest(&enginepb.LoadRequest{})); err != nil {
		transport.CloseIdleConnections()
		return &lentilmux.UpstreamError{Kind: failureKind(err), Err: err}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if previous := c.transports[upstream]; previous != nil {
		previous.CloseIdleConnections()
	}
	c.transports[upstream] = transport
	return nil
}

// stepResult is one message received from a stage's stream, or the error that
// ended the stream.
type stepResult struct {
	output lentilmux.StepOutput
	err    error
}

// stageStream implements [lentilmux.Stage].
type stageStream struct {
	stream  *connect.BidiStreamForClient[enginepb.RunRequest, enginepb.RunResponse]
	cancel  context.CancelFunc
	results chan stepResult
}

// receive reads the stream until it ends. It runs on a goroutine of its own, so
// that Step can wait for a message and for its context at the same time.
func (s *stageStream) receive() {
	defer close(s.results)
	for {
		message, err := s.stream.Receive()
		if err != nil {
			s.results <- stepResult{err: s.upstreamError(err)}
			return
		}
		s.results <- stepResult{output: lentilmux.StepOutput{
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
	// io.EOF means that the stream has ended; receive gets the reason.
	if err := s.stream.Send(request); err != nil && !errors.Is(err, io.EOF) {
		return lentilmux.StepOutput{}, s.upstreamError(err)
	}
	select {
	case r, ok := <-s.results:
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
	// receive may be blocked on sending its last results.
	go func() {
		for range s.results {
			continue
		}
	}()
	return err
}

// upstreamError wraps an error of the stream together with its failure kind.
func (s *stageStream) upstreamError(err error) *lentilmux.UpstreamError {
	return &lentilmux.UpstreamError{Kind: failureKind(err), Err: err}
}

// failureKind classifies the error of a call:
//   - no connection could be opened: a failed dial;
//   - the engine returned an error code: a refusal or a protocol violation;
//   - the call was canceled, its deadline passed, or the connection did not
//     answer a ping: a timeout;
//   - any other lost connection: a crash.
func failureKind(err error) lentilmux.FailureKind {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return lentilmux.FailureDial
	}
	if errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) {
		return lentilmux.FailureCrash // regardless of the code that the Connect client assigned
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
