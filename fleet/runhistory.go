package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// RunHistory is where a request may have run so far.
type RunHistory struct {
	MayHaveRun   bool          // whether any attempt may have run it
	PossibleRuns int           // attempts that may have run it, also before it was forwarded to this VM
	Runs         []UpstreamRun // upstreams of this VM's attempts on which it may have run
	PeerRuns     int           // upstreams on which peers may have run it that it was forwarded to
}

// clone returns a copy that does not change with the history.
func (h *RunHistory) clone() RunHistory {
	copied := *h
	copied.Runs = slices.Clone(h.Runs)
	return copied
}

// UpstreamRun is an upstream on which a request may have run: an attempt that it may
// have acted on has failed there, or stalls.
type UpstreamRun struct {
	Upstream  string
	StartedAt time.Time // of the upstream's process
	At        time.Time // when the last such attempt failed or was found stalled
	State     upstreamState
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

// countRun counts the newest attempt as one that may have run the request.
func (r *RequestRow) countRun(now time.Time) {
	if !r.RunCounted {
		r.MayHaveRun, r.RunCounted = true, true
		r.PossibleRuns++
		r.PeerRuns += r.PeerUpstreams
	}
	if r.LastUpstream != "" {
		r.recordRun(now)
	}
}

// recordRun records that a request may have run on the first hop of its newest attempt.
func (r *RequestRow) recordRun(now time.Time) {
	if run := r.findRun(r.LastUpstream, r.UpstreamStartedAt); run != nil {
		run.At, run.State = now, upstreamUnknown
		return
	}
	r.Runs = append(r.Runs, UpstreamRun{Upstream: r.LastUpstream, StartedAt: r.UpstreamStartedAt, At: now})
}

// findRun returns the entry of an upstream's process, or nil if the request certainly has
// not run there.
func (r *RequestRow) findRun(upstream string, startedAt time.Time) (run *UpstreamRun) {
	for i := range r.Runs {
		if run = &r.Runs[i]; run.Upstream == upstream && run.StartedAt.Equal(startedAt) {
			return run
		}
	}
	return nil
}

// mayHaveRunOn reports whether a request may have run on the process of an upstream.
func (r *RequestRow) mayHaveRunOn(row *UpstreamRow) bool {
	return r.findRun(row.ID, row.StartedAt) != nil
}

// runState returns what is known of an upstream on which a request may have run, and
// records it: a process that has ended stays so, also after its row was removed. One that
// is cut off counts as ended only as long as it is.
func (t *Tables) runState(run *UpstreamRun, now time.Time) (state upstreamState) {
	row := t.Upstreams.Find(run.Upstream)
	switch {
	case row == nil:
	case row.Dead && row.Ended, !row.StartedAt.Equal(run.StartedAt):
		run.State = upstreamEnded
	case row.isGone(now):
		return upstreamEnded
	case run.State == upstreamUnknown && row.showedLifeSince(run.At):
		run.State = upstreamAlive
	}
	return run.State
}

// recordUpstreamState records what became known of the upstream of a broken attempt. A
// sign of life says nothing of an attempt that failed there later.
func (t *Tables) recordUpstreamState(broken *BrokenAttempt, state upstreamState) {
	request := t.Requests.Find(broken.Request)
	if request == nil {
		return
	}
	run := request.findRun(broken.Upstream, broken.StartedAt)
	if run != nil && (state == upstreamEnded || !run.At.After(broken.At)) {
		run.State = state
	}
}

// recordNotListening records that nothing listens at the upstream of a request's newest
// attempt.
func (r *RequestRow) recordNotListening() {
	if run := r.findRun(r.LastUpstream, r.UpstreamStartedAt); run != nil {
		run.State = upstreamEnded
	}
}

// forgetUpstreamStates forgets which upstreams have ended: lost links may have made this
// VM believe it.
func (t *Tables) forgetUpstreamStates() {
	for _, request := range t.Requests.Rows {
		for i := range request.Runs {
			request.Runs[i].State = upstreamUnknown
		}
	}
}

// formatRuns formats the upstreams on which a request may have run, for the log.
func (t *Tables) formatRuns(request *RequestRow, now time.Time) string {
	var parts []string
	for i := range request.Runs {
		parts = append(parts, request.Runs[i].Upstream+":"+t.runState(&request.Runs[i], now).String())
	}
	if request.PeerRuns > 0 {
		parts = append(parts, fmt.Sprintf("of_peers:%d", request.PeerRuns))
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ",")
}
