package forward

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

// errPanicked ends a request or an attempt that panicked.
const errPanicked = errors.ConstError("unexpected error")

// maxPanicBytes bounds the text that is kept of a panic, in bytes.
const maxPanicBytes = 2 << 10

// recoverServe ends a request if the goroutine that serves it panics.
func (r *relayedRequest) recoverServe(ctx context.Context) {
	if reason := recover(); reason != nil {
		r.race.recordPanic(reason)
		r.abort(ctx, errPanicked)
	}
}

// recoverAttempt turns a panic over what an upstream sent into the failure of an
// attempt, which may have run.
func (r *relayedRequest) recoverAttempt(err *error) {
	if reason := recover(); reason != nil {
		r.race.recordPanic(reason)
		*err = &lentilmux.UpstreamError{Kind: lentilmux.FailureProtocol, Err: errPanicked}
	}
}

// recordPanic keeps a panic for the report of the request's end. It must be called on
// the goroutine that panicked.
func (r *race) recordPanic(reason any) {
	text := fmt.Sprintf("%v\n%s", reason, debug.Stack())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.end.Panic = text[:min(len(text), maxPanicBytes)]
}
