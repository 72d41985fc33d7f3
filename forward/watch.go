package forward

import "time"

// watch calls a function when there was no progress for too long. A limit of
// zero watches nothing.
type watch struct {
	timer *time.Timer
}

func newWatch(limit time.Duration, silent func()) *watch {
	if limit <= 0 {
		return &watch{}
	}
	return &watch{timer: time.AfterFunc(limit, silent)}
}

// reset notes progress and sets the next limit.
func (w *watch) reset(limit time.Duration) {
	if w.timer != nil && limit > 0 {
		w.timer.Reset(limit)
	}
}

func (w *watch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
