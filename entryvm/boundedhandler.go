package entryvm

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const (
	// restTimeout bounds how long the rest of a request's body is read and dropped after
	// its answer. net/http bounds the bytes, to 256 KiB, but not the time.
	restTimeout = 500 * time.Millisecond
	// smallBodyBytes is the size of the largest body of requests to the readiness and
	// metrics addresses, and of calls of peers, in bytes.
	smallBodyBytes = 4 << 10
)

// boundRest wraps a handler so that what it leaves of a body is read for restTimeout at
// most. No deadline is set after a body that was read to its end: net/http then reads in
// the background while the answer is written, and a timeout of that read would cancel the
// context of the connection and of the caller's next request.
func boundRest(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		body := &watchedBody{ReadCloser: r.Body}
		defer func() {
			if !body.ended.Load() {
				// A connection without deadlines, such as a pipe in memory, is ended by the caller.
				_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(restTimeout))
			}
		}()
		watched := *r // net/http looks at the type of the body of its own request
		watched.Body = body
		next.ServeHTTP(w, &watched)
	})
}

// watchedBody is a request's body that records whether its end was read.
type watchedBody struct {
	io.ReadCloser
	ended atomic.Bool
}

// Read implements [io.Reader].
func (b *watchedBody) Read(buffer []byte) (n int, err error) {
	if n, err = b.ReadCloser.Read(buffer); err == io.EOF {
		b.ended.Store(true)
	}
	return n, err
}

// readSmallBodies wraps a handler so that it gets bodies of smallBodyBytes at most, which
// have to arrive within timeout. Other requests are refused.
func readSmallBodies(next http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		body, err := readSmallBody(w, r, timeout)
		if err != nil {
			w.Header().Set("Connection", "close")
			http.Error(w, "body too large or late", http.StatusRequestEntityTooLarge)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

// readSmallBody reads the body of a request.
func readSmallBody(w http.ResponseWriter, r *http.Request, timeout time.Duration) (body []byte, err error) {
	defer errors.DeferredAnnotatef(&err, "reading a body of at most %d bytes", smallBodyBytes)
	if r.ContentLength > smallBodyBytes {
		return nil, &http.MaxBytesError{Limit: smallBodyBytes}
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(timeout)) // without deadlines the caller ends it
	err = ConnUseOf(r.Context()).ReadBody(func() (err error) {
		body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, smallBodyBytes))
		return err
	})
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
	}
	return body, err
}
