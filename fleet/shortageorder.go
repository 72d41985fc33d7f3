package fleet

import (
	"slices"
	"time"

	"lentilmux.example/lentilmux"
)

// rankedRow is a row that competes for capacity, by its position in a list.
type rankedRow struct {
	index int
	lentilmux.ShortageRequest
}

// shortageRequest returns what the shortage policy needs to know of a request.
func (t *Tables) shortageRequest(service string, priority int, returning bool, since, now time.Time) lentilmux.ShortageRequest {
	return lentilmux.ShortageRequest{Priority: priority, Returning: returning, Since: since, ServedShare: t.PriorityShares.Share(service, priority, now)}
}

// order sorts rows by the shortage policy. Rows that it does not distinguish keep their
// order.
func (a *AdmitRequests) order(rows []rankedRow) {
	slices.SortStableFunc(rows, func(x, y rankedRow) int { return a.Shortage.Compare(x.ShortageRequest, y.ShortageRequest) })
}

// orderPending sorts requests that wait for their first attempt, or have just arrived, if
// some of them return, or are to services whose requests differ in priority.
func (a *AdmitRequests) orderPending(t *Tables, rows []PendingRow, now time.Time) []PendingRow {
	if len(rows) < 2 {
		return rows
	}
	ranked, ranks := make([]rankedRow, 0, len(rows)), false
	for i := range rows {
		request, ok := t.rankPending(&rows[i], now)
		ranks = ranks || ok
		ranked = append(ranked, rankedRow{index: i, ShortageRequest: request})
	}
	if !ranks {
		return rows
	}
	a.order(ranked)
	ordered := make([]PendingRow, 0, len(rows))
	for _, row := range ranked {
		ordered = append(ordered, rows[row.index])
	}
	return ordered
}

// rankPending returns what the shortage policy needs to know of a request that was not
// sent yet. It returns ok false if nothing puts it before others of its service: neither
// priorities that differ nor a return.
func (t *Tables) rankPending(row *PendingRow, now time.Time) (request lentilmux.ShortageRequest, ok bool) {
	request = lentilmux.ShortageRequest{Since: row.Inbound.ReceivedAt, ServedShare: 1}
	route := t.Rules.Route(row.Inbound.Host, row.Inbound.Path)
	if route == nil {
		return request, false
	}
	service := selectService(route, lentilmux.ComputeFingerprint(string(row.Inbound.ID)))
	returning := row.Returning || t.hasLayers(service) && t.RefusedRequests.Expects(row.Inbound.Fingerprint, now)
	return t.shortageRequest(service, t.Rules.priority(route, &row.Inbound), returning, request.Since, now), returning || t.Rules.ranksRequests(service)
}

// orderResumeWaits sorts streams that wait for another attempt, if callers of some of them
// returned, or some are of services whose requests differ in priority.
func (a *AdmitRequests) orderResumeWaits(t *Tables, rows []ResumeWaitRow, now time.Time) []ResumeWaitRow {
	ranked, ranks := make([]rankedRow, 0, len(rows)), false
	for i := range rows {
		if request := t.Requests.Find(rows[i].Request); request != nil {
			ranks = ranks || request.Returning || t.Rules.ranksRequests(request.Service)
			ranked = append(ranked, rankedRow{index: i, ShortageRequest: t.shortageRequest(request.Service, request.Priority, request.Returning, rows[i].Since, now)})
		}
	}
	if !ranks {
		return rows
	}
	a.order(ranked)
	ordered := make([]ResumeWaitRow, 0, len(ranked))
	for _, row := range ranked {
		ordered = append(ordered, rows[row.index])
	}
	return ordered
}

// orderMoves sorts requests that have to be moved, if callers of some of them returned, or
// some are to services whose requests differ in priority.
func (a *AdmitRequests) orderMoves(t *Tables, requests []*RequestRow, now time.Time) []*RequestRow {
	ranked, ranks := make([]rankedRow, 0, len(requests)), false
	for i, request := range requests {
		ranks = ranks || request.Returning || t.Rules.ranksRequests(request.Service)
		ranked = append(ranked, rankedRow{index: i, ShortageRequest: t.shortageRequest(request.Service, request.Priority, request.Returning, request.ReceivedAt, now)})
	}
	if !ranks {
		return requests
	}
	a.order(ranked)
	ordered := make([]*RequestRow, 0, len(requests))
	for _, row := range ranked {
		ordered = append(ordered, requests[row.index])
	}
	return ordered
}

// countDecided counts a request that was served or refused for want of room, for the
// share of its priority and for metrics. One that does not fit into idle upstreams either says nothing of
// the share.
func (t *Tables) countDecided(request *RequestRow, served bool, now time.Time) {
	if request.NeverFits || !t.hasLayers(request.Service) {
		return
	}
	t.AddEffect(lentilmux.RoomDecisionEffect{Priority: t.Rules.upstreamPriority(request.Service, request.Priority), Served: served, Returning: request.Returning})
	if t.Rules.ranksRequests(request.Service) {
		t.PriorityShares.record(request.Service, request.Priority, served, now)
	}
}
