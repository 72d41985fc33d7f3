package fleet

import (
	"fmt"
	"slices"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/dispatch"
)

// MoveRequests moves requests in flight off dead upstreams: other upstreams take
// over the layers of the dead hop, and the remaining hops keep their KV cache.
// It reads Upstreams and Events.MoveResults and writes Requests and Upstreams.
type MoveRequests struct {
	Admit *AdmitRequests
}

// Run implements [System].
func (m *MoveRequests) Run(t *Tables, now time.Time) {
	for _, msg := range t.Events.MoveResults {
		m.applyMoveResult(t, msg)
	}
	if !m.anyDead(t) {
		return
	}
	for _, request := range t.Requests.Rows {
		if len(request.Path) > 1 && !request.Moving && !request.MoveRefused && request.Moves < t.Limits.MaxMoves {
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
		if !ok {
			request.MoveRefused = true
			t.RecordDecision(lentilmux.Decision{What: "move_refused", Subject: string(request.ID), Chosen: request.Path[i].Upstream, Reason: "no other upstream in the zone has the layers and free capacity"})
			return
		}
		m.startMove(t, request, path, reservations)
		return
	}
}

// replaceHop replaces one hop of a path by upstreams of the same availability
// zone that are not on the path. Other zones are excluded: transferring the
// activations so far across zones takes longer than a new prefill there.
func (m *MoveRequests) replaceHop(t *Tables, request *RequestRow, deadHop int, now time.Time) (path []lentilmux.Hop, reservations []Reservation, ok bool) {
	service := t.Rules.Service(request.Service)
	if service == nil || service.Engine == nil {
		return nil, nil, false
	}
	m.Admit.collectNodes(t, request.Service, now)
	zone := t.zoneIndex(request.Path[deadHop-1].Upstream)
	for i, row := range m.Admit.rows {
		if m.Admit.nodes[i].Zone != zone || slices.ContainsFunc(request.Path, func(h lentilmux.Hop) bool { return h.Upstream == row.ID }) {
			m.Admit.nodes[i].Capacity = 0
		}
	}
	pathRequest := lentilmux.PathRequest{
		Model: service.Engine, Layers: request.Path[deadHop].Layers, HasPredecessor: true, SourceZone: zone,
		PromptTokens: request.PromptTokens, AnswerTokens: expectedAnswerTokens(request, service.Engine),
	}
	hops, _, ok := m.Admit.PathSelector.Choose(pathRequest, m.Admit.nodes, nil)
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
	t.release(request)
	request.Path, request.Reservations = path, reservations
	t.reserve(request)
	request.Moving = true
	request.Moves++
	t.AddEffect(lentilmux.MoveEffect{Request: request.ID, Epoch: request.Epoch, Path: path})
}

// applyMoveResult applies the answer to a move. If the move failed, the request
// may be retried when its attempt is next reported as stalled.
func (m *MoveRequests) applyMoveResult(t *Tables, msg lentilmux.MoveResultMsg) {
	request := t.Requests.Find(msg.Request)
	if request == nil || request.Epoch != msg.Epoch {
		return
	}
	request.Moving = false
	if !msg.Accepted {
		request.MoveRefused = true
		t.RecordDecision(lentilmux.Decision{What: "move_refused", Subject: string(request.ID), Reason: fmt.Sprint(msg.Err)})
	}
}
