package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// recorder collects the results of all requests, under mu.
type recorder struct {
	mu                sync.Mutex
	outcomes          map[string]int // by kind, outcome and reason
	mismatches        []string       // descriptions of wrong responses and bookings
	firstToken        *hdrhistogram.Histogram
	tokenGaps         *hdrhistogram.Histogram
	durations         map[string]*hdrhistogram.Histogram // by kind of request
	tokensByWorkspace map[string]int                     // of completed responses, since the end of the warm-up
	tokensByBucket    map[int]int                        // of completed responses
	bookingOutcomes   map[string]string                  // by idempotency key
	stallEnds         []time.Duration                    // since the end of the warm-up
	retries           int
	sent              int // requests sent since the end of the warm-up
}

// newRecorder returns an empty recorder.
func newRecorder() *recorder {
	return &recorder{
		outcomes: make(map[string]int), firstToken: newHistogram(), tokenGaps: newHistogram(),
		durations: make(map[string]*hdrhistogram.Histogram), tokensByWorkspace: make(map[string]int),
		tokensByBucket: make(map[int]int), bookingOutcomes: make(map[string]string),
	}
}

// newHistogram returns a histogram of times in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxHistogramValue.Microseconds(), significantFigures)
}

// recordDuration adds a time to a histogram. Times outside its range count as
// the nearest time within the range.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d, time.Microsecond), maxHistogramValue).Microseconds())
}

// addRetry counts a retry.
func (r *recorder) addRetry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retries++
}

// addResult records the final result of a request. Tokens count in the bucket
// of their arrival, and only if the response completed. Outcomes, times and
// stalls leave out requests that were sent before measureStart; bookings and
// mismatches include them.
func (r *recorder) addResult(measureStart, started time.Time, req request, res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if req.kind == "booking" {
		r.bookingOutcomes[req.key] = res.outcome
	}
	if res.mismatch != "" {
		r.mismatches = append(r.mismatches, res.mismatch)
	}
	if res.outcome == "answered" {
		for _, at := range res.tokenTimes {
			r.tokensByBucket[int(at.Sub(measureStart)/bucketWidth)]++
			if !at.Before(measureStart) {
				r.tokensByWorkspace[req.workspace]++
			}
		}
	}
	if started.Before(measureStart) {
		return
	}
	r.sent++
	label := req.kind + " " + res.outcome
	if res.reason != "" {
		label += " " + res.reason
	}
	r.outcomes[label]++
	if res.outcome != "answered" {
		return
	}
	if r.durations[req.kind] == nil {
		r.durations[req.kind] = newHistogram()
	}
	recordDuration(r.durations[req.kind], res.duration)
	if req.kind == "answer" {
		recordDuration(r.firstToken, res.timeToFirstToken)
	}
	for i, gap := range res.tokenGaps {
		recordDuration(r.tokenGaps, gap)
		if gap >= minStall {
			r.stallEnds = append(r.stallEnds, res.tokenTimes[i+1].Sub(measureStart))
		}
	}
}

// checkBookings compares the outcomes of the bookings with the ledgers of the
// services at the URLs. A booking must not run more than once, must run if it
// was answered, and must not run if its outcome is not_run. An empty URL
// disables the check. A ledger that cannot be read counts as a mismatch.
func (r *recorder) checkBookings(urls []string) {
	runs := make(map[string]int)
	for _, url := range urls {
		if url == "" {
			return
		}
		response, err := http.Get(url)
		if err != nil {
			r.mismatches = append(r.mismatches, "reading ledger: "+err.Error())
			return
		}
		var entries []struct {
			Key string `json:"key"`
		}
		err = json.NewDecoder(response.Body).Decode(&entries)
		_ = response.Body.Close()
		if err != nil {
			r.mismatches = append(r.mismatches, "decoding ledger: "+err.Error())
			return
		}
		for _, entry := range entries {
			runs[entry.Key]++
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, outcome := range r.bookingOutcomes {
		runCount := runs[key]
		if runCount > 1 || (outcome == "answered" && runCount != 1) || (outcome == "not_run" && runCount != 0) {
			r.mismatches = append(r.mismatches, fmt.Sprintf("booking %s has outcome %s but ran %d times", key, outcome, runCount))
		}
	}
}
