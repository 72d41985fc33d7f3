package main

import (
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// bucketWidth is the width of the buckets of goodput over time.
	bucketWidth = 100 * time.Millisecond
	// maxHistogramValue is the longest time that the histograms can record.
	maxHistogramValue = 10 * time.Minute
	// significantFigures is the number of significant decimal digits that the
	// histograms keep.
	significantFigures = 3
)

// Quantiles are percentiles of a time in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
}

// quantiles returns the percentiles of a histogram of microseconds.
func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: ms(50), P95: ms(95), P99: ms(99)}
}

// Report holds the figures measured after the warm-up, except for Retries and
// Wrong, which include the warm-up. Only tokens of completed responses count.
type Report struct {
	Seconds                    float64              `json:"seconds"` // measured duration
	Rate                       float64              `json:"rate"`    // requests per second, as configured
	Seed                       int                  `json:"seed"`
	Sent                       int                  `json:"sent"`
	Retries                    int                  `json:"resends"`
	TokensPerSecond            float64              `json:"tokens_per_s"`
	BoundTokensPerSecond       float64              `json:"bound_tokens_per_s"` // maximum throughput of the engines; 0 if not known
	UsefulFraction             float64              `json:"useful_of_bound"`    // TokensPerSecond relative to BoundTokensPerSecond
	Outcomes                   map[string]int       `json:"outcomes"`           // requests by kind, outcome and reason
	TimeToFirstToken           Quantiles            `json:"first_token"`
	TokenGaps                  Quantiles            `json:"token_gap"`
	DurationByKind             map[string]Quantiles `json:"took"`
	TokensPerSecondByWorkspace map[string]float64   `json:"tokens_per_s_by_workspace"`
	FaultAt                    float64              `json:"fault_at_s,omitempty"`      // seconds after the warm-up
	Recovery                   float64              `json:"recovery_s,omitempty"`      // seconds after the fault; -1 if not recovered
	LowestBeforeFault          float64              `json:"lowest_before,omitempty"`   // lowest window before the fault, as a fraction of the mean
	StalledUntil               float64              `json:"stalled_until_s,omitempty"` // end of the last stall, in seconds after the fault
	Stalls                     int                  `json:"stalls,omitempty"`
	TokensPerBucket            []int                `json:"tokens_by_100ms"`
	Wrong                      int                  `json:"wrong"`                    // wrong responses and bookings
	WrongExamples              []string             `json:"wrong_examples,omitempty"` // descriptions of at most 10
}

// report computes the report for the measured time from start to end.
// tokenBound is the maximum throughput in tokens per second.
func (r *recorder) report(flags *options, start, end time.Time, tokenBound float64) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	seconds := end.Sub(start).Seconds()
	report := Report{
		Seconds: seconds, Rate: *flags.rate, Seed: *flags.seed, Sent: r.sent, Retries: r.retries, BoundTokensPerSecond: tokenBound,
		Outcomes: r.outcomes, TimeToFirstToken: quantiles(r.firstToken), TokenGaps: quantiles(r.tokenGaps),
		DurationByKind: make(map[string]Quantiles), TokensPerSecondByWorkspace: make(map[string]float64), Wrong: len(r.mismatches),
	}
	for kind, h := range r.durations {
		report.DurationByKind[kind] = quantiles(h)
	}
	for i := range int(end.Sub(start) / bucketWidth) {
		report.TokensPerBucket = append(report.TokensPerBucket, r.tokensByBucket[i])
		report.TokensPerSecond += float64(r.tokensByBucket[i]) / seconds
	}
	for workspace, tokens := range r.tokensByWorkspace {
		report.TokensPerSecondByWorkspace[workspace] = float64(tokens) / seconds
	}
	if tokenBound > 0 {
		report.UsefulFraction = report.TokensPerSecond / tokenBound
	}
	if *flags.faultAt > 0 {
		report.FaultAt = flags.faultAt.Seconds()
		fault := int(*flags.faultAt / bucketWidth)
		report.Recovery = recoverySeconds(report.TokensPerBucket, fault, *flags.remaining)
		report.LowestBeforeFault = lowestWindow(report.TokensPerBucket[:min(fault, len(report.TokensPerBucket))])
		report.Stalls, report.StalledUntil = r.stallsAfter(*flags.faultAt)
	}
	report.WrongExamples = r.mismatches[:min(len(r.mismatches), 10)]
	return report
}

const (
	// recoveredFraction is the minimum fraction of the expected goodput at which
	// goodput counts as recovered.
	recoveredFraction = 0.95
	// windowBuckets is the number of buckets in a window over which goodput is
	// averaged.
	windowBuckets = 10
	// minStall is the shortest gap between tokens that counts as a stall.
	minStall = 250 * time.Millisecond
	// maxDipBuckets is the number of buckets after a fault in which the window
	// with the lowest goodput is searched and stalls are counted.
	maxDipBuckets = 50
)

// recoverySeconds returns the time from a fault until goodput has recovered, in
// seconds. tokens holds the tokens of each bucket, fault is the bucket of the
// fault, and remaining the fraction of the capacity that remains after it.
// Goodput has recovered at the end of the first window that reaches
// recoveredFraction of the remaining capacity, from the window with the lowest
// goodput on; the mean before the fault stands for the full capacity. The
// result is 0 if goodput never falls below that threshold. It is -1 if goodput
// does not recover, or if the measured time before or after the fault is too
// short.
func recoverySeconds(tokens []int, fault int, remaining float64) (seconds float64) {
	if fault < windowBuckets || fault+maxDipBuckets > len(tokens) {
		return -1
	}
	threshold := recoveredFraction * remaining * mean(tokens[:fault])
	lowestEnd := fault + windowBuckets
	for end := lowestEnd; end <= fault+maxDipBuckets; end++ {
		if mean(tokens[end-windowBuckets:end]) < mean(tokens[lowestEnd-windowBuckets:lowestEnd]) {
			lowestEnd = end
		}
	}
	if mean(tokens[lowestEnd-windowBuckets:lowestEnd]) >= threshold {
		return 0
	}
	for end := lowestEnd; end <= len(tokens); end++ {
		if mean(tokens[end-windowBuckets:end]) >= threshold {
			return float64(end-fault) * bucketWidth.Seconds()
		}
	}
	return -1
}

// lowestWindow returns the lowest goodput of a window as a fraction of the mean
// goodput. Before a fault, it shows how much goodput varies without one.
func lowestWindow(tokens []int) (fraction float64) {
	fraction = 1
	for end := windowBuckets; end <= len(tokens); end++ {
		fraction = min(fraction, mean(tokens[end-windowBuckets:end])/mean(tokens))
	}
	return fraction
}

// stallsAfter returns the number of stalls that ended within maxDipBuckets
// after a fault, and the time from the fault to the end of the last one, in
// seconds.
func (r *recorder) stallsAfter(fault time.Duration) (count int, lastEndSeconds float64) {
	for _, end := range r.stallEnds {
		after := end - fault
		if after > 0 && after <= maxDipBuckets*bucketWidth {
			count++
			lastEndSeconds = max(lastEndSeconds, after.Seconds())
		}
	}
	return count, lastEndSeconds
}

// mean returns the mean number of tokens per bucket.
func mean(tokens []int) float64 {
	sum := 0
	for _, n := range tokens {
		sum += n
	}
	return float64(sum) / float64(len(tokens))
}

// print writes the report as text.
func (r Report) print(w io.Writer) {
	printLine := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	printLine("load       %.1f requests/s for %.0f s (seed %d), %d sent, %d retries", r.Rate, r.Seconds, r.Seed, r.Sent, r.Retries)
	printLine("goodput    %.1f tokens/s of at most %.1f tokens/s: %.3f", r.TokensPerSecond, r.BoundTokensPerSecond, r.UsefulFraction)
	printLine("ttft       p50 %.1f  p95 %.1f  p99 %.1f ms", r.TimeToFirstToken.P50, r.TimeToFirstToken.P95, r.TimeToFirstToken.P99)
	printLine("token gap  p50 %.1f  p95 %.1f  p99 %.1f ms", r.TokenGaps.P50, r.TokenGaps.P95, r.TokenGaps.P99)
	for _, kind := range sortedKeys(r.DurationByKind) {
		q := r.DurationByKind[kind]
		printLine("%-10s p50 %.1f  p95 %.1f  p99 %.1f ms", kind, q.P50, q.P95, q.P99)
	}
	labels := make([]string, 0, len(r.Outcomes))
	for label := range r.Outcomes {
		labels = append(labels, label)
	}
	sort.Strings(labels)
	for _, label := range labels {
		printLine("outcome    %-45s %d", label, r.Outcomes[label])
	}
	workspaces := make([]string, 0, len(r.TokensPerSecondByWorkspace))
	for workspace := range r.TokensPerSecondByWorkspace {
		workspaces = append(workspaces, workspace)
	}
	sort.Strings(workspaces)
	for _, workspace := range workspaces {
		printLine("workspace  %-20s %.1f tokens/s", workspace, r.TokensPerSecondByWorkspace[workspace])
	}
	if r.FaultAt > 0 {
		printLine("recovery   %.1f s after the fault at %.1f s (lowest second before the fault: %.3f of the mean)", r.Recovery, r.FaultAt, r.LowestBeforeFault)
		printLine("stalls     %d, the last one ended %.2f s after the fault", r.Stalls, r.StalledUntil)
	}
	printLine("wrong      %d", r.Wrong)
	for _, example := range r.WrongExamples {
		printLine("           %s", example)
	}
}

func sortedKeys(m map[string]Quantiles) (keys []string) {
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// printComparison writes the main figures of two reports and their ratios.
func printComparison(w io.Writer, before, after Report) {
	printRow := func(name string, a, b float64) {
		ratio := "-"
		if a != 0 {
			ratio = fmt.Sprintf("%.3f", b/a)
		}
		_, _ = fmt.Fprintf(w, "%-22s %12.3f %12.3f %8s\n", name, a, b, ratio)
	}
	_, _ = fmt.Fprintf(w, "%-22s %12s %12s %8s\n", "", "before", "after", "ratio")
	printRow("tokens_per_s", before.TokensPerSecond, after.TokensPerSecond)
	printRow("useful_of_bound", before.UsefulFraction, after.UsefulFraction)
	printRow("first_token_p95_ms", before.TimeToFirstToken.P95, after.TimeToFirstToken.P95)
	printRow("token_gap_p95_ms", before.TokenGaps.P95, after.TokenGaps.P95)
	printRow("recovery_s", before.Recovery, after.Recovery)
	printRow("stalled_until_s", before.StalledUntil, after.StalledUntil)
	printRow("wrong", float64(before.Wrong), float64(after.Wrong))
}
