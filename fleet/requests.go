package fleet

import (
	"time"

	"lentilmux.example/lentilmux"
)

// RequestRow is a request in flight.
type RequestRow struct {
	lentilmux.InboundRequest
	Route         *lentilmux.RouteRule
	Service       string
	Workspace     string
	Priority      int
	Epoch         lentilmux.Epoch
	Attempts      int    // attempts so far
	PossibleRuns  int    // attempts that may have run the request
	MayHaveRun    bool   // whether any attempt may have run the request
	AnswerStarted bool   // whether the current attempt has delivered an event
	LastUpstream  string // first hop of the last attempt
	Delivered     int    // events that the caller had when the last attempt began
	Reservations  []Reservation
	Path          []lentilmux.Hop
	Move          MoveState
	Moves         int             // moves so far, also refused ones
	PathBefore    []lentilmux.Hop // path before the move in flight, which continues if the move is refused
	HeldBefore    []Reservation   // reservations of PathBefore
	LostHops      []string        // upstreams of the path that cannot continue the request, although they may not be dead
	SentAt        time.Time       // when the last attempt was sent
	PartsAtSend   []PartEvidence  // of the shared parts when the last attempt was sent; nil if none was suspected
	TrialUpstream string          // first hop of the last attempt if that is a trial which has not begun to answer; empty otherwise
}

// MoveState says whether the current attempt of a request can be moved.
type MoveState int

// The move states.
const (
	// MoveIdle means that the request was not moved, or that its last move ended.
	MoveIdle MoveState = iota
	// MoveInFlight means that a move awaits its answer.
	MoveInFlight
	// MoveBlocked means that no other upstream can take over. It is tried again.
	MoveBlocked
	// MoveImpossible means that the attempt cannot be moved any more.
	MoveImpossible
)

// Reservation is the capacity that a request holds at one upstream.
type Reservation struct {
	Upstream string
	Load     Load
}

// Requests is the table of requests in flight.
type Requests struct {
	Rows      []*RequestRow
	indexByID map[lentilmux.RequestID]int
}

// Find returns a request's row, or nil if the request is not in flight.
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

// Remove removes a request.
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

// reserve adds the reservations of a request to the load of its upstreams.
func (t *Tables) reserve(request *RequestRow) {
	for _, reservation := range request.Reservations {
		if row := t.Upstreams.Find(reservation.Upstream); row != nil {
			row.OwnLoad.add(reservation.Load, 1)
		}
	}
}

// release removes the reservations of a request from the load of its upstreams.
func (t *Tables) release(request *RequestRow) {
	for _, reservation := range request.Reservations {
		if row := t.Upstreams.Find(reservation.Upstream); row != nil {
			row.OwnLoad.add(reservation.Load, -1)
		}
	}
	request.Reservations = request.Reservations[:0]
	t.endTrial(request)
}

// markAnswerStarted records that an attempt's prefill is complete and its answer
// has begun.
func (t *Tables) markAnswerStarted(request *RequestRow) {
	request.AnswerStarted = true
	t.endTrial(request)
	for i := range request.Reservations {
		reservation := &request.Reservations[i]
		if row := t.Upstreams.Find(reservation.Upstream); row != nil {
			row.OwnLoad.add(Load{PendingPromptTokens: reservation.Load.PendingPromptTokens}, -1)
		}
		reservation.Load.PendingPromptTokens = 0
	}
}
