package fleet

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/dispatch"
)

// MoveRequests moves requests in flight off dead upstreams: other upstreams take
// over the layers of the dead hop, and the remaining hops keep their KV cache.
// Requests for which no upstream has room are tried again whenever some may have
// become free, before new requests get it. More urgent requests are moved first. It reads
// Upstreams, PriorityShares and Events.MoveResults and writes Requests, Upstreams and CrossZoneBucket.
type MoveRequests struct {
	Admit *AdmitRequests
}

// Run implements [System].
func (m *MoveRequests) Run(t *Tables, now time.Time) {
	for _, msg := range t.Events.MoveResults {
		m.applyMoveResult(t, msg, now)
	}
	anyDead := m.anyDead(t)
	roomFreed := t.Events.mayFreeRoom()
	var movable []*RequestRow
	for _, request := range t.Requests.Rows {
		ready := request.Move == MoveIdle || request.Move == MoveBlocked && roomFreed
		if len(request.Hops) > 1 && ready && request.Moves < t.Limits.MaxMoves && (anyDead || len(request.LostHops) > 0) {
			movable = append(movable, request)
		}
	}
	for _, request := range m.Admit.orderMoves(t, t.withLostHops(movable), now) {
		m.moveRequest(t, request, now)
	}
}

func (m *MoveRequests) anyDead(t *Tables) bool {
	return slices.ContainsFunc(t.Upstreams.Rows, func(row *UpstreamRow) bool { return row.Dead })
}

// isDead reports whether an upstream is dead or no longer in the table.
func (t *Tables) isDead(id string) bool {
	row := t.Upstreams.Find(id)
	return row == nil || row.Dead
}

// isLost reports whether a hop of a request's path cannot continue it.
func (t *Tables) isLost(request *RequestRow, hop lentilmux.Hop) bool {
	return t.isDead(hop.Upstream) || slices.Contains(request.LostHops, hop.Upstream)
}

// withLostHops returns the requests that have lost a hop of their path.
func (t *Tables) withLostHops(requests []*RequestRow) []*RequestRow {
	return slices.DeleteFunc(requests, func(request *RequestRow) bool {
		return !slices.ContainsFunc(request.Hops, func(hop lentilmux.Hop) bool { return t.isLost(request, hop) })
	})
}

// moveRequest replaces all lost hops of a path at once. The first hop of the path
// cannot be replaced, since its connection carries the answer.
func (m *MoveRequests) moveRequest(t *Tables, request *RequestRow, now time.Time) {
	path, reservations := request.Hops, request.Reservations
	if t.isLost(request, path[0]) {
		return
	}
	for i := 1; i < len(path); i++ {
		if !t.isLost(request, path[i]) {
			continue
		}
		lost := path[i].Upstream
		var ok bool
		if path, reservations, ok = m.replaceHop(t, request, path, reservations, i, now); !ok {
			m.block(t, request, lost)
			return
		}
	}
	if !slices.Equal(path, request.Hops) {
		m.startMove(t, request, path, reservations)
	}
}

// block records that no upstream can take over from a lost hop at the moment.
func (m *MoveRequests) block(t *Tables, request *RequestRow, lost string) {
	if request.Move != MoveBlocked {
		request.Move = MoveBlocked
		t.RecordDecision(lentilmux.Decision{What: "move_blocked", Subject: string(request.ID), Chosen: lost, Reason: "no other upstream has the layers and free capacity"})
	}
}

// replaceHop replaces one hop of a path by upstreams that are not on the path. It
// prefers the availability zone of the previous hop. Upstreams of other zones are
// used as far as the bandwidth between zones allows, since the activations of all
// tokens so far have to cross.
func (m *MoveRequests) replaceHop(t *Tables, request *RequestRow, path []lentilmux.Hop, reservations []Reservation, lost int, now time.Time) (newPath []lentilmux.Hop, newReservations []Reservation, ok bool) {
	service := t.Rules.Service(request.Service)
	if service == nil || service.Engine == nil {
		return nil, nil, false
	}
	m.Admit.collectNodes(t, request.Service, now)
	for i, row := range m.Admit.rows {
		if slices.ContainsFunc(path, func(h lentilmux.Hop) bool { return h.Upstream == row.ID }) || slices.Contains(request.LostHops, row.ID) {
			m.Admit.nodes[i].Capacity = 0
		}
	}
	pathRequest := newPathRequest(t, request, service.Engine)
	pathRequest.Layers, pathRequest.HasPredecessor, pathRequest.SourceZone = path[lost].Layers, true, t.zoneIndex(path[lost-1].Upstream)
	hops, _, ok := m.Admit.selectPath(t, pathRequest, now)
	if !ok {
		return nil, nil, false
	}
	cacheTokens := dispatch.CacheTokens(pathRequest.PromptTokens, pathRequest.AnswerTokens)
	newPath, newReservations = slices.Clone(path[:lost]), slices.Clone(reservations[:lost])
	for _, hop := range hops {
		row := m.Admit.rows[hop.Node]
		newPath = append(newPath, lentilmux.Hop{Upstream: row.ID, Addr: row.Addr, Layers: hop.Layers})
		newReservations = append(newReservations, Reservation{Upstream: row.ID, Load: Load{Streams: 1, Reserved: cacheTokens * int64(hop.Layers.Len())}})
	}
	return append(newPath, path[lost+1:]...), append(newReservations, reservations[lost+1:]...), true
}

// zoneIndex returns the index of an upstream's availability zone, or of this
// VM's zone if the upstream is unknown.
func (t *Tables) zoneIndex(id string) int {
	if row := t.Upstreams.Find(id); row != nil {
		return t.Zones.Index(row.Zone)
	}
	return t.Zones.Index(t.Self.Zone)
}

// startMove requests the move and reserves capacity at the new upstreams.
func (m *MoveRequests) startMove(t *Tables, request *RequestRow, path []lentilmux.Hop, reservations []Reservation) {
	t.RecordDecision(lentilmux.Decision{What: "request_moved", Subject: string(request.ID), Chosen: formatPath(path), Reason: "from " + formatPath(request.Hops)})
	request.HopsBefore, request.HeldBefore = request.Hops, slices.Clone(request.Reservations)
	t.replacePath(request, path, reservations)
	request.Move = MoveInFlight
	request.Moves++
	t.AddEffect(lentilmux.MoveEffect{Request: request.ID, Epoch: request.Epoch, Path: path})
}

// replacePath replaces the path and the reservations of a request in flight.
func (t *Tables) replacePath(request *RequestRow, path []lentilmux.Hop, reservations []Reservation) {
	t.release(request)
	request.Hops, request.Reservations = path, reservations
	t.reserve(request)
}

// applyMoveResult applies the answer to a move. A refused request returns to its
// previous path, and is moved again if another upstream may take over. After any
// other failure it may be retried when its attempt is next reported as stalled.
func (m *MoveRequests) applyMoveResult(t *Tables, msg lentilmux.MoveResultMsg, now time.Time) {
	request := t.Requests.Find(msg.Request)
	if request != nil && request.Epoch != msg.Epoch {
		request.applyOlderMoveResult(msg)
	}
	if request == nil || request.Epoch != msg.Epoch || request.Move != MoveInFlight {
		return
	}
	request.Move = MoveIdle
	if msg.Answer.Outcome == lentilmux.MoveAccepted {
		return
	}
	t.RecordDecision(lentilmux.Decision{What: "move_refused", Subject: string(request.ID), Chosen: msg.Answer.Outcome.String(), Reason: describeMoveFailure(msg)})
	if msg.Answer.Outcome != lentilmux.MoveHopUnavailable {
		request.Move = MoveImpossible
		return
	}
	m.markUnavailable(t, request, msg.Answer.UnavailableHop, now)
	t.replacePath(request, request.HopsBefore, request.HeldBefore)
}

// applyOlderMoveResult applies the answer to a move of an attempt that races with a
// newer one. After any answer but an acceptance it is not moved again.
func (r *RequestRow) applyOlderMoveResult(msg lentilmux.MoveResultMsg) {
	for i := range r.Older {
		older := &r.Older[i]
		switch {
		case older.Epoch != msg.Epoch || older.Move != MoveInFlight:
		case msg.Answer.Outcome == lentilmux.MoveAccepted:
			older.Move = MoveIdle
		case msg.Answer.Outcome == lentilmux.MoveHopUnavailable:
			older.Move, older.Hops, older.Reservations = MoveImpossible, older.HopsBefore, older.HeldBefore
		default:
			older.Move = MoveImpossible
		}
	}
}

// markUnavailable handles a refusal that names a hop. A hop that the request ran
// on already is lost to it, so that the next move replaces it too, and is probed.
// A new hop gets no new requests for FullDuration; if the upstream named none,
// that holds for all new hops.
func (m *MoveRequests) markUnavailable(t *Tables, request *RequestRow, named netip.AddrPort, now time.Time) {
	for _, hop := range request.Hops {
		row := t.Upstreams.Find(hop.Upstream)
		isNew := !slices.Contains(request.HopsBefore, hop)
		switch {
		case row == nil || named.IsValid() && hop.Addr != named:
		case isNew:
			row.FullUntil = now.Add(t.Limits.FullDuration)
			t.RecordDecision(lentilmux.Decision{What: "upstream_full", Subject: row.ID, Chosen: t.Limits.FullDuration.String(), Reason: "could not take over request " + string(request.ID)})
		case named.IsValid():
			request.LostHops = append(request.LostHops, row.ID)
			t.markSuspected(row, now, "named by "+request.Hops[0].Upstream)
			t.probe(row, now)
		}
	}
}

// describeMoveFailure returns why a move failed.
func describeMoveFailure(msg lentilmux.MoveResultMsg) string {
	switch {
	case msg.Err != nil:
		return msg.Err.Error()
	case msg.Answer.UnavailableHop.IsValid():
		return fmt.Sprintf("status %d, unavailable hop %s", msg.Answer.Status, msg.Answer.UnavailableHop)
	default:
		return fmt.Sprintf("status %d", msg.Answer.Status)
	}
}
