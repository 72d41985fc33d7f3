package fleet

import (
	"fmt"
	"slices"
	"time"

	"lentilmux.example/lentilmux"
)

// An upstream that turns a request away may name the time for which it wants no
// more requests from this VM. Until then nothing new starts there. The time holds
// for this VM alone, so peers are not told. A later answer of that kind may prolong it
// but not shorten it, since each one holds for its time. A new process ends it.

const (
	// maxBackOff is the longest back-off. A longer one would take an upstream out of
	// use because of a number that makes no sense.
	maxBackOff = 2 * time.Minute
	// backOffLogInterval bounds the log lines on the answers of one upstream.
	backOffLogInterval = time.Second
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
// time that they named. It reads Events.BackOffs and writes BackOffs and
// Upstreams.
type ApplyBackOffs struct{}

// Run implements [System].
func (a *ApplyBackOffs) Run(t *Tables, now time.Time) {
	for _, msg := range t.Events.BackOffs {
		a.record(t, msg, now)
	}
	t.BackOffs.Rows = slices.DeleteFunc(t.BackOffs.Rows, func(backOff *BackOffRow) bool {
		return !a.apply(t, backOff, now) && !now.Before(backOff.logNextAt)
	})
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
	if end := t.backOffEnd(request.Service, now); !end.IsZero() {
		refusal.RetryAfter = max(refusal.RetryAfter, earliest(end, request.Deadline).Sub(now))
		refusal.Detail += fmt.Sprintf(", all back off for %s", end.Sub(now).Round(time.Millisecond))
	}
	return refusal
}
