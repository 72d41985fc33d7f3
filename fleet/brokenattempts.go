package fleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

const (
	// maxBrokenAttempts bounds the broken attempts of which it is not known yet whether
	// their upstream crashed.
	maxBrokenAttempts = 64
	// maxCrashDoubt is how long after an attempt broke its upstream may be found
	// gone for this to count as its crash.
	maxCrashDoubt = 3 * time.Second
	// lateProgress is how long after a crash events that were sent before it may
	// still be read.
	lateProgress = 50 * time.Millisecond
	// crashTestDelay is how long after an attempt broke its upstream is tested with a
	// connection if it sends no reports: a process that ends closes its connections and
	// its listener in any order.
	crashTestDelay = 50 * time.Millisecond
)

// BrokenAttempt is an attempt whose connection broke. Whether its upstream crashed is
// not known yet, since connections also break without that.
type BrokenAttempt struct {
	Request     lentilmux.RequestID
	Upstream    string
	StartedAt   time.Time // of the upstream's process
	At          time.Time // when the connection broke
	Begun       bool      // whether an upstream had begun to answer the request
	Fingerprint lentilmux.Fingerprint
	Parts       []lentilmux.PromptPart // of the request; none if Begun
	SharedParts int                    // the number of Parts that other requests may share
	AtSend      []PartEvidence         // of Parts
	ByReport    bool                   // whether the upstream sends reports; else a new connection tells whether it lives
}

// recordBreak records that the connection of an attempt broke.
func (c *TrackCrashes) recordBreak(t *Tables, request *RequestRow, failed FailedAttemptRow, now time.Time) {
	row := t.Upstreams.Find(request.LastUpstream)
	if row == nil || t.Reach.State == ReachLost {
		return
	}
	model, _ := t.ModelAndAccelerator(row)
	broken := BrokenAttempt{
		Request: request.ID, Upstream: row.ID, StartedAt: row.StartedAt, At: now, ByReport: model != nil,
		Begun: request.AnswerStarted || failed.Delivered > 0, Fingerprint: request.Fingerprint,
	}
	if !broken.Begun {
		broken.Parts, broken.SharedParts, broken.AtSend = request.Parts, len(request.SharedParts), request.PartsAtSend
	}
	if broken.AtSend == nil {
		broken.AtSend = make([]PartEvidence, len(broken.Parts))
	}
	t.PartSuspects.addBroken(broken)
}

// addBroken adds a broken attempt. The oldest one makes room, if possible one of those
// that had begun to answer, since a crash breaks many of them.
func (p *PartSuspects) addBroken(broken BrokenAttempt) {
	if len(p.Broken) >= maxBrokenAttempts {
		oldest := max(slices.IndexFunc(p.Broken, func(b BrokenAttempt) bool { return b.Begun }), 0)
		p.Broken = slices.Delete(p.Broken, oldest, oldest+1)
	}
	p.Broken = append(p.Broken, broken)
}

// confirmCrashes counts the crashes of upstreams that are gone, or were replaced by
// another process, since an attempt broke, and forgets the attempts whose upstream
// lives on.
func (c *TrackCrashes) confirmCrashes(t *Tables, now time.Time) {
	t.PartSuspects.Broken = slices.DeleteFunc(t.PartSuspects.Broken, func(broken BrokenAttempt) bool {
		row := t.Upstreams.Find(broken.Upstream)
		switch {
		case row == nil, row.isGone(now), !row.StartedAt.Equal(broken.StartedAt), !broken.ByReport && t.refusedTest(&broken, row):
			t.recordUpstreamState(&broken, upstreamEnded)
			c.countCrash(t, &broken, now)
			return true
		case broken.ByReport && row.showedLifeSince(broken.At), !broken.ByReport && t.acceptedTest(&broken, row):
			t.recordUpstreamState(&broken, upstreamAlive)
			t.recordSurvival(&broken, row, now)
			return true
		case broken.ByReport:
			t.probe(row, now) // once MinProbeInterval has passed
			t.WakeAt(now.Add(t.Limits.MinProbeInterval))
		default:
			t.testConnection(&broken, row, now)
		}
		return now.Sub(broken.At) > maxCrashDoubt
	})
}

// showedLifeSince reports whether an upstream has answered a probe that was sent at a
// time or later, or has made progress since.
func (u *UpstreamRow) showedLifeSince(at time.Time) bool {
	return !u.ProbedAt.Before(at) && u.ReportedAt.After(at) || u.Progress.Last().Sub(at) > lateProgress
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

// testConnection opens a connection to an upstream once crashTestDelay has passed since
// an attempt broke, unless that was done or this VM's share of MaxProbesPerSecond is
// used up.
func (t *Tables) testConnection(broken *BrokenAttempt, row *UpstreamRow, now time.Time) {
	due := broken.At.Add(crashTestDelay)
	switch {
	case now.Before(due):
		t.WakeAt(due)
	case !row.ConnectTestedAt.Before(due):
	case t.ProbeBucket.take(now, t.Limits.MaxProbesPerSecond/float64(t.LiveVMs(now)), probeBurst, 1):
		row.ConnectTestedAt = now
		t.AddEffect(lentilmux.ConnectEffect{Upstream: row.ID, Addr: row.Addr})
	default:
		t.WakeAt(now.Add(crashTestDelay))
	}
}

// testResult returns the result of the connection that tests an upstream, or nil if it
// did not arrive in this tick.
func (t *Tables) testResult(broken *BrokenAttempt, row *UpstreamRow) *lentilmux.ConnectResultMsg {
	if row.ConnectTestedAt.Before(broken.At.Add(crashTestDelay)) {
		return nil
	}
	for i := range t.Events.ConnectResults {
		if t.Events.ConnectResults[i].Upstream == row.ID {
			return &t.Events.ConnectResults[i]
		}
	}
	return nil
}

// refusedTest reports whether nothing listens at an upstream's address any more.
func (t *Tables) refusedTest(broken *BrokenAttempt, row *UpstreamRow) bool {
	result := t.testResult(broken, row)
	return result != nil && errors.Is(result.Err, lentilmux.ErrNotListening)
}

// acceptedTest reports whether an upstream accepted the connection that tests it.
func (t *Tables) acceptedTest(broken *BrokenAttempt, row *UpstreamRow) bool {
	result := t.testResult(broken, row)
	return result != nil && result.Err == nil
}

// countCrash counts a crash against the parts of an attempt. If a shared one is held
// already, the crash is counted against that one alone.
func (c *TrackCrashes) countCrash(t *Tables, broken *BrokenAttempt, now time.Time) {
	if broken.Begun {
		t.CrashSuspects.RecordCrash(broken.Fingerprint, now, t.Limits.CrashRetention)
		return
	}
	crash := lentilmux.ComputeCrashID(broken.Upstream, broken.StartedAt)
	t.RecordDecision(lentilmux.Decision{
		What: "crash_counted", Subject: string(broken.Request), Chosen: lentilmux.FormatPromptParts(broken.Parts, maxLoggedParts),
		// own is the index of the part that stands for the request, took the time from the
		// break until the crash was certain.
		Reason: fmt.Sprintf("%s crashed, own=%d took=%dms", broken.Upstream, broken.SharedParts, now.Sub(broken.At).Milliseconds()),
	})
	for i, part := range broken.Parts {
		if row := t.PartSuspects.Find(part); row != nil && row.Held && !row.Own {
			row.countCrash(crash, broken.AtSend[i], now)
			return
		}
	}
	for i, part := range broken.Parts {
		row := t.PartSuspects.GetOrCreate(part)
		row.Position, row.Own = max(row.Position, i), i >= broken.SharedParts
		row.countCrash(crash, broken.AtSend[i], now)
		t.holdRequest(row, now)
	}
	t.NewSuspects = true // peers must learn of the crash
	if t.PartSuspects.JudgeAt.IsZero() {
		t.PartSuspects.JudgeAt = now
	}
}
