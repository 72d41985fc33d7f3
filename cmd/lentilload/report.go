package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// bucket is the width of the goodput's time line.
	bucket = 100 * time.Millisecond
	// histogramMost is the longest time that histograms hold.
	histogramMost = 10 * time.Minute
	// figures is the number of significant figures of histograms.
	figures = 3
)

// records gathers the results of a load.
type records struct {
	mu       sync.Mutex
	outcomes map[string]int
	wrong    []string
	first    *hdrhistogram.Histogram
	gaps     *hdrhistogram.Histogram
	took     map[string]*hdrhistogram.Histogram
	tokens   map[string]int // by workspace, of answers in the measured time
	line     map[int]int    // tokens by bucket
	bookings map[string]string
	stalls   []time.Duration // ends of stalls, since the start
	resends  int
	sent     int
}

func newRecords() *records {
	return &records{
		outcomes: make(map[string]int), first: newHistogram(), gaps: newHistogram(),
		took: make(map[string]*hdrhistogram.Histogram), tokens: make(map[string]int),
		line: make(map[int]int), bookings: make(map[string]string),
	}
}

// newHistogram returns a histogram of microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMost.Microseconds(), figures)
}

// record adds a time; ones too long for the histogram count as the longest.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d, time.Microsecond), histogramMost).Microseconds())
}

func (c *records) resend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resends++
}

// add records the end of a request. Tokens count when they came, and only of
// answers that became whole.
func (c *records) add(start, started time.Time, r request, res result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.kind == "booking" {
		c.bookings[r.key] = res.outcome
	}
	if res.wrong != "" {
		c.wrong = append(c.wrong, res.wrong)
	}
	if res.outcome == "answered" {
		for _, at := range res.arrivals {
			c.line[int(at.Sub(start)/bucket)]++
			if !at.Before(start) {
				c.tokens[r.workspace]++
			}
		}
	}
	if started.Before(start) {
		return
	}
	c.sent++
	label := r.kind + " " + res.outcome
	if res.reason != "" {
		label += " " + res.reason
	}
	c.outcomes[label]++
	if res.outcome != "answered" {
		return
	}
	if c.took[r.kind] == nil {
		c.took[r.kind] = newHistogram()
	}
	record(c.took[r.kind], res.took)
	if r.kind == "answer" {
		record(c.first, res.first)
	}
	for i, gap := range res.gaps {
		record(c.gaps, gap)
		if gap >= stallLeast {
			c.stalls = append(c.stalls, res.arrivals[i+1].Sub(start))
		}
	}
}

// checkBookings compares the bookings with the services' ledgers.
func (c *records) checkBookings(urls []string) {
	runs := make(map[string]int)
	for _, url := range urls {
		if url == "" {
			return
		}
		response, err := http.Get(url)
		if err != nil {
			c.wrong = append(c.wrong, "ledger: "+err.Error())
			return
		}
		var lines []struct {
			Key string `json:"key"`
		}
		err = json.NewDecoder(response.Body).Decode(&lines)
		_ = response.Body.Close()
		if err != nil {
			c.wrong = append(c.wrong, "ledger: "+err.Error())
			return
		}
		for _, line := range lines {
			runs[line.Key]++
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, outcome := range c.bookings {
		n := runs[key]
		if n > 1 || (outcome == "answered" && n != 1) || (outcome == "not_run" && n != 0) {
			c.wrong = append(c.wrong, fmt.Sprintf("booking %s was %s and ran %d times", key, outcome, n))
		}
	}
}

// Quantiles are times in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: ms(50), P95: ms(95), P99: ms(99)}
}

// Report is the result of a load.
type Report struct {
	Seconds                    float64              `json:"seconds"`
	Rate                       float64              `json:"rate"`
	Seed                       int                  `json:"seed"`
	Sent                       int                  `json:"sent"`
	Retries                    int                  `json:"resends"`
	TokensPerSecond            float64              `json:"tokens_per_s"`
	BoundTokensPerSecond       float64              `json:"bound_tokens_per_s"`
	UsefulFraction             float64              `json:"useful_of_bound"`
	Outcomes                   map[string]int       `json:"outcomes"`
	TimeToFirstToken           Quantiles            `json:"first_token"`
	TokenGaps                  Quantiles            `json:"token_gap"`
	DurationByKind             map[string]Quantiles `json:"took"`
	TokensPerSecondByWorkspace map[string]float64   `json:"tokens_per_s_by_workspace"`
	FaultAt                    float64              `json:"fault_at_s,omitempty"`
	Recovery                   float64              `json:"recovery_s,omitempty"`
	LowestBeforeFault          float64              `json:"lowest_before,omitempty"`   // window before the fault, of their mean
	StalledUntil               float64              `json:"stalled_until_s,omitempty"` // after the fault
	Stalls                     int                  `json:"stalls,omitempty"`
	TokensPerBucket            []int                `json:"tokens_by_100ms"`
	Wrong                      int                  `json:"wrong"`
	WrongExamples              []string             `json:"wrong_examples,omitempty"`
}

// report sums the records up.
func (c *records) report(o *options, start, end time.Time, bound float64) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	seconds := end.Sub(start).Seconds()
	r := Report{
		Seconds: seconds, Rate: *o.rate, Seed: *o.seed, Sent: c.sent, Retries: c.resends, BoundTokensPerSecond: bound,
		Outcomes: c.outcomes, TimeToFirstToken: quantiles(c.first), TokenGaps: quantiles(c.gaps),
		DurationByKind: make(map[string]Quantiles), TokensPerSecondByWorkspace: make(map[string]float64), Wrong: len(c.wrong),
	}
	for kind, h := range c.took {
		r.DurationByKind[kind] = quantiles(h)
	}
	for i := range int(end.Sub(start) / bucket) {
		r.TokensPerBucket = append(r.TokensPerBucket, c.line[i])
		r.TokensPerSecond += float64(c.line[i]) / seconds
	}
	for workspace, tokens := range c.tokens {
		r.TokensPerSecondByWorkspace[workspace] = float64(tokens) / seconds
	}
	if bound > 0 {
		r.UsefulFraction = r.TokensPerSecond / bound
	}
	if *o.faultAt > 0 {
		r.FaultAt = o.faultAt.Seconds()
		fault := int(*o.faultAt / bucket)
		r.Recovery = recovery(r.TokensPerBucket, fault, *o.remaining)
		r.LowestBeforeFault = lowest(r.TokensPerBucket[:min(fault, len(r.TokensPerBucket))])
		r.Stalls, r.StalledUntil = c.stallsAfter(*o.faultAt)
	}
	r.WrongExamples = c.wrong[:min(len(c.wrong), 10)]
	return r
}

const (
	// normal is the part of the goodput that counts as flowing normally.
	normal = 0.95
	// steady is the number of buckets over which goodput is averaged.
	steady = 10
	// stallLeast is the gap between tokens from which on an answer stalls.
	stallLeast = 250 * time.Millisecond
	// dipMost is the number of buckets after a fault in which the dip's deepest
	// point is looked for.
	dipMost = 50
)

// recovery returns the seconds from the fault until goodput is back at the
// normal part of what remains: from the deepest point of the dip on, the first
// window that reaches it, counted to the window's end. It returns 0 if there is
// no dip and -1 if goodput never comes back.
func recovery(line []int, fault int, remaining float64) (seconds float64) {
	if fault < steady || fault+dipMost > len(line) {
		return -1
	}
	want := normal * remaining * mean(line[:fault])
	deepest := fault + steady
	for end := deepest; end <= fault+dipMost; end++ {
		if mean(line[end-steady:end]) < mean(line[deepest-steady:deepest]) {
			deepest = end
		}
	}
	if mean(line[deepest-steady:deepest]) >= want {
		return 0
	}
	for end := deepest; end <= len(line); end++ {
		if mean(line[end-steady:end]) >= want {
			return float64(end-fault) * bucket.Seconds()
		}
	}
	return -1
}

// lowest returns the lowest window of a time line as a part of its mean, which
// tells how far goodput varies without a fault.
func lowest(line []int) (part float64) {
	part = 1
	for end := steady; end <= len(line); end++ {
		part = min(part, mean(line[end-steady:end])/mean(line))
	}
	return part
}

// stallsAfter counts the stalls that ended after a fault and returns the seconds
// from the fault to the end of the last one within the time of a dip.
func (c *records) stallsAfter(fault time.Duration) (count int, until float64) {
	for _, end := range c.stalls {
		after := end - fault
		if after > 0 && after <= dipMost*bucket {
			count++
			until = max(until, after.Seconds())
		}
	}
	return count, until
}

func mean(line []int) float64 {
	sum := 0
	for _, n := range line {
		sum += n
	}
	return float64(sum) / float64(len(line))
}

// print writes the report for people.
func (r Report) print(w io.Writer) {
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	line("offered    %.1f requests/s for %.0f s (seed %d), %d sent, %d sent again", r.Rate, r.Seconds, r.Seed, r.Sent, r.Retries)
	line("tokens     %.1f/s of a bound of %.1f/s: %.3f", r.TokensPerSecond, r.BoundTokensPerSecond, r.UsefulFraction)
	line("first      p50 %.1f  p95 %.1f  p99 %.1f ms", r.TimeToFirstToken.P50, r.TimeToFirstToken.P95, r.TimeToFirstToken.P99)
	line("gap        p50 %.1f  p95 %.1f  p99 %.1f ms", r.TokenGaps.P50, r.TokenGaps.P95, r.TokenGaps.P99)
	for _, kind := range sortedKeys(r.DurationByKind) {
		q := r.DurationByKind[kind]
		line("%-10s p50 %.1f  p95 %.1f  p99 %.1f ms", kind, q.P50, q.P95, q.P99)
	}
	labels := make([]string, 0, len(r.Outcomes))
	for label := range r.Outcomes {
		labels = append(labels, label)
	}
	sort.Strings(labels)
	for _, label := range labels {
		line("outcome    %-45s %d", label, r.Outcomes[label])
	}
	workspaces := make([]string, 0, len(r.TokensPerSecondByWorkspace))
	for workspace := range r.TokensPerSecondByWorkspace {
		workspaces = append(workspaces, workspace)
	}
	sort.Strings(workspaces)
	for _, workspace := range workspaces {
		line("workspace  %-20s %.1f tokens/s", workspace, r.TokensPerSecondByWorkspace[workspace])
	}
	if r.FaultAt > 0 {
		line("recovery   %.1f s after the fault at %.1f s (lowest second before it: %.3f of the mean)", r.Recovery, r.FaultAt, r.LowestBeforeFault)
		line("stalls     %d answers, the last until %.2f s after the fault", r.Stalls, r.StalledUntil)
	}
	line("wrong      %d", r.Wrong)
	for _, example := range r.WrongExamples {
		line("           %s", example)
	}
}

func sortedKeys(m map[string]Quantiles) (keys []string) {
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// compare writes the figures of two reports and their ratio.
func compare(w io.Writer, before, after Report) {
	row := func(name string, a, b float64) {
		ratio := "-"
		if a != 0 {
			ratio = fmt.Sprintf("%.3f", b/a)
		}
		_, _ = fmt.Fprintf(w, "%-22s %12.3f %12.3f %8s\n", name, a, b, ratio)
	}
	_, _ = fmt.Fprintf(w, "%-22s %12s %12s %8s\n", "", "before", "after", "ratio")
	row("tokens_per_s", before.TokensPerSecond, after.TokensPerSecond)
	row("useful_of_bound", before.UsefulFraction, after.UsefulFraction)
	row("first_token_p95_ms", before.TimeToFirstToken.P95, after.TimeToFirstToken.P95)
	row("token_gap_p95_ms", before.TokenGaps.P95, after.TokenGaps.P95)
	row("recovery_s", before.Recovery, after.Recovery)
	row("stalled_until_s", before.StalledUntil, after.StalledUntil)
	row("wrong", float64(before.Wrong), float64(after.Wrong))
}
