package fleet

import (
	"cmp"
	"slices"
	"time"

	"lentilmux.example/lentilmux"
)

// An upstream announces its drain in its store entry and in all its answers. The
// answers count as much as the entry: they arrive during an outage of the store and
// before the entry is read. Announcements are kept apart from the upstreams, since
// the entry of a draining upstream may expire and be read again, and since a peer
// may tell of a process whose entry has not been read yet. Only a new process ends
// a drain.

const (
	// drainGossipDuration is how long after an announcement digests tell of it.
	drainGossipDuration = 30 * time.Second
	// drainRetention is how long an announcement is kept.
	drainRetention = 10 * time.Minute
	// maxDrainsInDigest bounds the announced drains in one digest.
	maxDrainsInDigest = 512
	// maxDrains bounds the announced drains that are kept.
	maxDrains = 8192
)

// DrainRow is the drain that one process of an upstream announced in an answer.
type DrainRow struct {
	Upstream  lentilmux.UpstreamHash
	StartedAt time.Time // start of the process
	SeenAt    time.Time // of the last known announcement
	Source    string    // of the first known announcement, for the log
}

// processKey identifies one process of an upstream.
type processKey struct {
	upstream    lentilmux.UpstreamHash
	startedAtMs int64
}

// Drains is the table of drains announced in answers.
type Drains struct {
	Rows         []*DrainRow
	rowByProcess map[processKey]*DrainRow
}

// Find returns the row of a process, or nil if no drain of it is known.
func (d *Drains) Find(upstream lentilmux.UpstreamHash, startedAt time.Time) *DrainRow {
	return d.rowByProcess[processKey{upstream, startedAt.UnixMilli()}]
}

// Put adds a row for a process that has none.
func (d *Drains) Put(row *DrainRow) {
	if d.rowByProcess == nil {
		d.rowByProcess = make(map[processKey]*DrainRow)
	}
	d.rowByProcess[processKey{row.Upstream, row.StartedAt.UnixMilli()}] = row
	d.Rows = append(d.Rows, row)
}

// removeBefore removes the rows whose last announcement was before a time.
func (d *Drains) removeBefore(oldest time.Time) {
	d.Rows = slices.DeleteFunc(d.Rows, func(row *DrainRow) bool {
		expired := row.SeenAt.Before(oldest)
		if expired {
			delete(d.rowByProcess, processKey{row.Upstream, row.StartedAt.UnixMilli()})
		}
		return expired
	})
}

// ApplyDrains records the drains that upstreams announce in their answers to this
// VM and others. It reads Events.UpstreamDrains, Events.Reports and Events.Digests
// and writes Drains and Upstreams.
type ApplyDrains struct{}

// Run implements [System].
func (a *ApplyDrains) Run(t *Tables, now time.Time) {
	for _, msg := range t.Events.UpstreamDrains {
		t.recordDrain(lentilmux.HashUpstream(msg.Upstream), msg.StartedAt, now, "answer to "+string(msg.Request))
	}
	for _, msg := range t.Events.Reports {
		if msg.Err == nil && msg.Report.Draining {
			t.recordDrain(lentilmux.HashUpstream(msg.Upstream), msg.Report.StartedAt, now, "state report")
		}
	}
	for _, digest := range t.Events.Digests {
		if digest.VM == t.Self.Name {
			continue
		}
		for _, drain := range digest.Drains {
			t.recordDrain(drain.Upstream, drain.StartedAt, now.Add(-max(drain.Age, 0)), "reported by "+digest.VM)
		}
	}
	t.Drains.removeBefore(now.Add(-drainRetention))
	if len(t.Events.StreamUpdates) == 0 && !t.NewDrains {
		return // neither drains nor entries have changed
	}
	for _, drain := range t.Drains.Rows {
		a.applyDrain(t, drain)
	}
}

// applyDrain marks the upstream as draining if its entry is that of the process
// that announced its drain.
func (a *ApplyDrains) applyDrain(t *Tables, drain *DrainRow) {
	row := t.Upstreams.FindByHash(drain.Upstream)
	if row == nil || !row.StartedAt.Equal(drain.StartedAt) || row.announcedDrain() {
		return
	}
	row.DrainingProcess = drain.StartedAt
	if !row.Draining {
		t.RecordDecision(lentilmux.Decision{What: "upstream_leaving", Subject: row.ID, Reason: "drain announced, " + drain.Source})
	}
}

// recordDrain records an announcement that was seen at the given time.
func (t *Tables) recordDrain(upstream lentilmux.UpstreamHash, startedAt, seenAt time.Time, source string) {
	if drain := t.Drains.Find(upstream, startedAt); drain != nil {
		if seenAt.After(drain.SeenAt) {
			drain.SeenAt = seenAt
		}
		return
	}
	if startedAt.IsZero() || len(t.Drains.Rows) >= maxDrains {
		return
	}
	t.Drains.Put(&DrainRow{Upstream: upstream, StartedAt: startedAt, SeenAt: seenAt, Source: source})
	t.NewDrains = true
}

// announcedDrain reports whether the upstream's process announced its drain in an
// answer.
func (u *UpstreamRow) announcedDrain() bool {
	return !u.DrainingProcess.IsZero() && u.DrainingProcess.Equal(u.StartedAt)
}

// isDraining reports whether the upstream announced its drain, in its entry or in
// an answer.
func (u *UpstreamRow) isDraining() bool { return u.Draining || u.announcedDrain() }

// knownDrains returns the announced drains to tell peers of, the latest first if
// there are many.
func (t *Tables) knownDrains(now time.Time) (drains []lentilmux.UpstreamDrain) {
	for _, row := range t.Drains.Rows {
		if age := now.Sub(row.SeenAt); age < drainGossipDuration {
			drains = append(drains, lentilmux.UpstreamDrain{Upstream: row.Upstream, StartedAt: row.StartedAt, Age: age})
		}
	}
	if len(drains) > maxDrainsInDigest {
		slices.SortFunc(drains, func(a, b lentilmux.UpstreamDrain) int { return cmp.Compare(a.Age, b.Age) })
		drains = drains[:maxDrainsInDigest]
	}
	return drains
}
