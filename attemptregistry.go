package lentilmux

import (
	"context"
	"sync"

	"github.com/juju/errors"
)

// Cancellation causes of the contexts of attempts and requests.
const (
	// ErrAborted cancels an attempt because its upstream was found dead.
	ErrAborted = errors.ConstError("attempt aborted")
	// ErrStoppedByOperator cancels a request because an operator stopped it.
	ErrStoppedByOperator = errors.ConstError("request stopped by an operator")
)

// AttemptRegistry holds the attempts that traffic goroutines run, so that
// [AbortEffect] and [CancelEffect] can cancel them. The zero value is empty and
// ready to use. It is safe for concurrent use.
type AttemptRegistry struct {
	mu      sync.Mutex
	running map[RequestID]runningAttempt
}

// runningAttempt is a registered attempt with the functions that cancel it.
type runningAttempt struct {
	epoch  Epoch
	abort  context.CancelCauseFunc
	cancel context.CancelCauseFunc
}

// Add registers an attempt. abort cancels only the attempt; cancel cancels the
// request that it belongs to.
func (a *AttemptRegistry) Add(request RequestID, epoch Epoch, abort, cancel context.CancelCauseFunc) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running == nil {
		a.running = make(map[RequestID]runningAttempt)
	}
	a.running[request] = runningAttempt{epoch: epoch, abort: abort, cancel: cancel}
}

// Remove unregisters the attempt of a request.
func (a *AttemptRegistry) Remove(request RequestID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.running, request)
}

// Abort cancels the attempt of a request with [ErrAborted], unless a later
// epoch has replaced it.
func (a *AttemptRegistry) Abort(request RequestID, epoch Epoch) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if found, ok := a.running[request]; ok && found.epoch == epoch {
		found.abort(ErrAborted)
	}
}

// Cancel cancels a request with [ErrStoppedByOperator]. It reports whether an
// attempt of the request was running.
func (a *AttemptRegistry) Cancel(request RequestID) (found bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	running, found := a.running[request]
	if found {
		running.cancel(ErrStoppedByOperator)
	}
	return found
}
