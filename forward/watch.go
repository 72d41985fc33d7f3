package forward

import (
	"sync"
	"time"
)

// watch calls a function when there was no progress for too long, again after
// what the function returns, and never again after zero. A limit of zero
// watches nothing.
type watch struct {
	mu      sync.Mutex
	timer   *time.Timer
	limit   time.Duration
	stopped bool
}

func newWatch(limit time.Duration) *watch { return &watch{limit: limit} }

// start begins to watch.
func (w *watch) start(silent func() (wait time.Duration)) {
	if w.limit <= 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.limit, func() {
		if wait := silent(); wait > 0 {
			w.reset(wait)
		}
	})
}

// reset notes progress and sets the next limit.
func (w *watch) reset(limit time.Duration) {
	if w.limit <= 0 || limit <= 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(limit)
	}
}

// stop ends the watch.
func (w *watch) stop() {
	if w.limit <= 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
