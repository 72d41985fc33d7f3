package fleet

import (
	"strings"
	"time"

	"lentilmux.example/lentilmux"
)

// UpstreamRun is an upstream on which a request may have run: an attempt that it may
// have acted on has failed there, or stalls.
type UpstreamRun struct {
	Upstream  string
	StartedAt time.Time // of the upstream's process
	At        time.Time // when the last such attempt failed or was found stalled
	Ended     bool      // whether the process is known to have ended since
}

// upstreamState is what is known of the process of an upstream since an attempt failed
// there.
type upstreamState int

// The states.
const (
	// upstreamUnknown means that there is no sign of the process since then.
	upstreamUnknown upstreamState = iota
	// upstreamAlive means that it has reported or made progress since then.
	upstreamAlive
	// upstreamEnded means that it has ended or is cut off.
	upstreamEnded
)

// String returns the state in snake case, for the log.
func (s upstreamState) String() string {
	return [...]string{"unknown", "alive", "ended"}[s]
}

// recordRun records that a request may have run on the first hop of its newest attempt.
// A peer to which a request was forwarded selects the upstream itself.
func (r *RequestRow) recordRun(now time.Time) {
	if r.LastUpstream == "" {
		return
	}
	for i := range r.Runs {
		if run := &r.Runs[i]; run.Upstream == r.LastUpstream && run.StartedAt.Equal(r.UpstreamStartedAt) {
			run.At = now
			return
		}
	}
	r.Runs = append(r.Runs, UpstreamRun{Upstream: r.LastUpstream, StartedAt: r.UpstreamStartedAt, At: now})
}

// runState returns what is known of an upstream on which a request may have run. One
// that has ended stays so, also after its row was removed.
func (t *Tables) runState(run *UpstreamRun, now time.Time) (state upstreamState) {
	row := t.Upstreams.Find(run.Upstream)
	if row != nil && (row.isGone(now) || !row.StartedAt.Equal(run.StartedAt)) {
		run.Ended = true
	}
	switch {
	case run.Ended:
		return upstreamEnded
	case row != nil && row.showedLifeSince(run.At):
		return upstreamAlive
	default:
		return upstreamUnknown
	}
}

// showedLifeSince reports whether an upstream has answered a probe that was sent at a
// time or later, or has made progress since.
func (u *UpstreamRow) showedLifeSince(at time.Time) bool {
	return !u.ProbedAt.Before(at) && u.ReportedAt.After(at) || u.Progress.Last().Sub(at) > lateProgress
}

// formatRuns formats the upstreams on which a request may have run, for the log.
func (t *Tables) formatRuns(request *RequestRow, now time.Time) string {
	if len(request.Runs) == 0 {
		return "none"
	}
	var text strings.Builder
	for i := range request.Runs {
		if i > 0 {
			text.WriteByte(',')
		}
		text.WriteString(request.Runs[i].Upstream + ":" + t.runState(&request.Runs[i], now).String())
	}
	return text.String()
}

// recordSurvival logs that an upstream lives on after attempts broke off there, once for
// those that broke before the sign of life.
func (t *Tables) recordSurvival(broken *BrokenAttempt, row *UpstreamRow, now time.Time) {
	if !broken.At.After(row.SurvivedAt) {
		return
	}
	row.SurvivedAt = now
	t.RecordDecision(lentilmux.Decision{
		What: "upstream_survived", Subject: row.ID, Chosen: string(broken.Request),
		Reason: "alive " + now.Sub(broken.At).Round(time.Millisecond).String() + " after its connection broke",
	})
}
