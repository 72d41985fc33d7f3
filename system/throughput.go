package system

import (
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

const (
	// paceWeight is the weight of a new report in the averages.
	paceWeight = 0.1
	// paceEvery is the time over which tokens are counted for a rate.
	paceEvery = 500 * time.Millisecond
	// paceFor is how long an average holds without a new report. After it
	// nothing is known, so that no request is refused for an old average.
	paceFor = 2 * time.Second
)

// MeasureThroughput measures how fast answers come. It reads the progress that traffic
// reports and writes the pace of Pipelines, from which it is told what can
// still finish in time.
type MeasureThroughput struct{}

// Run implements [System].
func (s *MeasureThroughput) Run(t *table.Tables, now time.Time) {
	for _, progress := range t.Events.Progress {
		s.progress(t, now, progress)
	}
	if !t.Due(&t.Timers.Throughput, now, paceEvery) {
		return
	}
	for i := range t.Pipelines.Rows {
		pace := &t.Pipelines.Rows[i].Throughput
		s.rate(pace, now)
		if now.Sub(pace.SeenAt) > paceFor {
			pace.TokenTime = 0
		}
	}
}

// progress takes one report into the average time of a token.
func (s *MeasureThroughput) progress(t *table.Tables, now time.Time, progress lentilmux.ProgressMsg) {
	r := t.Requests.Find(string(progress.Request))
	if r == nil || progress.Tokens < 1 {
		return
	}
	p := t.Pipelines.Find(r.Pipeline)
	if p == nil {
		return
	}
	p.Throughput.Count += progress.Tokens
	p.Throughput.SeenAt = now
	r.DeliveredTokens += progress.Tokens
	each := progress.Duration / time.Duration(progress.Tokens)
	if p.Throughput.TokenTime == 0 {
		p.Throughput.TokenTime = each
		return
	}
	p.Throughput.TokenTime += time.Duration(paceWeight * float64(each-p.Throughput.TokenTime))
}

// rate takes the tokens of the last period into the average rate.
func (s *MeasureThroughput) rate(pace *table.Throughput, now time.Time) {
	if pace.CountedAt.IsZero() {
		pace.CountedAt = now
	}
	period := now.Sub(pace.CountedAt)
	if period < paceEvery {
		return
	}
	rate := float64(pace.Count) / period.Seconds()
	pace.Rate += 2 * paceWeight * (rate - pace.Rate)
	pace.Count = 0
	pace.CountedAt = now
}

// inTime reports whether a request that starts after the time wait can be
// expected to finish before its deadline.
func inTime(t *table.Tables, now time.Time, r *table.Request, wait time.Duration) bool {
	p := t.Pipelines.Find(r.Pipeline)
	if p == nil {
		return now.Add(wait).Before(r.Request.Deadline)
	}
	left := max(0, r.Request.MaxTokens-r.DeliveredTokens)
	run := time.Duration(float64(left) * float64(p.Throughput.TokenTime) * t.Limits.AnswerTimeMargin)
	return now.Add(wait + run).Before(r.Request.Deadline)
}

// expectedWait returns how long a new request of the workspace would wait at
// this node: the tokens that its queued requests ask for, at the part of the
// node's rate that falls to its share among the workspaces that wait too.
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
		if r != nil && r.State == table.RequestQueued && r.Pipeline == target && r.Request.Workspace == w.Spec.Name {
			tokens += max(0, r.Request.MaxTokens-r.DeliveredTokens)
		}
	}
	rate := p.Throughput.Rate * w.Spec.Share / shares
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}
