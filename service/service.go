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

// KeyHeader carries a caller's idempotency key, here and towards callers.
const KeyHeader = "Idempotency-Key"

// Client implements [lentilmux.Service] over HTTP/1.1.
type Client struct {
	client *http.Client
}

// NewClient returns a client with no connections. It follows no redirects and
// never sends a call again by itself.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{client: &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: 64,
			IdleConnTimeout:     30 * time.Second,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Call implements [lentilmux.Service].
func (c *Client) Call(ctx context.Context, upstream netip.AddrPort, call lentilmux.ServiceCall) (reply lentilmux.ServiceReply, err error) {
	var wrote atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { wrote.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+upstream.String()+call.Path, onceReader(call.Body))
	if err != nil {
		return lentilmux.ServiceReply{}, &lentilmux.StepError{Kind: lentilmux.FailureRefused, Err: err}
	}
	request.ContentLength = int64(len(call.Body))
	request.GetBody = nil // keeps the transport from sending the call again
	if call.ContentType != "" {
		request.Header.Set("Content-Type", call.ContentType)
	}
	if call.Key != "" {
		request.Header.Set(KeyHeader, call.Key)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return lentilmux.ServiceReply{}, &lentilmux.StepError{Kind: failureKind(err, wrote.Load()), Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, replyMost+1))
	if err != nil {
		return lentilmux.ServiceReply{}, &lentilmux.StepError{Kind: failureKind(err, true), Err: err}
	}
	if len(body) > replyMost {
		return lentilmux.ServiceReply{}, &lentilmux.StepError{Kind: lentilmux.FailureProtocol, Err: ErrReplyTooLarge}
	}
	return lentilmux.ServiceReply{
		Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body,
	}, nil
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
