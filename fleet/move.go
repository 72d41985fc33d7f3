package fleet

import (
	"fmt"
	"slices"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/dispatch"
)

// MoveRequests takes requests off upstreams that died: another upstream runs the lost
// layers, all others of the path keep what they have. It reads Members and
// Events.Moved and writes Flights.
type MoveRequests struct {
	Admit *AdmitRequests
}

// Run implements [System].
func (m *MoveRequests) Run(t *Tables, now time.Time) {
	for _, msg := range t.Events.MoveResults {
		m.moved(t, msg)
	}
	if !m.anyDead(t) {
		return
	}
	for _, flight := range t.Requests.Rows {
		if len(flight.Path) > 1 && !flight.Moving && !flight.MoveRefused && flight.Moves < t.Limits.MaxMoves {
			m.flight(t, flight, now)
		}
	}
}

func (m *MoveRequests) anyDead(t *Tables) bool {
	return slices.ContainsFunc(t.Upstreams.Rows, func(row *UpstreamRow) bool { return row.Dead })
}

// dead reports whether an upstream of a path is lost.
func (t *Tables) dead(id string) bool {
	row := t.Upstreams.Find(id)
	return row == nil || row.Dead
}

// flight moves a request off the first dead upstream of its path but its first,
// whose connection carries the answer.
func (m *MoveRequests) flight(t *Tables, flight *RequestRow, now time.Time) {
	if t.dead(flight.Path[0].Upstream) {
		return
	}
	for i := 1; i < len(flight.Path); i++ {
		if !t.dead(flight.Path[i].Upstream) {
			continue
		}
		path, parts, ok := m.detour(t, flight, i, now)
		if !ok {
			flight.MoveRefused = true
			t.RecordDecision(lentilmux.Decision{What: "move_refused", Subject: string(flight.ID), Chosen: flight.Path[i].Upstream, Reason: "nobody of the zone has its layers and room"})
			return
		}
		m.order(t, flight, path, parts)
		return
	}
}

// detour replaces one hop of a path by others of the same availability zone
// that are not on it. What was read so far would have to cross to another zone,
// which takes longer than to read it there from the beginning.
func (m *MoveRequests) detour(t *Tables, flight *RequestRow, lost int, now time.Time) (path []lentilmux.Hop, parts []Reservation, ok bool) {
	service := t.Rules.Service(flight.Service)
	if service == nil || service.Engine == nil {
		return nil, nil, false
	}
	m.Admit.gather(t, flight.Service, now)
	zone := t.zoneOf(flight.Path[lost-1].Upstream)
	for i, row := range m.Admit.rows {
		if m.Admit.nodes[i].Zone != zone || slices.ContainsFunc(flight.Path, func(h lentilmux.Hop) bool { return h.Upstream == row.ID }) {
			m.Admit.nodes[i].Capacity = 0
		}
	}
	ask := lentilmux.PathRequest{
		Model: service.Engine, Layers: flight.Path[lost].Layers, HasPredecessor: true, SourceZone: zone,
		PromptTokens: flight.PromptTokens, AnswerTokens: expected(flight, service.Engine),
	}
	chosen, _, ok := m.Admit.PathSelector.Choose(ask, m.Admit.nodes, nil)
	if !ok {
		return nil, nil, false
	}
	memory := dispatch.CacheTokens(ask.PromptTokens, ask.AnswerTokens)
	path = slices.Clone(flight.Path[:lost])
	parts = slices.Clone(flight.Reservations[:lost])
	for _, part := range chosen {
		row := m.Admit.rows[part.Node]
		path = append(path, lentilmux.Hop{Upstream: row.ID, Addr: row.Addr, Layers: part.Layers})
		parts = append(parts, Reservation{Upstream: row.ID, Load: Load{Streams: 1, Reserved: memory * int64(part.Layers.Len())}})
	}
	return append(path, flight.Path[lost+1:]...), append(parts, flight.Reservations[lost+1:]...), true
}

// zoneOf returns the index of an upstream's availability zone.
func (t *Tables) zoneOf(id string) int {
	if row := t.Upstreams.Find(id); row != nil {
		return t.Zones.Index(row.Zone)
	}
	return t.Zones.Index(t.Self.Zone)
}

// order asks for the move and counts the request at its new upstreams.
func (m *MoveRequests) order(t *Tables, flight *RequestRow, path []lentilmux.Hop, parts []Reservation) {
	t.RecordDecision(lentilmux.Decision{What: "request_moved", Subject: string(flight.ID), Chosen: pathText(path), Reason: "from " + pathText(flight.Path)})
	t.release(flight)
	flight.Path, flight.Reservations = path, parts
	t.hold(flight)
	flight.Moving = true
	flight.Moves++
	t.AddEffect(lentilmux.MoveEffect{Request: flight.ID, Epoch: flight.Epoch, Path: path})
}

// moved takes the answer to a move. A request that was not moved may be sent
// again when its silence is reported.
func (m *MoveRequests) moved(t *Tables, msg lentilmux.MoveResultMsg) {
	flight := t.Requests.Find(msg.Request)
	if flight == nil || flight.Epoch != msg.Epoch {
		return
	}
	flight.Moving = false
	if !msg.Accepted {
		flight.MoveRefused = true
		t.RecordDecision(lentilmux.Decision{What: "move_refused", Subject: string(flight.ID), Reason: fmt.Sprint(msg.Err)})
	}
}
