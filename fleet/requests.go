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
	Rows      []*RequestRow
	indexByID map[lentilmux.RequestID]int
}

// Find returns a request's row, or nil.
func (r *Requests) Find(id lentilmux.RequestID) *RequestRow {
	if i, ok := r.indexByID[id]; ok {
		return r.Rows[i]
	}
	return nil
}

// Put adds a request.
func (r *Requests) Put(row *RequestRow) {
	if r.indexByID == nil {
		r.indexByID = make(map[lentilmux.RequestID]int)
	}
	r.indexByID[row.ID] = len(r.Rows)
	r.Rows = append(r.Rows, row)
}

// Remove drops a request.
func (r *Requests) Remove(id lentilmux.RequestID) {
	i, ok := r.indexByID[id]
	if !ok {
		return
	}
	last := len(r.Rows) - 1
	r.Rows[i] = r.Rows[last]
	r.indexByID[r.Rows[i].ID] = i
	r.Rows[last] = nil
	r.Rows = r.Rows[:last]
	delete(r.indexByID, id)
}

// reserve counts a leg's parts at their upstreams.
func (t *Tables) reserve(request *RequestRow) {
	for _, reservation := range request.Reservations {
		if row := t.Upstreams.Find(reservation.Upstream); row != nil {
			row.OwnLoad.add(reservation.Load, 1)
		}
	}
}

// release takes a leg's parts off their upstreams.
func (t *Tables) release(request *RequestRow) {
	for _, reservation := range request.Reservations {
		if row := t.Upstreams.Find(reservation.Upstream); row != nil {
			row.OwnLoad.add(reservation.Load, -1)
		}
	}
	request.Reservations = request.Reservations[:0]
}

// markAnswerStarted notes that a leg's prompt has been read.
func (t *Tables) markAnswerStarted(request *RequestRow) {
	request.AnswerStarted = true
	for i := range request.Reservations {
		reservation := &request.Reservations[i]
		if row := t.Upstreams.Find(reservation.Upstream); row != nil {
			row.OwnLoad.add(Load{PendingPromptTokens: reservation.Load.PendingPromptTokens}, -1)
		}
		reservation.Load.PendingPromptTokens = 0
	}
}
