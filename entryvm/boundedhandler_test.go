package entryvm

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// deadlineRecorder is a response whose connection records deadlines for reads.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadlines int
}

// SetReadDeadline is called by [http.ResponseController].
func (d *deadlineRecorder) SetReadDeadline(time.Time) error {
	d.deadlines++
	return nil
}

// TestBoundedRest guards against a deadline for reads after a body that was read to its
// end, which cancels the caller's next request when it passes while an answer is written,
// and against none after a body that was left.
func TestBoundedRest(t *testing.T) {
	for _, test := range []struct {
		name, body      string
		read, deadlines int
	}{{"no body", "", 0, 0}, {"left", "body", 0, 1}, {"in part", "body", 3, 1}, {"whole", "body", 5, 0}} {
		handler := boundRest(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadFull(r.Body, make([]byte, test.read))
		}))
		request := httptest.NewRequest(http.MethodPost, "/", http.NoBody)
		if test.body != "" {
			request.Body = io.NopCloser(strings.NewReader(test.body))
		}
		recorder := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
		handler.ServeHTTP(recorder, request)
		if recorder.deadlines != test.deadlines {
			t.Errorf("%s: %d deadlines set, expected %d", test.name, recorder.deadlines, test.deadlines)
		}
	}
}
