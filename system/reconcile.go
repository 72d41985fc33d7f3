package system

import (
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

const (
	// loadsEvery is the time between two searches for reports that are due.
	loadsEvery = 25 * time.Millisecond
	// reconcileEvery is the time between two looks at the engines' ranges when
	// none of them reported.
	reconcileEvery = 250 * time.Millisecond
	// orderEvery is the time after which an order that has no effect is sent
	// again.
	orderEvery = 2 * time.Second
	// freshLog is the longest silence of the log after which a node still
	// sends orders. It is shorter than any time after which another node
	// takes the sending over.
	freshLog = 2 * time.Second
	// stuckFor is the time after which an engine changes its range although
	// no other holds it.
	stuckFor = 5 * time.Second
)

// Reconcile brings engines to the ranges that the placement desires and asks
// for their load reports. It reads Pipelines and Upstreams and writes the times
// of orders and reports.
//
// Orders state a desired range, so sending one twice does no harm, and carry
// the revision that decided it as fencing number. The entry VM with the lowest
// name sends them, and only if it has just read the log, so that one that was
// paused brings its configuration up to date first. An engine that ignores the
// number and obeys an old order is ordered anew, and meanwhile refuses steps
// for layers that it does not hold.
type Reconcile struct{}

// Run implements [System].
func (s *Reconcile) Run(t *table.Tables, now time.Time) {
	for _, ended := range t.Events.OrderResults {
		s.ended(t, now, ended)
	}
	if t.Due(&t.Timers.Loads, now, loadsEvery) {
		s.askLoads(t, now)
	}
	changed := len(t.Events.LoadReports)+len(t.Events.ConfigPages) > 0
	if !changed && !t.Due(&t.Timers.Reconcile, now, reconcileEvery) {
		return
	}
	if !s.sends(t, now) {
		return
	}
	for i := range t.Pipelines.Rows {
		s.pipeline(t, now, &t.Pipelines.Rows[i])
	}
}

// ended writes how an order ended.
func (s *Reconcile) ended(t *table.Tables, now time.Time, msg lentilmux.OrderResultMsg) {
	chosen, reason := "accepted", "ordered "+rangeText(msg.Order.Layers)
	if msg.Err != nil {
		chosen, reason = "failed", msg.Err.Error()
	}
	t.RecordDecision(now, lentilmux.Decision{What: "order_result", Subject: msg.Upstream, Chosen: chosen, Reason: reason})
}

// askLoads asks each engine for its report when the last is old enough.
func (s *Reconcile) askLoads(t *table.Tables, now time.Time) {
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

// sends reports whether this node sends the orders.
func (s *Reconcile) sends(t *table.Tables, now time.Time) bool {
	return t.Self.Synced &&
		t.Streams.Config.CaughtUp &&
		now.Sub(t.Streams.Config.ReadAt) < freshLog &&
		lowestPeer(t, now, t.Limits.OwnerTimeout)
}

// pipeline orders the engines of one pipeline that hold another range than
// desired. One that serves is ordered only while others can do its part.
func (s *Reconcile) pipeline(t *table.Tables, now time.Time, p *table.Pipeline) {
	waiting, moving := 0, 0
	for _, name := range p.Spec.Upstreams {
		u := t.Upstreams.Find(name)
		if u == nil || u.Order.Model == "" || u.ReportedAt.IsZero() || satisfied(u) {
			continue
		}
		if now.Sub(u.OrderedAt) < orderEvery {
			moving++
			continue
		}
		if u.Report.HasLayers && !s.spare(t, p, u) && !s.stuck(p, now) {
			waiting++
			continue
		}
		moving++
		s.order(t, now, u)
	}
	if waiting == 0 || moving > 0 {
		p.BlockedSince = time.Time{}
		return
	}
	if p.BlockedSince.IsZero() {
		p.BlockedSince = now
	}
}

// satisfied reports whether the engine holds what is desired.
func satisfied(u *table.Upstream) bool {
	return u.Report.HasLayers && u.Report.Model == u.Order.Model && u.Report.Layers == u.Order.Layers
}

// spare reports whether the pipeline can do without the engine's range, has
// another engine that holds the same, or cannot serve anyway.
func (s *Reconcile) spare(t *table.Tables, p *table.Pipeline, u *table.Upstream) bool {
	if p.MaxThroughput == 0 {
		return true
	}
	for i := p.FirstStage; i < p.FirstStage+p.StageCount; i++ {
		stage := &t.Stages.Rows[i]
		if stage.Layers != u.Report.Layers {
			continue
		}
		return !stage.ReachesEnd || s.others(t, stage, u) > 0
	}
	return true
}

// others counts the stage's other engines that were not ordered away.
func (s *Reconcile) others(t *table.Tables, stage *table.Stage, u *table.Upstream) (count int) {
	for _, row := range stage.Replicas {
		other := &t.Upstreams.Rows[row]
		if other != u && (satisfied(other) || other.OrderedAt.Before(other.ReportedAt.Add(-orderEvery))) {
			count++
		}
	}
	return count
}

// stuck reports whether no engine of the pipeline could change its range for
// so long that one has to go first.
func (s *Reconcile) stuck(p *table.Pipeline, now time.Time) bool {
	return !p.BlockedSince.IsZero() && now.Sub(p.BlockedSince) >= stuckFor
}

func (s *Reconcile) order(t *table.Tables, now time.Time, u *table.Upstream) {
	u.OrderedAt = now
	t.RecordDecision(now, lentilmux.Decision{
		What: "order", Subject: u.Spec.Name, Chosen: u.Order.Model + " " + rangeText(u.Order.Layers),
		Reason: "holds " + heldText(u.Report),
	})
	t.AddEffect(lentilmux.OrderEffect{Upstream: u.Spec.Name, Addr: u.Spec.Addr, Order: u.Order})
}
