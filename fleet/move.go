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
// become free, before new requests get it. It reads Upstreams and
// Events.MoveResults and writes Requests, Upstreams and CrossZoneBucket.
type MoveRequests struct {
	Admit *AdmitRequests
}

// Run implements [System].
func (m *MoveRequests) Run(t *Tables, now time.Time) {
	for _, msg := range t.Events.MoveResults {
		m.applyMoveResult(t, msg, now)
	}
	if !m.anyDead(t) {
		return
	}
	roomFreed := t.Events.mayFreeRoom()
	for _, request := range t.Requests.Rows {
		ready := request.Move == MoveIdle || request.Move == MoveBlocked && roomFreed
		if len(request.Path) > 1 && ready && request.Moves < t.Limits.MaxMoves {
			m.moveRequest(t, request, now)
		}
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

// moveRequest replaces the first dead hop of a path. The first hop of the path
// cannot be replaced, since its connection carries the answer.
func (m *MoveRequests) moveRequest(t *Tables, request *RequestRow, now time.Time) {
	if t.isDead(request.Path[0].Upstream) {
		return
	}
	for i := 1; i < len(request.Path); i++ {
		if !t.isDead(request.Path[i].Upstream) {
			continue
		}
		path, reservations, ok := m.replaceHop(t, request, i, now)
		if ok {
			m.startMove(t, request, path, reservations)
			return
		}
		if request.Move != MoveBlocked {
			request.Move = MoveBlocked
			t.RecordDecision(lentilmux.Decision{What: "move_blocked", Subject: string(request.ID), Chosen: request.Path[i].Upstream, Reason: "no other upstream has the layers and free capacity"})
		}
		return
	}
}

// replaceHop replaces one hop of a path by upstreams that are not on the path. It
// prefers the availability zone of the previous hop. Upstreams of other zones are
// used as far as the bandwidth between zones allows, since the activations of all
// tokens so far have to cross.
func (m *MoveRequests) replaceHop(t *Tables, request *RequestRow, deadHop int, now time.Time) (path []lentilmux.Hop, reservations []Reservation, ok bool) {
	service := t.Rules.Service(request.Service)
	if service == nil || service.Engine == nil {
		return nil, nil, false
	}
	m.Admit.collectNodes(t, request.Service, now)
	zone := t.zoneIndex(request.Path[deadHop-1].Upstream)
	for i, row := range m.Admit.rows {
		if slices.ContainsFunc(request.Path, func(h lentilmux.Hop) bool { return h.Upstream == row.ID }) {
			m.Admit.nodes[i].Capacity = 0
		}
	}
	pathRequest := newPathRequest(t, request, service.Engine)
	pathRequest.Layers, pathRequest.HasPredecessor, pathRequest.SourceZone = request.Path[deadHop].Layers, true, zone
	hops, _, ok := m.Admit.selectPath(t, pathRequest, now)
	if !ok {
		return nil, nil, false
	}
	cacheTokens := dispatch.CacheTokens(pathRequest.PromptTokens, pathRequest.AnswerTokens)
	path = slices.Clone(request.Path[:deadHop])
	reservations = slices.Clone(request.Reservations[:deadHop])
	for _, hop := range hops {
		row := m.Admit.rows[hop.Node]
		path = append(path, lentilmux.Hop{Upstream: row.ID, Addr: row.Addr, Layers: hop.Layers})
		reservations = append(reservations, Reservation{Upstream: row.ID, Load: Load{Streams: 1, Reserved: cacheTokens * int64(hop.Layers.Len())}})
	}
	return append(path, request.Path[deadHop+1:]...), append(reservations, request.Reservations[deadHop+1:]...), true
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
	t.RecordDecision(lentilmux.Decision{What: "request_moved", Subject: string(request.ID), Chosen: formatPath(path), Reason: "from " + formatPath(request.Path)})
	request.PathBefore, request.HeldBefore = request.Path, slices.Clone(request.Reservations)
	t.replacePath(request, path, reservations)
	request.Move = MoveInFlight
	request.Moves++
	t.AddEffect(lentilmux.MoveEffect{Request: request.ID, Epoch: request.Epoch, Path: path})
}

// replacePath replaces the path and the reservations of a request in flight.
func (t *Tables) replacePath(request *RequestRow, path []lentilmux.Hop, reservations []Reservation) {
	t.release(request)
	request.Path, request.Reservations = path, reservations
	t.reserve(request)
}

// applyMoveResult applies the answer to a move. A refused request returns to its
// previous path, and is moved again if another upstream may take over. After any
// other failure it may be retried when its attempt is next reported as stalled.
func (m *MoveRequests) applyMoveResult(t *Tables, msg lentilmux.MoveResultMsg, now time.Time) {
	request := t.Requests.Find(msg.Request)
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
	t.replacePath(request, request.PathBefore, request.HeldBefore)
}

// markUnavailable keeps new requests for FullDuration from the hop that could not
// take over a request, or from all new hops of its path if the upstream did not
// name one.
func (m *MoveRequests) markUnavailable(t *Tables, request *RequestRow, named netip.AddrPort, now time.Time) {
	for _, hop := range request.Path {
		isNew := !slices.Contains(request.PathBefore, hop)
		if row := t.Upstreams.Find(hop.Upstream); row != nil && (hop.Addr == named || !named.IsValid() && isNew) {
			row.FullUntil = now.Add(t.Limits.FullDuration)
			t.RecordDecision(lentilmux.Decision{What: "upstream_full", Subject: row.ID, Chosen: t.Limits.FullDuration.String(), Reason: "could not take over request " + string(request.ID)})
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
