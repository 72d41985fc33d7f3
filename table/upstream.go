package table

import (
	"time"

	"lentilmux.example/lentilmux"
)

// Upstream is a configured upstream and what the node knows of its state.
type Upstream struct {
	Spec lentilmux.UpstreamSpec

	Leaving         bool      // by evidence that is fresh
	ListedLeaving   bool      // what the list said last
	ReportedLeaving bool      // what it said of itself last
	PeerLeavingAt   time.Time // last evidence from a peer
	Listed          bool      // whether the list ever named it
	InFlight        int       // own requests
	PeerInFlight    int       // other VMs' requests, as last heard
	Trials          int       // own requests that run as a trial

	Report          lentilmux.LoadReport
	ReportedAt      time.Time
	RTT             time.Duration // of the calls for reports, averaged
	LoadRequestedAt time.Time

	CrashedAt    time.Time // when a connection with work on it last broke
	Failures     int       // since the last success
	EjectedAt    time.Time
	EjectedUntil time.Time
	Ejections    int
	BusyUntil    time.Time // after it turned work away
	ReturnedAt   time.Time // when it last came back from an ejection
	ProbedAt     time.Time
	Probing      bool

	Order     lentilmux.Order // desired by the placement
	OrderedAt time.Time
}

// AcceptsWork reports whether the upstream may take new work. An ejected one may not
// until a probe finds it alive.
func (u *Upstream) AcceptsWork(now time.Time) bool {
	return !u.Leaving && !u.Spec.Draining && u.EjectedUntil.IsZero() && !now.Before(u.BusyUntil)
}

// Upstreams is the table of [Upstream] rows.
type Upstreams struct {
	Rows  []Upstream
	index Index
}

// Find returns the row of name, or nil.
func (t *Upstreams) Find(name string) *Upstream {
	row, ok := t.index.Find(name)
	if !ok {
		return nil
	}
	return &t.Rows[row]
}

// Put adds the row, or replaces the one with the same key.
func (t *Upstreams) Put(row Upstream) *Upstream {
	if old := t.Find(row.Spec.Name); old != nil {
		*old = row
		return old
	}
	t.index.put(row.Spec.Name, len(t.Rows))
	t.Rows = append(t.Rows, row)
	return &t.Rows[len(t.Rows)-1]
}

// Remove removes the row of name, if there is one.
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

// Row returns the row number of name.
func (t *Upstreams) Row(name string) (row int, ok bool) {
	return t.index.Find(name)
}
