package fleet

import (
	"time"

	"lentilmux.example/lentilmux"
)

// RequestRow is a request in flight. Its newest attempt is embedded.
type RequestRow struct {
	lentilmux.InboundRequest
	AttemptState
	RunHistory
	Cost          RequestCost
	Parts         []lentilmux.PromptPart // its shared parts and, last, the one that stands for it alone
	Older         []AttemptState         // attempts in flight beside the newest, which races with them
	Route         *lentilmux.RouteRule
	Service       string
	Workspace     string
	Priority      int
	MaxMemoryUse  float64 // fraction of KV cache that may be in use on the path of its first attempt; 0 for no limit of its own
	Attempts      int     // attempts so far
	Confined      bool    // whether its newest attempt may go only to upstreams on which it may have run
	Delivered     int     // events that the caller had when the last attempt began
	Moves         int     // moves so far, also refused ones
	WaitedForPeer bool    // whether it waited in vain for a peer to apply the newest configuration
	Returning     bool    // whether its caller was refused for want of room before
	NeverFits     bool    // whether it was refused since it does not fit into idle upstreams either
	PeerRefusals  int     // peers that refused the request since they cannot serve any
}

// AttemptState is the state of one attempt of a request.
type AttemptState struct {
	Epoch             lentilmux.Epoch
	AnswerStarted     bool               // whether it has delivered an event
	RunCounted        bool               // whether PossibleRuns counts it already
	LastUpstream      string             // its first hop; empty if a peer selects it
	UpstreamStartedAt time.Time          // start of the process of LastUpstream, as known when it was sent
	Peer              string             // that it was forwarded to; empty for none
	PeerUpstreams     int                // upstreams on which the peer may run it
	AwaitedRules      lentilmux.Revision // version of the configuration that the peer needs, if its last digest named an older one; 0 otherwise
	Reservations      []Reservation
	Hops              []lentilmux.Hop // its path
	Move              MoveState
	HopsBefore        []lentilmux.Hop       // hops before the move in flight, which continues if the move is refused
	HeldBefore        []Reservation         // reservations of HopsBefore
	LostHops          []string              // upstreams of the path that cannot continue the request, although they may not be dead
	Events            *lentilmux.EventCount // delivered to the caller, of all attempts together; nil without a path
	EventGap          time.Duration         // expected time between two events; zero without a path
	SentAt            time.Time
	Promised          time.Duration  // expected time to its first event; zero without a path
	Elsewhere         bool           // whether its first hop must be another one than LastUpstream, which has not begun the request
	PartsAtSend       []PartEvidence // of the shared parts when it was sent; nil if none was suspected
	TrialUpstream     string         // its first hop if it is a trial which has not begun to answer; empty otherwise
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
	Cost     HopCost // as expected when the path was selected; zero after a move
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

// reserve adds the reservations of a request's newest attempt to the load of its
// upstreams.
func (t *Tables) reserve(request *RequestRow) { t.addLoad(request.Reservations, 1) }

// addLoad adds reservations to the load of their upstreams, or subtracts them if
// sign is -1.
func (t *Tables) addLoad(reservations []Reservation, sign int) {
	for _, reservation := range reservations {
		if row := t.Upstreams.Find(reservation.Upstream); row != nil {
			row.OwnLoad.add(reservation.Load, sign)
		}
	}
}

// release removes the reservations of a request's newest attempt from the load of
// its upstreams.
func (t *Tables) release(request *RequestRow) {
	t.addLoad(request.Reservations, -1)
	request.Reservations = request.Reservations[:0]
	t.endTrial(request)
}

// endAttempt ends a request's newest attempt: it holds no reservations, and no path
// that could be moved.
func (t *Tables) endAttempt(request *RequestRow) {
	t.release(request)
	request.Hops, request.HopsBefore, request.HeldBefore, request.LostHops = nil, nil, nil, nil
	request.Move = MoveIdle
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
