package platformlog

import (
	"context"
	"sync"

	"lentilmux.example/lentilmux"
)

// timelineWatch knows the latest timeline that any stream was read from, so that reads
// of the other streams don't wait for entries of an earlier one. It is safe for
// concurrent use.
type timelineWatch struct {
	mu     sync.Mutex
	latest lentilmux.Timeline
	rose   chan struct{} // closed and replaced when latest rises; nil until a read waits
}

// observe records the timeline of a read.
func (w *timelineWatch) observe(timeline lentilmux.Timeline) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if timeline <= w.latest {
		return
	}
	w.latest = timeline
	if w.rose != nil {
		close(w.rose)
		w.rose = nil
	}
}

// next returns the latest timeline and a channel that is closed when it rises.
func (w *timelineWatch) next() (latest lentilmux.Timeline, rose <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.rose == nil {
		w.rose = make(chan struct{})
	}
	return w.latest, w.rose
}

// during returns a context for a read from a timeline. It is canceled once a later
// timeline is known.
func (w *timelineWatch) during(ctx context.Context, timeline lentilmux.Timeline) (readCtx context.Context, cancel context.CancelFunc) {
	readCtx, cancel = context.WithCancel(ctx)
	latest, rose := w.next()
	if latest > timeline {
		cancel()
		return readCtx, cancel
	}
	go func() {
		select {
		case <-rose:
			cancel()
		case <-readCtx.Done():
		}
	}()
	return readCtx, cancel
}
