package system

import (
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

const (
	// averageWeight is the weight of a new sample in the moving averages.
	averageWeight = 0.1
	// rateInterval is the time over which tokens are counted for one sample of
	// the rate.
	rateInterval = 500 * time.Millisecond
	// averageLifetime is how long the average token time is valid without a new
	// report. After it the time is unknown, so that no request is refused
	// because of an outdated average.
	averageLifetime = 2 * time.Second
)

// MeasureThroughput measures how fast responses are produced. It reads the
// progress that arrived and writes the Throughput of Pipelines and the
// delivered tokens of Requests. Admission uses both to estimate whether a
// request can still finish in time.
type MeasureThroughput struct{}

// Run implements [System].
func (s *MeasureThroughput) Run(t *table.Tables, now time.Time) {
	for _, progress := range t.Events.Progress {
		s.recordProgress(t, now, progress)
	}
	if !t.Due(&t.Timers.Throughput, now, rateInterval) {
		return
	}
	for i := range t.Pipelines.Rows {
		throughput := &t.Pipelines.Rows[i].Throughput
		s.updateRate(throughput, now)
		if now.Sub(throughput.SeenAt) > averageLifetime {
			throughput.TokenTime = 0
		}
	}
}

// recordProgress adds one progress report to the token count and to the average
// time per token.
func (s *MeasureThroughput) recordProgress(t *table.Tables, now time.Time, progress lentilmux.ProgressMsg) {
	r := t.Requests.Find(string(progress.Request))
	if r == nil || progress.Tokens < 1 {
		return
	}
	p := t.Pipelines.Find(r.Target)
	if p == nil {
		return
	}
	p.Throughput.TokenCount += progress.Tokens
	p.Throughput.SeenAt = now
	r.DeliveredTokens += progress.Tokens
	timePerToken := progress.Duration / time.Duration(progress.Tokens)
	if p.Throughput.TokenTime == 0 {
		p.Throughput.TokenTime = timePerToken
		return
	}
	p.Throughput.TokenTime += time.Duration(averageWeight * float64(timePerToken-p.Throughput.TokenTime))
}

// updateRate adds the tokens of the last period to the average rate.
func (s *MeasureThroughput) updateRate(throughput *table.Throughput, now time.Time) {
	if throughput.CountedAt.IsZero() {
		throughput.CountedAt = now
	}
	period := now.Sub(throughput.CountedAt)
	if period < rateInterval {
		return
	}
	rate := float64(throughput.TokenCount) / period.Seconds()
	throughput.Rate += 2 * averageWeight * (rate - throughput.Rate)
	throughput.TokenCount = 0
	throughput.CountedAt = now
}

// canFinishInTime reports whether a request that starts after wait can be
// expected to finish before its deadline.
func canFinishInTime(t *table.Tables, now time.Time, r *table.Request, wait time.Duration) bool {
	p := t.Pipelines.Find(r.Target)
	if p == nil {
		return now.Add(wait).Before(r.Request.Deadline)
	}
	tokensLeft := max(0, r.Request.MaxTokens-r.DeliveredTokens)
	runTime := time.Duration(float64(tokensLeft) * float64(p.Throughput.TokenTime) * t.Limits.AnswerTimeMargin)
	return now.Add(wait + runTime).Before(r.Request.Deadline)
}

// expectedWait returns how long a new request of the workspace would wait at
// this node: the tokens that its queued requests for the target may still need,
// divided by the workspace's part of the node's token rate. That part is its
// share relative to all workspaces that have queued requests.
func expectedWait(t *table.Tables, w *table.Workspace, target string) time.Duration {
	p := t.Pipelines.Find(target)
	if p == nil || p.Throughput.Rate <= 0 || w.Queued == 0 {
		return 0
	}
	tokens := 0
	shares := 0.0
	for i := range t.Workspaces.Rows {
		if other := &t.Workspaces.Rows[i]; other.Queued > 0 {
			shares += other.Spec.Share
		}
	}
	for _, id := range t.Queue.IDs {
		r := t.Requests.Find(string(id))
		if r != nil && r.State == table.RequestQueued && r.Target == target && r.Request.Workspace == w.Spec.Name {
			tokens += max(0, r.Request.MaxTokens-r.DeliveredTokens)
		}
	}
	rate := p.Throughput.Rate * w.Spec.Share / shares
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}
