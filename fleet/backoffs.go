package fleet

import (
	"fmt"
	"slices"
	"time"

	"lentilmux.example/lentilmux"
)

// An upstream that turns a request away may name the time for which it wants no
// more requests from this VM. Until then nothing new starts there. The time binds this
// VM alone. Peers are told as a hint: for them the upstream is a last choice until then,
// so that not each VM learns by a refusal of its own what the first one was told. A
// later answer of that kind may prolong the time but not shorten it, since each one
// holds for its time. A new process ends it.

const (
	// maxBackOff is the longest back-off. A longer one would take an upstream out of
	// use because of a number that makes no sense.
	maxBackOff = 2 * time.Minute
	// backOffLogInterval bounds the log lines on the answers of one upstream.
	backOffLogInterval = time.Second
	// maxPauseSpread bounds the time after the end of a back-off over which the VMs
	// return to the upstream, one after the other.
	maxPauseSpread = 3 * time.Second
	// maxBackOffsInDigest bounds the back-offs in one digest.
	maxBackOffsInDigest = 512
	// pauseTurns is the number of different turns in which VMs return to an upstream.
	pauseTurns = 1024
)

// BackOffRow is the back-off that one process of an upstream asked this VM for.
type BackOffRow struct {
	Upstream  string
	StartedAt time.Time // start of the process
	Until     time.Time
	logNextAt time.Time // when the next answer may be logged
}

// BackOffs is the table of back-offs in force.
type BackOffs struct {
	Rows []*BackOffRow
}

// FindOrCreate returns the row of an upstream, a new one if there is none.
func (b *BackOffs) FindOrCreate(upstream string) *BackOffRow {
	for _, row := range b.Rows {
		if row.Upstream == upstream {
			return row
		}
	}
	row := &BackOffRow{Upstream: upstream}
	b.Rows = append(b.Rows, row)
	return row
}

// ApplyBackOffs keeps the upstreams that turned a request away out of use for the
// time that they named. It reads Events.BackOffs and Events.Digests and writes
// BackOffs and Upstreams.
type ApplyBackOffs struct{}

// Run implements [System].
func (a *ApplyBackOffs) Run(t *Tables, now time.Time) {
	for _, msg := range t.Events.BackOffs {
		a.record(t, msg, now)
	}
	for _, digest := range t.Events.Digests {
		if digest.VM != t.Self.Name {
			a.applyHints(t, digest.BackOffs, now)
		}
	}
	t.BackOffs.Rows = slices.DeleteFunc(t.BackOffs.Rows, func(backOff *BackOffRow) bool {
		return !a.apply(t, backOff, now) && !now.Before(backOff.logNextAt)
	})
}

// applyHints pauses the upstreams that asked other VMs for a back-off.
func (a *ApplyBackOffs) applyHints(t *Tables, hints []lentilmux.BackOffHint, now time.Time) {
	for _, hint := range hints {
		if row := t.Upstreams.FindByHash(hint.Upstream); row != nil {
			row.pause(now.Add(min(hint.Remaining, maxBackOff)))
		}
	}
}

// apply sets the end of a back-off at its upstream, and clears it if the process has
// been replaced. It reports whether the back-off is in force.
func (a *ApplyBackOffs) apply(t *Tables, backOff *BackOffRow, now time.Time) (inForce bool) {
	row := t.Upstreams.Find(backOff.Upstream)
	if row != nil && !row.StartedAt.Equal(backOff.StartedAt) {
		backOff.Until = time.Time{}
	}
	if row != nil { // otherwise its entry may be read again
		row.BackOffUntil = backOff.Until
	}
	if !now.Before(backOff.Until) {
		return false
	}
	t.WakeAt(backOff.Until)
	return true
}

// record records an answer that names a time. Answers of an earlier process than the
// one that is registered are ignored.
func (a *ApplyBackOffs) record(t *Tables, msg lentilmux.UpstreamBackOffMsg, now time.Time) {
	row := t.Upstreams.Find(msg.Upstream)
	if row == nil || !row.StartedAt.Equal(msg.StartedAt) {
		return
	}
	backOff := t.BackOffs.FindOrCreate(msg.Upstream)
	if !backOff.StartedAt.Equal(msg.StartedAt) {
		backOff.StartedAt, backOff.Until = msg.StartedAt, time.Time{}
	}
	if until := now.Add(min(msg.RetryAfter.Delay, maxBackOff)); !msg.RetryAfter.Invalid && until.After(backOff.Until) {
		backOff.Until = until
		row.pause(until)
	}
	if !now.Before(backOff.logNextAt) {
		backOff.logNextAt = now.Add(backOffLogInterval)
		t.RecordDecision(describeBackOff(msg))
	}
}

// describeBackOff returns the log line on an answer that names a time.
func describeBackOff(msg lentilmux.UpstreamBackOffMsg) lentilmux.Decision {
	decision := lentilmux.Decision{What: "upstream_backs_off", Subject: msg.Upstream, Reason: "refused request " + string(msg.Request)}
	switch delay := msg.RetryAfter.Delay; {
	case msg.RetryAfter.Invalid:
		decision.What = "retry_after_ignored"
		decision.Reason += ": not one number of seconds, or negative"
	case delay > maxBackOff:
		decision.Chosen = maxBackOff.String()
		decision.Reason += fmt.Sprintf(", named %s", delay)
	default:
		decision.Chosen = delay.String()
	}
	return decision
}

// backsOff reports whether nothing new may start at the upstream because it named a
// time in an answer to this VM.
func (u *UpstreamRow) backsOff(now time.Time) bool { return now.Before(u.BackOffUntil) }

// backOffEnd returns the time at which the first upstream of a service ends its
// back-off if all that could begin to answer a request are in one. Otherwise it is
// zero.
func (t *Tables) backOffEnd(service string, now time.Time) (end time.Time) {
	for _, row := range t.Upstreams.Rows {
		if row.Service != service || !row.Usable(now) || row.HasLayers && row.routableLayers().First > 0 {
			continue
		}
		if !row.backsOff(now) {
			return time.Time{}
		}
		if end.IsZero() || row.BackOffUntil.Before(end) {
			end = row.BackOffUntil
		}
	}
	return end
}

// noRoomRefusal returns the refusal of a request for which no upstream has room. If
// all of them are in a back-off, the caller learns when the first one ends, but no
// later than its own deadline.
func (t *Tables) noRoomRefusal(request *RequestRow, detail string, now time.Time) *lentilmux.Refusal {
	refusal := t.notRunRefusal(lentilmux.ReasonNoUpstream, detail)
	refusal.RetryAfter = t.shortageRetryAfter(request, now)
	if end := t.backOffEnd(request.Service, now); !end.IsZero() {
		refusal.RetryAfter = max(refusal.RetryAfter, earliest(end, request.Deadline).Sub(now))
		refusal.Detail += fmt.Sprintf(", all back off for %s", end.Sub(now).Round(time.Millisecond))
	}
	return refusal
}

// pause makes an upstream a last choice until the end of a back-off that it asked some
// VM for.
func (u *UpstreamRow) pause(until time.Time) {
	if !u.PausedProcess.Equal(u.StartedAt) {
		u.PausedProcess, u.PausedUntil = u.StartedAt, time.Time{}
	}
	if until.After(u.PausedUntil) {
		u.PausedUntil = until
	}
}

// isPaused reports whether an upstream asked some VM for a back-off that has not ended,
// or has ended just now: the VMs return to it one after the other, by a hash of their
// names, so that the first ones learn for all whether it takes requests again.
func (t *Tables) isPaused(row *UpstreamRow, now time.Time) bool {
	if row.PausedUntil.IsZero() || !row.PausedProcess.Equal(row.StartedAt) {
		return false
	}
	past := now.Sub(row.PausedUntil)
	if past < 0 || past >= maxPauseSpread {
		return past < 0
	}
	spread := min(time.Duration(t.LiveVMs(now))*t.Limits.DigestInterval, maxPauseSpread)
	turn := float64(lentilmux.ComputeFingerprint(t.Self.Name, row.ID)%pauseTurns) / pauseTurns
	return past < time.Duration(turn*float64(spread))
}

// knownBackOffs returns the back-offs to tell peers of.
func (t *Tables) knownBackOffs(now time.Time) (hints []lentilmux.BackOffHint) {
	for _, row := range t.Upstreams.Rows {
		if remaining := row.PausedUntil.Sub(now); remaining > 0 && row.PausedProcess.Equal(row.StartedAt) {
			hints = append(hints, lentilmux.BackOffHint{Upstream: row.Hash, Remaining: remaining})
		}
		if len(hints) == maxBackOffsInDigest {
			break
		}
	}
	return hints
}
