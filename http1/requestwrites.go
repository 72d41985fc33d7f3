package http1

import "sync"

// headEnd ends the head of a request.
const headEnd = "\r\n\r\n"

// requestWrites follows the writing of the last request on a connection. It is safe for
// concurrent use. If the length of the request is not known, it counts as written with its
// head.
type requestWrites struct {
	mu        sync.Mutex
	changed   *sync.Cond
	matched   int   // bytes of headEnd that were written last
	remaining int64 // bytes of the body that are not written yet
	err       error // of a write, or of one after the connection was closed
}

// newRequestWrites returns the state of a connection without a request.
func newRequestWrites() *requestWrites {
	w := &requestWrites{}
	w.changed = sync.NewCond(&w.mu)
	return w
}

// begin begins a request with a body of the given length.
func (w *requestWrites) begin(bodyBytes int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.matched, w.remaining = 0, bodyBytes
}

// record records the bytes that a write has written, and its error.
func (w *requestWrites) record(data []byte, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.remaining -= int64(len(w.skipHead(data)))
	if err != nil {
		w.err = err
	}
	if w.hasEnded() {
		w.changed.Broadcast()
	}
}

// skipHead returns what follows the end of the head in the next bytes of a request.
func (w *requestWrites) skipHead(data []byte) (body []byte) {
	for i, b := range data {
		switch {
		case w.matched == len(headEnd):
			return data[i:]
		case b == headEnd[w.matched]:
			w.matched++
		case b == headEnd[0]:
			w.matched = 1
		default:
			w.matched = 0
		}
	}
	return nil
}

// hasEnded reports whether the request was written in full, or cannot be any more.
func (w *requestWrites) hasEnded() (ended bool) {
	return w.err != nil || w.matched == len(headEnd) && w.remaining <= 0
}

// await waits until the request was written in full, or cannot be any more. It returns
// the error of the write that failed.
func (w *requestWrites) await() (err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for !w.hasEnded() {
		w.changed.Wait()
	}
	return w.err
}
