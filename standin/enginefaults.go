package standin

import (
	"context"
	"time"

	"lentilmux.example/lentilmux"
)

// Kill simulates the death of the engine's process: open streams fail with
// FailureCrash and new ones with FailureDial, until Revive. The engine loses its
// layers and its fencing token.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.killLocked()
}

// killLocked does the work of Kill. The caller holds mu.
func (e *Engine) killLocked() {
	if e.dead {
		return
	}
	e.dead, e.layersLoaded, e.running, e.fence = true, false, 0, 0
	close(e.died)
	if e.onAliveChange != nil {
		e.onAliveChange(false)
	}
}

// Revive restarts a dead engine, without layers. Its ledger is kept.
func (e *Engine) Revive() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.dead {
		return
	}
	e.dead, e.died, e.busyUntil = false, make(chan struct{}), time.Time{}
	e.lastReport = lentilmux.LoadReport{}
	if e.onAliveChange != nil {
		e.onAliveChange(true)
	}
}

// Freeze makes the engine stop answering until Thaw; connections stay open.
func (e *Engine) Freeze() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frozen == nil {
		e.frozen = make(chan struct{})
	}
}

// Thaw ends a freeze. Requests in flight continue.
func (e *Engine) Thaw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frozen != nil {
		close(e.frozen)
		e.frozen = nil
	}
}

// BlackholeStreams blackholes the open streams permanently: they stay open, but
// their steps never complete. New streams work.
func (e *Engine) BlackholeStreams() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.blackholed)
	e.blackholed = make(chan struct{})
}

// SetLeaving sets whether the engine's load report says that it is leaving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// linkDelay returns the one-way delay of the engine's link.
func (e *Engine) linkDelay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.spec.LinkDelay
}

// SetLinkDelay sets the one-way network delay of steps and load reports.
func (e *Engine) SetLinkDelay(delay time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.spec.LinkDelay = delay
}

// waitUntilResponsive blocks while the engine is frozen. It fails with FailureDial
// if the engine is dead or dies, and with FailureTimeout if ctx ends.
func (e *Engine) waitUntilResponsive(ctx context.Context) (err error) {
	for {
		e.mu.Lock()
		dead, frozen, died := e.dead, e.frozen, e.died
		e.mu.Unlock()
		if dead {
			return &lentilmux.UpstreamError{Kind: lentilmux.FailureDial, Err: ErrDead}
		}
		if frozen == nil {
			return nil
		}
		select {
		case <-frozen:
		case <-died:
		case <-ctx.Done():
			return &lentilmux.UpstreamError{Kind: lentilmux.FailureTimeout, Err: ctx.Err()}
		}
	}
}

// crashLocked kills the engine because of a request, and restarts it after the
// spec's RestartDelay if there is one. The caller holds mu.
func (e *Engine) crashLocked() {
	e.crashes++
	e.killLocked()
	if e.spec.RestartDelay > 0 {
		time.AfterFunc(e.spec.RestartDelay, e.Revive)
	}
}
