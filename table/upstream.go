package table

import (
	"time"

	"lentilmux.example/lentilmux"
)

// Upstream is a configured upstream and its state as known to this node.
type Upstream struct {
	Spec lentilmux.UpstreamSpec

	Leaving         bool      // whether it is about to stop, by the three fields below
	ListedLeaving   bool      // according to the platform's list of VMs
	ReportedLeaving bool      // according to its own last load report
	PeerLeavingAt   time.Time // when a peer last reported that it is leaving
	EverListed      bool      // whether it was ever in the platform's list of VMs
	InFlight        int       // requests of this node
	PeerInFlight    int       // requests of peers, as last reported
	Trials          int       // requests of this node that run as a trial, since they are crash suspects

	Report          lentilmux.LoadReport
	ReportedAt      time.Time     // when Report was received
	RTT             time.Duration // moving average of the round-trip time of load fetches
	LoadRequestedAt time.Time     // of the last load fetch

	CrashedAt    time.Time // when a connection with work in flight last broke
	Failures     int       // since the last success
	EjectedAt    time.Time // zero unless it is ejected
	EjectedUntil time.Time // when it is probed again; zero unless it is ejected
	Ejections    int       // consecutive ejections, which lengthen the next one
	BusyUntil    time.Time // no new work until then, after it rejected work or lost a connection
	ReturnedAt   time.Time // end of the last ejection, when slow start began
	ProbedAt     time.Time // of the last probe
	Probing      bool      // whether a probe is in flight
	SilentSince  time.Time // start of its silence, by its probes and load reports; zero if its last probe or load report was answered

	Order     lentilmux.Order // layer range that the placement assigns
	OrderedAt time.Time       // when the order was last sent
}

// AcceptsWork reports whether new work may be sent to the upstream. An ejected
// upstream gets none until a probe succeeds.
func (u *Upstream) AcceptsWork(now time.Time) bool {
	return !u.Leaving && !u.Spec.Draining && u.EjectedUntil.IsZero() && !now.Before(u.BusyUntil)
}

// Upstreams is the table of [Upstream] rows.
type Upstreams struct {
	Rows  []Upstream
	index Index
}

// Find returns the row with the name, or nil.
func (t *Upstreams) Find(name string) *Upstream {
	row, ok := t.index.Find(name)
	if !ok {
		return nil
	}
	return &t.Rows[row]
}

// Put adds row, or replaces the row with the same key.
func (t *Upstreams) Put(row Upstream) *Upstream {
	if old := t.Find(row.Spec.Name); old != nil {
		*old = row
		return old
	}
	t.index.put(row.Spec.Name, len(t.Rows))
	t.Rows = append(t.Rows, row)
	return &t.Rows[len(t.Rows)-1]
}

// Remove removes the row with the name, if there is one.
func (t *Upstreams) Remove(name string) {
	row, ok := t.index.Find(name)
	if !ok {
		return
	}
	last := len(t.Rows) - 1
	moved := t.Rows[last]
	t.Rows[row] = moved
	t.Rows[last] = Upstream{}
	t.Rows = t.Rows[:last]
	t.index.remove(name, moved.Spec.Name)
}

// Row returns the row number of the upstream with the name, or false if there is
// none.
func (t *Upstreams) Row(name string) (row int, ok bool) {
	return t.index.Find(name)
}
