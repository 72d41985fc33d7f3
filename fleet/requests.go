package fleet

import (
	"time"

	"lentilmux.example/lentilmux"
)

// RequestRow is a request under way.
type RequestRow struct {
	lentilmux.InboundRequest
	Route         *lentilmux.RouteRule
	Service       string
	Workspace     string
	Priority      int
	Epoch         lentilmux.Epoch
	Attempts      int    // legs so far
	PossibleRuns  int    // legs that may have run the request
	MayHaveRun    bool   // whether any may have
	AnswerStarted bool   // whether the leg has given an event
	LastUpstream  string // upstream of the last leg
	Delivered     int    // events that the caller had when the last leg began
	Reservations  []Reservation
	Path          []lentilmux.Hop
	Moving        bool // whether a move to another path is under way
	MoveRefused   bool // whether a move was refused
	Moves         int
	SentAt        time.Time
}

// Reservation is what a request holds at one upstream.
type Reservation struct {
	Upstream string
	Load     Load
}

// Requests is the table of requests under way.
type Requests struct {
	Rows  []*RequestRow
	index map[lentilmux.RequestID]int
}

// Find returns a request's row, or nil.
func (f *Requests) Find(id lentilmux.RequestID) *RequestRow {
	if i, ok := f.index[id]; ok {
		return f.Rows[i]
	}
	return nil
}

// Put adds a request.
func (f *Requests) Put(row *RequestRow) {
	if f.index == nil {
		f.index = make(map[lentilmux.RequestID]int)
	}
	f.index[row.ID] = len(f.Rows)
	f.Rows = append(f.Rows, row)
}

// Remove drops a request.
func (f *Requests) Remove(id lentilmux.RequestID) {
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
func (t *Tables) hold(f *RequestRow) {
	for _, part := range f.Reservations {
		if row := t.Upstreams.Find(part.Upstream); row != nil {
			row.OwnLoad.add(part.Load, 1)
		}
	}
}

// release takes a leg's parts off their upstreams.
func (t *Tables) release(f *RequestRow) {
	for _, part := range f.Reservations {
		if row := t.Upstreams.Find(part.Upstream); row != nil {
			row.OwnLoad.add(part.Load, -1)
		}
	}
	f.Reservations = f.Reservations[:0]
}

// begun notes that a leg's prompt has been read.
func (t *Tables) begun(f *RequestRow) {
	f.AnswerStarted = true
	for i := range f.Reservations {
		part := &f.Reservations[i]
		if row := t.Upstreams.Find(part.Upstream); row != nil {
			row.OwnLoad.add(Load{PendingPromptTokens: part.Load.PendingPromptTokens}, -1)
		}
		part.Load.PendingPromptTokens = 0
	}
}
