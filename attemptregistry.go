package lentilmux

import (
	"context"
	"sync"

	"github.com/juju/errors"
)

// Causes with which the context of an attempt or a request ends.
const (
	// ErrAborted ends an attempt whose upstream was found dead.
	ErrAborted = errors.ConstError("attempt aborted")
	// ErrStoppedByOperator ends a request that an operator stopped.
	ErrStoppedByOperator = errors.ConstError("request stopped by an operator")
)

// AttemptRegistry lists the attempts that traffic runs, so that effects can end them.
// The zero value is empty and ready. It is safe for concurrent use.
type AttemptRegistry struct {
	mu      sync.Mutex
	running map[RequestID]runningAttempt
}

type runningAttempt struct {
	epoch  Epoch
	abort  context.CancelCauseFunc
	cancel context.CancelCauseFunc
}

// Add lists an attempt. abort ends the attempt alone, cancel its request.
func (a *AttemptRegistry) Add(request RequestID, epoch Epoch, abort, cancel context.CancelCauseFunc) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running == nil {
		a.running = make(map[RequestID]runningAttempt)
	}
	a.running[request] = runningAttempt{epoch: epoch, abort: abort, cancel: cancel}
}

// Remove takes a request's attempt off the list.
func (a *AttemptRegistry) Remove(request RequestID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.running, request)
}

// Abort ends the attempt of a request if it is still in the epoch.
func (a *AttemptRegistry) Abort(request RequestID, epoch Epoch) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if found, ok := a.running[request]; ok && found.epoch == epoch {
		found.abort(ErrAborted)
	}
}

// Cancel ends a request. It reports whether it was running.
func (a *AttemptRegistry) Cancel(request RequestID) (found bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	running, found := a.running[request]
	if found {
		running.cancel(ErrStoppedByOperator)
	}
	return found
}
