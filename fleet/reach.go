package fleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

// A VM sees no upstream itself, only its own links to them. If several upstreams
// fail at the same time, either they or the links of this VM may be the cause. New
// connections to upstreams of all availability zones tell: if one of them is
// accepted, the links work, and the failures are those of the upstreams. If none
// is, this VM is isolated: what it sees says nothing of any upstream. Connections
// that are already open prove nothing, since they may live on while new ones fail.

const (
	// minDoubtfulUpstreams is the number of upstreams that fail together from which
	// on this VM doubts its links.
	minDoubtfulUpstreams = 3
	// evidenceDuration is how long a failure speaks against the links.
	evidenceDuration = time.Second
	// connectCount is the number of upstreams that one round of tests connects to.
	connectCount = 4
	// connectInterval is the time between two rounds, and the longest wait for the
	// results of one.
	connectInterval = 300 * time.Millisecond
	// minProofs is the number of upstreams that have to accept a connection until an
	// isolated VM trusts its links again.
	minProofs = 2
	// reachGrace is how long after the end of its isolation a VM counts as isolated
	// for its peers, and neither leads nor testifies.
	reachGrace = time.Second
)

// ReachState says whether this VM reaches its upstreams.
type ReachState int

// The states.
const (
	// ReachSound means that the links to upstreams work, as far as known.
	ReachSound ReachState = iota
	// ReachDoubtful means that several upstreams fail and connections are tested.
	ReachDoubtful
	// ReachLost means that no upstream accepts a connection of this VM.
	ReachLost
)

// String returns the state in snake case, for the log.
func (s ReachState) String() string {
	switch s {
	case ReachDoubtful:
		return "doubtful"
	case ReachLost:
		return "lost"
	default:
		return "sound"
	}
}

// Reach is what this VM knows of its links to upstreams.
type Reach struct {
	State       ReachState
	Since       time.Time // when State began; zero for sound links since the start
	SoundAt     time.Time // when the links last became sound after they had been lost
	failures    []linkFailure
	awaited     []string  // upstreams whose results of the current round are missing
	accepted    []string  // upstreams that accepted a connection since the last round without any
	testedAt    time.Time // when the current round began; zero for none
	anyAccepted bool      // whether some upstream accepted a connection in the current round
	nextIndex   int       // of the upstream from which on the next round chooses
}

// linkFailure is the last failure of the link to an upstream.
type linkFailure struct {
	upstream string
	at       time.Time
}

// isIsolated reports whether this VM reaches no upstream, or did so until less than
// reachGrace ago: it then neither leads nor says that an upstream is dead.
func (t *Tables) isIsolated(now time.Time) bool {
	return t.Reach.State == ReachLost || !t.Reach.SoundAt.IsZero() && now.Sub(t.Reach.SoundAt) < reachGrace
}

// trustsLinks reports whether the failure of an upstream may be held against it.
func (t *Tables) trustsLinks() bool { return t.Reach.State == ReachSound }

// TrackReach decides whether this VM reaches its upstreams. It reads
// Events.FailedAttempts, Events.StalledAttempts, Events.Reports,
// Events.ConnectResults, Requests and Upstreams and writes Reach.
type TrackReach struct{}

// Run implements [System].
func (r *TrackReach) Run(t *Tables, now time.Time) {
	r.collectFailures(t, now)
	for _, msg := range t.Events.ConnectResults {
		r.applyResult(t, msg)
	}
	switch t.Reach.State {
	case ReachSound:
		r.checkDoubt(t, now)
	case ReachDoubtful:
		r.settleDoubt(t, now)
	case ReachLost:
		r.checkRecovery(t, now)
	}
}

// collectFailures records the links that failed in this tick.
func (r *TrackReach) collectFailures(t *Tables, now time.Time) {
	for _, failed := range t.Events.FailedAttempts {
		if failed.Answered || failed.Kind != lentilmux.FailureDial && failed.Kind != lentilmux.FailureCrash {
			continue
		}
		if request := t.Requests.Find(failed.Request); request != nil && request.Epoch == failed.Epoch {
			t.addLinkFailure(request.LastUpstream, now)
		}
	}
	for _, msg := range t.Events.Reports {
		var upstreamErr *lentilmux.UpstreamError
		if errors.As(msg.Err, &upstreamErr) && !upstreamErr.Kind.IsInvalidOutput() {
			t.addLinkFailure(msg.Upstream, now)
		}
	}
	if len(t.Events.StalledAttempts) > 0 && !t.anyProgress(now) {
		for _, stalled := range t.Events.StalledAttempts {
			if request := t.Requests.Find(stalled.Request); request != nil && request.Epoch == stalled.Epoch {
				t.addLinkFailure(request.LastUpstream, now)
			}
		}
	}
}

// anyProgress reports whether some upstream made progress within ProgressTimeout.
func (t *Tables) anyProgress(now time.Time) bool {
	return slices.ContainsFunc(t.Upstreams.Rows, func(row *UpstreamRow) bool { return now.Sub(row.Progress.Last()) < t.Limits.ProgressTimeout })
}

// addLinkFailure records that the link to an upstream failed. One that is dead proves
// nothing by failing again.
func (t *Tables) addLinkFailure(upstream string, now time.Time) {
	if row := t.Upstreams.Find(upstream); row == nil || row.Dead {
		return
	}
	r := &t.Reach
	for i := range r.failures {
		if r.failures[i].upstream == upstream {
			r.failures[i].at = now
			return
		}
	}
	r.failures = append(r.failures, linkFailure{upstream: upstream, at: now})
}

// hasFailed reports whether the link to an upstream failed lately.
func (r *Reach) hasFailed(upstream string) bool {
	return slices.ContainsFunc(r.failures, func(failure linkFailure) bool { return failure.upstream == upstream })
}

// checkDoubt begins to test connections if several upstreams failed within
// evidenceDuration.
func (r *TrackReach) checkDoubt(t *Tables, now time.Time) {
	if len(t.Reach.failures) == 0 {
		return
	}
	t.Reach.failures = slices.DeleteFunc(t.Reach.failures, func(failure linkFailure) bool { return now.Sub(failure.at) >= evidenceDuration })
	if !t.Reach.Since.IsZero() && now.Sub(t.Reach.Since) < connectInterval {
		return // the links were tested just now
	}
	if known := len(t.Upstreams.Rows); known < 2 || len(t.Reach.failures) < min(minDoubtfulUpstreams, known) {
		return
	}
	t.Reach.enter(ReachDoubtful, now)
	r.test(t, now)
}

// settleDoubt ends the doubt: by the first connection that is accepted, or when all
// tests have failed.
func (r *TrackReach) settleDoubt(t *Tables, now time.Time) {
	switch {
	case len(t.Reach.accepted) > 0:
		failed := t.Reach.failures
		t.RecordDecision(lentilmux.Decision{
			What: "upstreams_doubted", Subject: t.Self.Name, Chosen: fmt.Sprintf("%d failed", len(failed)),
			Reason: fmt.Sprintf("%s accepted a connection within %s", t.Reach.accepted[0], now.Sub(t.Reach.Since).Round(time.Millisecond)),
		})
		t.Reach.enter(ReachSound, now)
		t.judgeFailures(failed, now)
	case r.roundEnded(t, now):
		t.RecordDecision(lentilmux.Decision{
			What: "upstreams_unreachable", Subject: t.Self.Name, Chosen: fmt.Sprintf("%d failed", len(t.Reach.failures)),
			Reason: fmt.Sprintf("no new connection was accepted within %s, of %d upstreams", now.Sub(t.Reach.Since).Round(time.Millisecond), len(t.Upstreams.Rows)),
		})
		t.Reach.enter(ReachLost, now)
		t.AddEffect(lentilmux.ReachabilityEffect{Reachable: false})
		t.withdrawVerdicts(now)
		r.test(t, now)
	}
}

// checkRecovery tests connections until enough of them are accepted.
func (r *TrackReach) checkRecovery(t *Tables, now time.Time) {
	if len(t.Reach.accepted) >= min(minProofs, len(t.Upstreams.Rows)) {
		t.RecordDecision(lentilmux.Decision{
			What: "upstreams_reachable", Subject: t.Self.Name, Chosen: fmt.Sprintf("after %s", now.Sub(t.Reach.Since).Round(time.Millisecond)),
			Reason: fmt.Sprintf("%v accepted connections", t.Reach.accepted),
		})
		t.Reach.enter(ReachSound, now)
		t.Reach.SoundAt = now
		t.AddEffect(lentilmux.ReachabilityEffect{Reachable: true})
		return
	}
	if !r.roundEnded(t, now) {
		return
	}
	if due := t.Reach.testedAt.Add(connectInterval); now.Before(due) {
		t.WakeAt(due)
		return
	}
	r.test(t, now)
}

// enter begins a state.
func (r *Reach) enter(state ReachState, now time.Time) {
	*r = Reach{State: state, Since: now, SoundAt: r.SoundAt, nextIndex: r.nextIndex, failures: r.failures}
	if state != ReachDoubtful {
		r.failures = nil
	}
}

// judgeFailures probes the upstreams whose failures were not held against them while
// the links were in doubt.
func (t *Tables) judgeFailures(failures []linkFailure, now time.Time) {
	for _, failure := range failures {
		if row := t.Upstreams.Find(failure.upstream); row != nil {
			row.ProbedAt = time.Time{}
			t.probe(row, now)
		}
	}
}

// withdrawVerdicts takes back what the lost links made this VM believe of upstreams
// and of requests.
func (t *Tables) withdrawVerdicts(now time.Time) {
	t.PartSuspects.Broken = nil
	t.forgetUpstreamStates()
	t.CrashSuspects.withdrawSince(now.Add(-evidenceDuration))
	for _, row := range t.Upstreams.Rows {
		row.SuspectUntil, row.MissedProbes, row.Dead, row.Ended, row.ReportedByPeer = time.Time{}, 0, false, false, false
		row.endEjection()
	}
}
