// Package service speaks to plain services over HTTP: it implements
// [lentilmux.Service], and [Runner], which drives one call through the routes
// that the node gives it.
//
// # Usage
//
//	runner := service.NewRunner(node, service.NewClient())
//	reply, err := runner.Run(ctx, request, call)
package service

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 500 * time.Millisecond
	// replyMost is the largest body of a reply, in bytes.
	replyMost = 8 << 20
)

// ErrReplyTooLarge reports a reply that is larger than the router takes.
const ErrReplyTooLarge = errors.ConstError("reply too large")

// IdempotencyKeyHeader carries a caller's idempotency key, here and towards callers.
const IdempotencyKeyHeader = "Idempotency-Key"

// Client implements [lentilmux.Service] over HTTP/1.1.
type Client struct {
	client *http.Client
}

// Option changes a [Client] while it is made.
type Option func(*http.Transport, *net.Dialer)

// WithIdleTimeout sets how long a connection may wait for its next call, which
// has to be shorter than the services' own limit.
func WithIdleTimeout(timeout time.Duration) Option {
	return func(t *http.Transport, _ *net.Dialer) { t.IdleConnTimeout = timeout }
}

// WithMaxIdleConns sets how many connections to one service may wait.
func WithMaxIdleConns(count int) Option {
	return func(t *http.Transport, _ *net.Dialer) { t.MaxIdleConnsPerHost = count }
}

// WithDeadConnTimeout ends connections whose other end gives no sign of life for so
// long, with bytes under way or without.
func WithDeadConnTimeout(timeout time.Duration) Option {
	return func(_ *http.Transport, d *net.Dialer) {
		d.Control = userTimeout(timeout)
		d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: timeout / 2, Interval: timeout / 4, Count: 2}
	}
}

// NewClient returns a client with no connections. It follows no redirects,
// asks for no encoding and never sends a call again by itself.
func NewClient(options ...Option) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	for _, option := range options {
		option(transport, dialer)
	}
	return &Client{client: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Call implements [lentilmux.Service].
func (c *Client) Call(ctx context.Context, upstream netip.AddrPort, call lentilmux.ServiceCall) (reply lentilmux.ServiceReply, err error) {
	request, err := NewRequest(ctx, call.Method, "http://"+upstream.String()+call.Path, call.Body)
	if err != nil {
		return lentilmux.ServiceReply{}, &lentilmux.UpstreamError{Kind: lentilmux.FailureRefused, Err: err}
	}
	if call.ContentType != "" {
		request.Header.Set("Content-Type", call.ContentType)
	}
	if call.Key != "" {
		request.Header.Set(IdempotencyKeyHeader, call.Key)
	}
	response, err := c.Send(request)
	if err != nil {
		return lentilmux.ServiceReply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, replyMost+1))
	if err != nil {
		return lentilmux.ServiceReply{}, NewReadError(err)
	}
	if len(body) > replyMost {
		return lentilmux.ServiceReply{}, &lentilmux.UpstreamError{Kind: lentilmux.FailureProtocol, Err: ErrReplyTooLarge}
	}
	return lentilmux.ServiceReply{
		Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body,
	}, nil
}

// NewRequest returns a request that the network client sends at most once.
func NewRequest(ctx context.Context, method, url string, body []byte) (request *http.Request, err error) {
	request, err = http.NewRequestWithContext(ctx, method, url, onceReader(body))
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	request.GetBody = nil // keeps the transport from sending the call again
	return request, nil
}

// Send sends a request of [NewRequest] once and returns when the header of its
// answer is there. A failure is a [*lentilmux.StepError].
func (c *Client) Send(request *http.Request) (response *http.Response, err error) {
	var wrote atomic.Bool
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { wrote.Store(true) },
	})
	response, err = c.client.Do(request.WithContext(ctx))
	if err != nil {
		return nil, &lentilmux.UpstreamError{Kind: failureKind(err, wrote.Load()), Err: err}
	}
	return response, nil
}

// NewReadError returns the failure of an answer that ended early.
func NewReadError(err error) *lentilmux.UpstreamError {
	return &lentilmux.UpstreamError{Kind: failureKind(err, true), Err: err}
}

// onceReader returns a body that cannot be rewound. An empty one is a reader
// too: the network client sends a call without any body again by itself if it
// has an idempotency key.
func onceReader(body []byte) io.Reader {
	return struct{ io.Reader }{bytes.NewReader(body)}
}

// failureKind tells how a call failed. Without a byte written the service
// cannot have acted.
func failureKind(err error, wrote bool) lentilmux.FailureKind {
	var netError net.Error
	switch {
	case !wrote:
		return lentilmux.FailureDial
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return lentilmux.FailureTimeout
	case errors.As(err, &netError) && netError.Timeout():
		return lentilmux.FailureTimeout
	default:
		return lentilmux.FailureCrash
	}
}

// Probe checks that the service accepts a new connection.
func (c *Client) Probe(ctx context.Context, upstream netip.AddrPort) (err error) {
	defer errors.DeferredAnnotatef(&err, "probing %s", upstream)
	dialer := &net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", upstream.String())
	if err != nil {
		return err
	}
	return connection.Close()
}
