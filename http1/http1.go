// Package http1 checks the heads of HTTP/1.1 answers before net/http parses them.
//
// net/http accepts heads that the protocol forbids: status lines with any three digits as
// a status, names of fields with blanks, and lines that continue the one before. It drops
// such fields or joins them to others, among them those that say how long a body is, and
// chooses where two fields disagree about that.
//
// Nothing in an answer with such a head can be relied on, nor where it ends, so [Transport]
// fails the request with a [*HeadError] and closes the connection. Status and fields of
// such a head are never returned. The check covers the interim answers (1xx) before an
// answer and rejects answers whose head came before their request. It does not look into
// bodies, but for one that ends with its connection it tells that end from a reset, see
// [ErrCutShort] and [ErrNoCloseNotify].
//
// # Usage
//
//	client := &http.Client{Transport: http1.NewTransport(&http.Transport{DialContext: dialer.DialContext})}
//	response, err := client.Do(request)
//	if errors.Is(err, http1.ErrMalformedHead) { ... } // the request may have run
package http1

import (
	"net/http"
	"net/http/httptrace"

	"github.com/juju/errors"
)

// ErrMalformedHead is wrapped by each [HeadError].
const ErrMalformedHead = errors.ConstError("malformed head")

// HeadError is the error of an answer whose head is not valid HTTP/1.1, or came before
// the request.
type HeadError struct {
	Reason string // what is wrong with the head
}

// Error returns the reason.
func (e *HeadError) Error() string { return ErrMalformedHead.Error() + ": " + e.Reason }

// Unwrap returns [ErrMalformedHead].
func (e *HeadError) Unwrap() error { return ErrMalformedHead }

// Transport is an [http.RoundTripper] that checks the heads of answers. It is safe for
// concurrent use.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a transport that checks the answers which base receives. base must
// speak HTTP/1.1 and have a DialContext, which is replaced. With a TLSClientConfig its
// DialTLSContext is set, too.
func NewTransport(base *http.Transport) *Transport {
	if base.TLSClientConfig != nil {
		base.DialTLSContext = checkedDial(tlsDial(base.DialContext, base.TLSClientConfig))
	}
	base.DialContext = checkedDial(base.DialContext)
	return &Transport{base: base}
}

// RoundTrip implements [http.RoundTripper]. The error wraps a [*HeadError] if the head of
// the answer is malformed.
func (t *Transport) RoundTrip(request *http.Request) (response *http.Response, err error) {
	pending := &exchange{bodyBytes: max(request.ContentLength, 0)}
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { pending.begin(info.Conn) },
	})
	response, err = t.base.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if !pending.headChecked.Load() {
		_ = response.Body.Close() // the answer is dropped
		pending.abort()
		return nil, &HeadError{Reason: "arrived before the request"}
	}
	return response, nil
}

// CloseIdleConnections closes the connections without a request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
