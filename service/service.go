// Package service sends calls to plain services over HTTP/1.1. [Client]
// implements [lentilmux.Service]; [Runner] executes one call on the routes that
// the node assigns, including retries.
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
	"syscall"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/http1"
	"lentilmux.example/lentilmux/memory"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 500 * time.Millisecond
	// maxReplyBytes is the largest accepted reply body, in bytes.
	maxReplyBytes = 8 << 20
	// maxHeaderBytes is the largest accepted response header, in bytes. A faulty
	// upstream may send a header without end.
	maxHeaderBytes = 64 << 10
)

// ErrReplyTooLarge reports an upstream's reply that exceeds the size limit.
const ErrReplyTooLarge = errors.ConstError("upstream reply exceeds the size limit")

// IdempotencyKeyHeader names the header with a caller's idempotency key. Callers
// send it to the router, which forwards it to services.
const IdempotencyKeyHeader = "Idempotency-Key"

// Client implements [lentilmux.Service] over HTTP/1.1. It is safe for concurrent
// use.
type Client struct {
	client *http.Client
	dialer *net.Dialer
}

// Option configures a [Client] in [NewClient].
type Option func(*http.Transport, *net.Dialer)

// WithIdleTimeout sets how long an idle connection is kept. It has to be shorter
// than the services' own idle timeout, or calls are sent on connections that the
// service is closing.
func WithIdleTimeout(timeout time.Duration) Option {
	return func(t *http.Transport, _ *net.Dialer) { t.IdleConnTimeout = timeout }
}

// WithMaxIdleConns sets the maximum number of idle connections to one upstream.
func WithMaxIdleConns(count int) Option {
	return func(t *http.Transport, _ *net.Dialer) { t.MaxIdleConnsPerHost = count }
}

// WithoutKeepAlive opens a connection for each call and closes it afterwards, so
// that nothing that a service wrote before can be taken for the answer.
func WithoutKeepAlive() Option {
	return func(t *http.Transport, _ *net.Dialer) { t.DisableKeepAlives = true }
}

// NewClient returns a client without open connections. It follows no redirects,
// does not request compression and never resends a call on its own.
func NewClient(options ...Option) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	for _, option := range options {
		option(transport, dialer)
	}
	return &Client{dialer: dialer, client: &http.Client{
		Transport:     http1.NewTransport(transport),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Call implements [lentilmux.Service]. A failure is a
// [*lentilmux.UpstreamError]. Each call has a connection of its own: replies carry
// no ID, so on a kept one a repeated reply would be taken for that to the next call.
func (c *Client) Call(ctx context.Context, upstream netip.AddrPort, call lentilmux.ServiceCall) (reply lentilmux.ServiceReply, err error) {
	request, err := NewRequest(ctx, call.Method, "http://"+upstream.String()+call.Path, call.Body)
	if err != nil {
		return lentilmux.ServiceReply{}, &lentilmux.UpstreamError{Kind: lentilmux.FailureRefused, Err: err}
	}
	request.Close = true
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
	body, err := ReadBody(response, maxReplyBytes, nil)
	if err != nil {
		return lentilmux.ServiceReply{}, err
	}
	return lentilmux.ServiceReply{
		Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body,
	}, nil
}

// NewRequest returns a request that [net/http.Transport] sends at most once.
func NewRequest(ctx context.Context, method, url string, body []byte) (request *http.Request, err error) {
	request, err = http.NewRequestWithContext(ctx, method, url, singleUseBody(body))
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	request.GetBody = nil // a transport without GetBody cannot resend the body
	return request, nil
}

// Send sends a request made by [NewRequest] once and returns as soon as the
// response header has arrived. The caller must close the response body. A
// failure is a [*lentilmux.UpstreamError], which wraps [lentilmux.ErrNotListening] if
// the connection was refused.
func (c *Client) Send(request *http.Request) (response *http.Response, err error) {
	var connected, writeStarted atomic.Bool
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn:          func(httptrace.GotConnInfo) { connected.Store(true) },
		WroteHeaderField: func(string, []string) { writeStarted.Store(true) },
	})
	response, err = c.client.Do(request.WithContext(ctx))
	if err != nil {
		// A call that is canceled once it has a connection may still be being written.
		mayBeWritten := writeStarted.Load() || connected.Load() && ctx.Err() != nil
		return nil, &lentilmux.UpstreamError{Kind: failureKind(err, mayBeWritten), Detail: errorDetail(err), Err: markRefused(err)}
	}
	return response, nil
}

// ReadBody reads the body of a response of at most maxBytes. A body that is longer,
// or announced to be, is an error, of which no more is read. A failure is a
// [*lentilmux.UpstreamError]. The caller closes the body, which also closes the
// connection if it was not read to its end. account holds what is read, also after a
// failure; it may be nil.
func ReadBody(response *http.Response, maxBytes int64, account lentilmux.MemoryAccount) (body []byte, err error) {
	if response.ContentLength > maxBytes {
		return nil, &lentilmux.UpstreamError{Kind: lentilmux.FailureTooLarge, Err: ErrReplyTooLarge}
	}
	body, err = memory.ReadAll(response.Body, response.ContentLength, maxBytes, account)
	switch {
	case errors.Is(err, memory.ErrTooLong):
		return nil, &lentilmux.UpstreamError{Kind: lentilmux.FailureTooLarge, Err: ErrReplyTooLarge}
	case err != nil:
		return nil, NewReadError(err)
	}
	return body, nil
}

// NewReadError wraps the error with which a response body ended early. The kind
// is a timeout or a crash, since the upstream has received the request, or a lack of
// memory of this VM.
func NewReadError(err error) *lentilmux.UpstreamError {
	if errors.Is(err, lentilmux.ErrNoMemory) {
		return &lentilmux.UpstreamError{Kind: lentilmux.FailureNoMemory, Err: err}
	}
	return &lentilmux.UpstreamError{Kind: failureKind(err, true), Detail: errorDetail(err), Err: err}
}

// singleUseBody returns a body that cannot be rewound. An empty body also gets
// a reader, since [net/http.Transport] resends a request without a body if it
// has an idempotency key.
func singleUseBody(body []byte) io.Reader {
	return struct{ io.Reader }{bytes.NewReader(body)}
}

// failureKind classifies the error of a call. writeStarted says whether any part
// of the request may have been written; if none was, the service cannot have
// acted on the call, and the failure counts as a failed dial.
func failureKind(err error, writeStarted bool) lentilmux.FailureKind {
	var netError net.Error
	switch {
	case !writeStarted:
		return lentilmux.FailureDial
	case errors.Is(err, http1.ErrMalformedHead):
		return lentilmux.FailureMalformed
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return lentilmux.FailureTimeout
	case errors.As(err, &netError) && netError.Timeout():
		return lentilmux.FailureTimeout
	default:
		return lentilmux.FailureCrash
	}
}

// errorDetail returns what is wrong with an answer, or "" if err does not tell.
func errorDetail(err error) (detail string) {
	var headErr *http1.HeadError
	if errors.As(err, &headErr) {
		return headErr.Reason
	}
	for _, cut := range []errors.ConstError{http1.ErrCutShort, http1.ErrNoCloseNotify} {
		if errors.Is(err, cut) {
			return cut.Error()
		}
	}
	return ""
}

// CloseIdle closes the connections without a call. They may be silent like one on which
// a call was not answered in time.
func (c *Client) CloseIdle() { c.client.CloseIdleConnections() }

// Probe checks that the upstream accepts a new TCP connection.
func (c *Client) Probe(ctx context.Context, upstream netip.AddrPort) (err error) {
	defer errors.DeferredAnnotatef(&err, "probing %s", upstream)
	connection, err := c.dialer.DialContext(ctx, "tcp", upstream.String())
	if err != nil {
		return markRefused(err)
	}
	return connection.Close()
}

// markRefused makes an error wrap [lentilmux.ErrNotListening] if it says that a
// connection was refused.
func markRefused(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return errors.WithType(err, lentilmux.ErrNotListening)
	}
	return err
}
