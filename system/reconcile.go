package system

import (
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

const (
	// loadCheckInterval is the time between two checks for load reports that
	// are due.
	loadCheckInterval = 25 * time.Millisecond
	// reconcileInterval is the time between two reconciliations when neither
	// load reports nor configuration pages arrive.
	reconcileInterval = 250 * time.Millisecond
	// orderRetryInterval is the time after which an order that had no effect is
	// sent again.
	orderRetryInterval = 2 * time.Second
	// maxLogAge is the maximum time since the last read of the log for a node
	// to send orders. It is shorter than Limits.OwnerTimeout, after which
	// another node takes over sending.
	maxLogAge = 2 * time.Second
	// blockedTimeout is the time after which a blocked pipeline lets an engine
	// change its range although no other engine holds it.
	blockedTimeout = 5 * time.Second
)

// Reconcile brings the engines to the layer ranges that the placement desires
// and requests their load reports. It reads Pipelines, Stages, Upstreams and
// Streams and writes the times of orders and load requests and the pipelines'
// BlockedSince.
//
// Orders state a desired range, so sending one twice does no harm. They carry
// the revision of the placement as fencing token. Only the entry VM with the
// lowest name sends them, and only if it has read the log within maxLogAge: a
// VM that was paused brings its configuration up to date first. An engine that
// ignores the token and obeys a stale order is ordered again, and until then
// refuses steps for layers that it does not hold.
type Reconcile struct{}

// Run implements [System].
func (s *Reconcile) Run(t *table.Tables, now time.Time) {
	for _, ended := range t.Events.OrderResults {
		s.recordOrderResult(t, now, ended)
	}
	if t.Due(&t.Timers.Loads, now, loadCheckInterval) {
		s.requestLoads(t, now)
	}
	changed := len(t.Events.LoadReports)+len(t.Events.ConfigPages) > 0
	if !changed && !t.Due(&t.Timers.Reconcile, now, reconcileInterval) {
		return
	}
	if !s.maySendOrders(t, now) {
		return
	}
	for i := range t.Pipelines.Rows {
		s.orderPipeline(t, now, &t.Pipelines.Rows[i])
	}
}

// recordOrderResult records the result of an order as a decision.
func (s *Reconcile) recordOrderResult(t *table.Tables, now time.Time, msg lentilmux.OrderResultMsg) {
	chosen, reason := "accepted", "ordered "+rangeText(msg.Order.Layers)
	if msg.Err != nil {
		chosen, reason = "failed", msg.Err.Error()
	}
	t.RecordDecision(now, lentilmux.Decision{What: "order_result", Subject: msg.Upstream, Chosen: chosen, Reason: reason})
}

// requestLoads requests the load report of each engine whose last request is
// older than Limits.LoadInterval.
func (s *Reconcile) requestLoads(t *table.Tables, now time.Time) {
	for i := range t.Upstreams.Rows {
		u := &t.Upstreams.Rows[i]
		if u.Spec.Kind != lentilmux.KindEngine {
			continue
		}
		if now.Before(u.LoadRequestedAt.Add(t.Limits.LoadInterval)) {
			continue
		}
		u.LoadRequestedAt = now
		t.AddEffect(lentilmux.FetchLoadEffect{Upstream: u.Spec.Name, Addr: u.Spec.Addr})
	}
}

// maySendOrders reports whether this node is the one that sends orders.
func (s *Reconcile) maySendOrders(t *table.Tables, now time.Time) bool {
	return t.Self.Synced &&
		t.Streams.Config.CaughtUp &&
		now.Sub(t.Streams.Config.ReadAt) < maxLogAge &&
		hasLowestName(t, now, t.Limits.OwnerTimeout)
}

// orderPipeline sends orders to the engines of one pipeline that do not hold
// their desired range. An engine that serves requests is ordered only while
// other engines can serve its range, or after the pipeline was blocked too
// long.
func (s *Reconcile) orderPipeline(t *table.Tables, now time.Time, p *table.Pipeline) {
	blocked, moving := 0, 0
	for _, name := range p.Spec.Upstreams {
		u := t.Upstreams.Find(name)
		if u == nil || u.Order.Model == "" || u.ReportedAt.IsZero() || holdsDesiredRange(u) {
			continue
		}
		if now.Sub(u.OrderedAt) < orderRetryInterval {
			moving++
			continue
		}
		if u.Report.HasLayers && !s.canMove(t, p, u) && !s.blockedTooLong(p, now) {
			blocked++
			continue
		}
		moving++
		s.sendOrder(t, now, u)
	}
	if blocked == 0 || moving > 0 {
		p.BlockedSince = time.Time{}
		return
	}
	if p.BlockedSince.IsZero() {
		p.BlockedSince = now
	}
}

// holdsDesiredRange reports whether the engine holds the layer range of its
// order.
func holdsDesiredRange(u *table.Upstream) bool {
	return u.Report.HasLayers && u.Report.Model == u.Order.Model && u.Report.Layers == u.Order.Layers
}

// canMove reports whether the engine can give up its range: the pipeline cannot
// serve anyway, does not need the range, or has another engine with the same
// range.
func (s *Reconcile) canMove(t *table.Tables, p *table.Pipeline, u *table.Upstream) bool {
	if p.MaxThroughput == 0 {
		return true
	}
	for i := p.FirstStage; i < p.FirstStage+p.StageCount; i++ {
		stage := &t.Stages.Rows[i]
		if stage.Layers != u.Report.Layers {
			continue
		}
		return !stage.ReachesEnd || s.otherHolders(t, stage, u) > 0
	}
	return true
}

// otherHolders counts the stage's other engines that can be expected to keep
// the range, since they were not just ordered to another one.
func (s *Reconcile) otherHolders(t *table.Tables, stage *table.Stage, u *table.Upstream) (count int) {
	for _, row := range stage.Replicas {
		other := &t.Upstreams.Rows[row]
		if other != u && (holdsDesiredRange(other) || other.OrderedAt.Before(other.ReportedAt.Add(-orderRetryInterval))) {
			count++
		}
	}
	return count
}

// blockedTooLong reports whether no engine of the pipeline could change its
// range for blockedTimeout. One must then change it although no other holds it.
func (s *Reconcile) blockedTooLong(p *table.Pipeline, now time.Time) bool {
	return !p.BlockedSince.IsZero() && now.Sub(p.BlockedSince) >= blockedTimeout
}

func (s *Reconcile) sendOrder(t *table.Tables, now time.Time, u *table.Upstream) {
	u.OrderedAt = now
	t.RecordDecision(now, lentilmux.Decision{
		What: "order", Subject: u.Spec.Name, Chosen: u.Order.Model + " " + rangeText(u.Order.Layers),
		Reason: "holds " + heldRangeText(u.Report),
	})
	t.AddEffect(lentilmux.OrderEffect{Upstream: u.Spec.Name, Addr: u.Spec.Addr, Order: u.Order})
}
