package fleet

import (
	"time"

	"lentilmux.example/lentilmux"
)

// FlightRow is a request under way.
type FlightRow struct {
	lentilmux.Inbound
	Route     *lentilmux.RouteRule
	Service   string
	Workspace string
	Priority  int
	Epoch     lentilmux.Epoch
	Sends     int    // legs so far
	Runs      int    // legs that may have run the request
	Ran       bool   // whether any may have
	Begun     bool   // whether the leg has given an event
	Last      string // upstream of the last leg
	Delivered int    // events that the caller had when the last leg began
	Parts     []FlightPart
	Path      []lentilmux.Hop
	Moving    bool // whether a move to another path is under way
	Stuck     bool // whether a move was refused
	Moves     int
	SentAt    time.Time
}

// FlightPart is what a request holds at one upstream.
type FlightPart struct {
	Upstream string
	Load     Load
}

// Flights is the table of requests under way.
type Flights struct {
	Rows  []*FlightRow
	index map[lentilmux.RequestID]int
}

// Find returns a request's row, or nil.
func (f *Flights) Find(id lentilmux.RequestID) *FlightRow {
	if i, ok := f.index[id]; ok {
		return f.Rows[i]
	}
	return nil
}

// Put adds a request.
func (f *Flights) Put(row *FlightRow) {
	if f.index == nil {
		f.index = make(map[lentilmux.RequestID]int)
	}
	f.index[row.ID] = len(f.Rows)
	f.Rows = append(f.Rows, row)
}

// Remove drops a request.
func (f *Flights) Remove(id lentilmux.RequestID) {
	i, ok := f.index[id]
	if !ok {
		return
	}
	last := len(f.Rows) - 1
	f.Rows[i] = f.Rows[last]
	f.index[f.Rows[i].ID] = i
	f.Rows[last] = nil
	f.Rows = f.Rows[:last]
	delete(f.index, id)
}

// hold counts a leg's parts at their upstreams.
func (t *Tables) hold(f *FlightRow) {
	for _, part := range f.Parts {
		if row := t.Members.Find(part.Upstream); row != nil {
			row.Own.add(part.Load, 1)
		}
	}
}

// release takes a leg's parts off their upstreams.
func (t *Tables) release(f *FlightRow) {
	for _, part := range f.Parts {
		if row := t.Members.Find(part.Upstream); row != nil {
			row.Own.add(part.Load, -1)
		}
	}
	f.Parts = f.Parts[:0]
}

// begun notes that a leg's prompt has been read.
func (t *Tables) begun(f *FlightRow) {
	f.Begun = true
	for i := range f.Parts {
		part := &f.Parts[i]
		if row := t.Members.Find(part.Upstream); row != nil {
			row.Own.add(Load{Waiting: part.Load.Waiting}, -1)
		}
		part.Load.Waiting = 0
	}
}
