package fleet

import (
	"time"

	"lentilmux.example/lentilmux"
)

// PendingRow is a request that waits before its first attempt.
type PendingRow struct {
	ArrivalRow
	Until         time.Time     // latest time at which the request is admitted or refused
	RetryAt       time.Time     // when a back-off ends that all upstreams are in; zero if they are not
	ForRoom       bool          // whether it waits for room at the upstreams, and not for the first reads of the store
	ForPeer       bool          // whether it waits for a peer to apply the newest configuration
	Service       string        // if it waits for room
	Priority      int           // the same
	DeferredUntil time.Time     // when the shortage ends because of which it leaves room to others; zero if it does not
	DeferredFor   int           // priority of these others
	FirstEvent    time.Duration // expected time to its first event on idle upstreams, if it waits for room
	Returning     bool          // whether its caller was refused for want of room before
	Admitted      bool          // whether its route and key were checked and the request was counted
}

// hasFirstReads reports whether configuration and upstreams have been read since
// the start.
func (t *Tables) hasFirstReads() bool {
	return t.Rules.Loaded && !t.Streams.Upstreams.AsOf.IsZero()
}

// holdPending queues a request that arrives before the first reads. A refusal
// would keep the caller away for longer than the reads take. The request waits
// until MaxPendingDuration after the start, but at most for half the time to its
// deadline.
func (a *AdmitRequests) holdPending(t *Tables, arrival ArrivalRow, now time.Time) (pending bool) {
	until := earliest(t.Self.Started.Add(t.Limits.MaxPendingDuration), now.Add(arrival.Inbound.Deadline.Sub(now)/2))
	if t.hasFirstReads() || !now.Before(until) {
		return false
	}
	t.Pending = append(t.Pending, PendingRow{ArrivalRow: arrival, Until: until})
	t.WakeAt(until)
	return true
}

// takeReadyPending returns the queued requests to decide on, oldest first: those that
// wait for the first reads once these are done, those that wait for room whenever some
// may have become free, and all of them when their wait is over. The others stay queued.
func (a *AdmitRequests) takeReadyPending(t *Tables, now time.Time) (readyRows []PendingRow) {
	if len(t.Pending) == 0 {
		return nil
	}
	rows := t.Pending
	t.Pending = nil
	roomFreed := t.Events.mayFreeRoom()
	for _, row := range rows {
		ready := t.hasFirstReads()
		if row.ForRoom {
			ready = roomFreed || !row.RetryAt.IsZero() && !now.Before(row.RetryAt) || row.isDeferred() && !now.Before(row.DeferredUntil)
		}
		if row.ForPeer {
			ready = len(t.Events.Digests) > 0
		}
		if !ready && now.Before(row.Until) {
			t.noteLongWait(&row, now)
			t.Pending = append(t.Pending, row)
			t.WakeAt(row.wakeAt(now))
			continue
		}
		readyRows = append(readyRows, row)
	}
	return readyRows
}

// holdForRoom queues a request for which no upstream has room at the moment,
// since streams end all the time and a refusal keeps its caller away for longer.
// The request waits until [Tables.roomWaitEnd]. It does not wait if it would not fit into idle upstreams either, if all
// upstreams are in a back-off that lasts longer, or if so many requests wait already
// that this one would get no room in time.
func (a *AdmitRequests) holdForRoom(t *Tables, row PendingRow, request *RequestRow, now time.Time) (pending bool) {
	t.CrowdedAt = now
	until := t.roomWaitEnd(request, row.FirstEvent)
	row.RetryAt = t.backOffEnd(request.Service, now)
	if !now.Before(until) || row.RetryAt.After(until) {
		return false
	}
	if !row.ForRoom {
		maxWaiters := max(1, t.Limits.MaxRoomWaiters*float64(len(t.Requests.Rows)))
		if row.RetryAt.IsZero() {
			firstEvent, fits := a.fitsIdleUpstreams(t, request, now)
			if request.NeverFits = !fits; !fits {
				return false
			}
			row.FirstEvent, until = firstEvent, t.roomWaitEnd(request, firstEvent)
		}
		if float64(t.roomWaiters()) >= maxWaiters && !a.displaceWaiter(t, &row, request, now) {
			if !row.isDeferred() && row.RetryAt.IsZero() {
				t.noteShortage(request.Service, request.Priority, request.ID, now)
			}
			return false
		}
		t.RecordDecision(lentilmux.Decision{What: "request_waiting", Subject: string(request.ID), Chosen: until.Sub(now).String(), Reason: row.describeRoomWait(request.Service)})
	}
	row.Until, row.ForRoom, row.Admitted = until, true, true
	row.Service, row.Priority = request.Service, request.Priority
	t.noteLongWait(&row, now)
	t.Pending = append(t.Pending, row)
	t.WakeAt(row.wakeAt(now))
	return true
}

// wakeAt returns when a waiting request has to be looked at again at the latest.
func (r *PendingRow) wakeAt(now time.Time) (at time.Time) {
	switch longWaitAt := r.longWaitAt(); {
	case r.isDeferred():
		return earliest(r.DeferredUntil, r.Until)
	case r.ForRoom && now.Before(longWaitAt):
		return longWaitAt
	default:
		return r.Until
	}
}

// holdForPeer queues a request that only a peer can send to an upstream, while all
// usable ones have an older configuration than this VM: they apply the newest one within
// moments, and a refusal keeps the caller away for longer. The request waits for at most
// maxPeerWait, and half of the time to its deadline.
func (a *AdmitRequests) holdForPeer(t *Tables, row PendingRow, request *RequestRow, now time.Time) (pending bool) {
	if peer := t.selectPeer(now); peer == nil || !t.waitsForPeer(request, peer, now) {
		return false
	}
	if !row.ForPeer {
		row.Until = now.Add(min(maxPeerWait, request.Deadline.Sub(now)/2))
		t.RecordDecision(lentilmux.Decision{What: "request_waiting", Subject: string(request.ID), Chosen: row.Until.Sub(now).String(), Reason: "no peer has the newest configuration"})
	}
	row.ForPeer, row.Admitted = true, true
	t.Pending = append(t.Pending, row)
	t.WakeAt(row.Until)
	return true
}

// roomWaiters returns the number of requests that wait for room.
func (t *Tables) roomWaiters() (count int) {
	for i := range t.Pending {
		if t.Pending[i].ForRoom {
			count++
		}
	}
	return count
}

// fitsIdleUpstreams reports whether a path for the request exists once the
// requests in flight have ended, and the expected time to its first event then.
func (a *AdmitRequests) fitsIdleUpstreams(t *Tables, request *RequestRow, now time.Time) (firstEvent time.Duration, fits bool) {
	service := t.Rules.Service(request.Service)
	if service == nil || service.Engine == nil || service.Engine.Layers <= 0 {
		return 0, false
	}
	a.collectNodes(t, request.Service, now)
	for i := range a.nodes {
		a.nodes[i].Reserved, a.nodes[i].Full = 0, false
	}
	hops, estimate, fits := a.PathSelector.Choose(newPathRequest(t, request, service.Engine), a.nodes, a.hops[:0])
	a.hops = hops[:0]
	return estimate.TimeToFirstEvent, fits
}

// dropPending removes a queued request whose caller has disconnected.
func (t *Tables) dropPending(id lentilmux.RequestID) {
	for i := range t.Pending {
		if t.Pending[i].Inbound.ID == id {
			t.Pending = append(t.Pending[:i], t.Pending[i+1:]...)
			return
		}
	}
}

// endedThisTick reports whether a request arrived and ended in the same tick.
func (t *Tables) endedThisTick(id lentilmux.RequestID) bool {
	for i := range t.Events.Done {
		if t.Events.Done[i].Request == id {
			return true
		}
	}
	return false
}
