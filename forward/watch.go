package forward

import (
	"sync"
	"time"
)

// watchdog calls a function when there was no progress within a timeout. The
// function returns after which time it is to be called again if there is still
// no progress; zero ends the calls. A watchdog with a timeout of zero never
// fires.
type watchdog struct {
	mu      sync.Mutex
	timer   *time.Timer
	timeout time.Duration
	stopped bool
}

// newWatchdog returns a watchdog that is not running yet.
func newWatchdog(timeout time.Duration) *watchdog { return &watchdog{timeout: timeout} }

// start starts the timeout. onStall runs on a goroutine of its own.
func (w *watchdog) start(onStall func() (wait time.Duration)) {
	if w.timeout <= 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.timeout, func() {
		if wait := onStall(); wait > 0 {
			w.reset(wait)
		}
	})
}

// reset restarts the watchdog after progress, with the timeout for the next
// progress. A timeout of zero leaves it as it is.
func (w *watchdog) reset(timeout time.Duration) {
	if w.timeout <= 0 || timeout <= 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(timeout)
	}
}

// stop stops the watchdog. Later resets have no effect.
func (w *watchdog) stop() {
	if w.timeout <= 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
