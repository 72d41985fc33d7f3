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
	calls   sync.WaitGroup // running calls of the function
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
		if !w.beginCall() {
			return
		}
		defer w.calls.Done()
		if wait := onStall(); wait > 0 {
			w.reset(wait)
		}
	})
}

// beginCall counts a call of the function, unless the watchdog was stopped.
func (w *watchdog) beginCall() (begun bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return false
	}
	w.calls.Add(1)
	return true
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

// stop stops the watchdog and waits for a running call of its function. Later
// resets have no effect.
func (w *watchdog) stop() {
	if w.timeout <= 0 {
		return
	}
	w.mu.Lock()
	w.stopped = true
	w.timer.Stop()
	w.mu.Unlock()
	w.calls.Wait()
}
