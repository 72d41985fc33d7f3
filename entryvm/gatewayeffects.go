package entryvm

import (
	"context"
	"fmt"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/platformlog"
)

const (
	// orderTimeout bounds an order or a move of a request.
	orderTimeout = 600 * time.Millisecond
	// reportTimeout bounds an upstream's report. A late report is itself a sign
	// that the upstream has failed.
	reportTimeout = 250 * time.Millisecond
	// connectTimeout bounds the opening of a connection that tests whether an
	// upstream can be reached.
	connectTimeout = 250 * time.Millisecond
	// putTimeout bounds the write of a record to the store.
	putTimeout = 2 * time.Second
)

// Do implements [lentilmux.Effector]. Effects that wait for an answer of another
// process run in their own goroutines.
func (g *Gateway) Do(effect lentilmux.Effect) {
	switch x := effect.(type) {
	case lentilmux.DecisionEffect:
		g.metrics.countDecision(x.Decision)
		g.decisionLog.enqueue(x.Decision)
	case lentilmux.RoomDecisionEffect:
		g.metrics.countRoomDecision(x)
	case lentilmux.AnswerMeasuredEffect:
		g.metrics.countAnswer(x)
	case lentilmux.ReadinessEffect:
		g.state.ready.Store(x.Ready)
	case lentilmux.BodyLimitEffect:
		g.state.maxBodyBytes.Store(x.MaxBytes)
	case lentilmux.LoadDigestEffect:
		if err := g.digests.Send(x.Digest, x.To); err != nil {
			g.decisionLog.enqueue(lentilmux.Decision{What: "digest_send_failed", Subject: g.config.Name, Reason: err.Error()})
		}
	case lentilmux.StreamSourceEffect:
		g.sharedReads.Store(x.Shared)
		g.log.SetSources(x.VMs)
	case lentilmux.FetchReportEffect:
		g.run(effect, func() { g.fetchReport(x) })
	case lentilmux.ConnectEffect:
		g.run(effect, func() { g.connect(x) })
	case lentilmux.RangeOrderEffect:
		g.run(effect, func() { g.sendOrder(x) })
	case lentilmux.PlanRangesEffect:
		g.run(effect, func() { g.planRanges(x) })
	case lentilmux.MoveEffect:
		g.run(effect, func() { g.moveRequest(x) })
	case lentilmux.PutEffect:
		g.run(effect, func() { g.putRecord(x) })
	case lentilmux.HeldPartsEffect:
		g.heldParts.publish(x.Parts)
	case lentilmux.ReachabilityEffect:
		g.unreachable.Store(!x.Reachable)
	case lentilmux.RulesVersionEffect:
		g.storeState.publishRules(x.Version)
	case lentilmux.StreamTimelineEffect:
		g.storeState.publishTimeline(x.Stream, x.Timeline)
	}
}

// fetchReport reads an upstream's report and passes it to the node.
func (g *Gateway) fetchReport(effect lentilmux.FetchReportEffect) {
	ctx, cancel := context.WithTimeout(g.ctx, reportTimeout)
	defer cancel()
	sentAt := time.Now()
	report, err := g.dependencies.Engine.Report(ctx, effect.Upstream, effect.Addr)
	g.sendToNode(lentilmux.UpstreamReportMsg{Upstream: effect.Upstream, Report: report, Err: err, Took: time.Since(sentAt)})
}

// connect tests whether an upstream accepts a connection and passes the result to
// the node.
func (g *Gateway) connect(effect lentilmux.ConnectEffect) {
	ctx, cancel := context.WithTimeout(g.ctx, connectTimeout)
	defer cancel()
	g.sendToNode(lentilmux.ConnectResultMsg{Upstream: effect.Upstream, Err: g.dependencies.Engine.Connect(ctx, effect.Addr)})
}

// sendOrder sends a layer order to an upstream and passes the result to the
// node.
func (g *Gateway) sendOrder(effect lentilmux.RangeOrderEffect) {
	ctx, cancel := context.WithTimeout(g.ctx, orderTimeout)
	defer cancel()
	accepted, err := g.dependencies.Engine.SendOrder(ctx, effect.Upstream, effect.Addr, effect.Order)
	g.sendToNode(lentilmux.RangeOrderResultMsg{Upstream: effect.Upstream, Order: effect.Order, Accepted: accepted, Err: err})
}

// planRanges computes layer ranges and passes them to the node.
func (g *Gateway) planRanges(effect lentilmux.PlanRangesEffect) {
	ranges := g.dependencies.Placement.Place(effect.Model, effect.Zones, effect.Nodes)
	g.sendToNode(lentilmux.RangesPlannedMsg{Service: effect.Service, Nodes: effect.Nodes, Ranges: ranges})
}

// moveRequest moves a request in flight to another path and passes the result to
// the node.
func (g *Gateway) moveRequest(effect lentilmux.MoveEffect) {
	ctx, cancel := context.WithTimeout(g.ctx, orderTimeout)
	defer cancel()
	answer, err := g.dependencies.Engine.MoveRequest(ctx, effect.Request, effect.Path)
	g.sendToNode(lentilmux.MoveResultMsg{Request: effect.Request, Epoch: effect.Epoch, Answer: answer, Err: err})
}

// putRecord writes a record to the store, or deletes its key, and logs a failure.
func (g *Gateway) putRecord(effect lentilmux.PutEffect) {
	ctx, cancel := context.WithTimeout(g.ctx, putTimeout)
	defer cancel()
	value, err := encodeRecord(effect)
	if err == nil {
		err = g.log.Put(ctx, effect.Stream, effect.Key, value)
	}
	if err != nil {
		g.decisionLog.enqueue(lentilmux.Decision{What: "record_write_failed", Subject: effect.Key, Reason: err.Error()})
	}
}

// encodeRecord encodes the record of an effect. It returns no value if there is
// none, which deletes the key.
func encodeRecord(effect lentilmux.PutEffect) (value []byte, err error) {
	switch {
	case effect.VM != nil:
		return platformlog.EncodeVM(*effect.VM)
	case effect.HeldPart != nil:
		return platformlog.EncodeHeldPart(*effect.HeldPart)
	}
	return nil, nil
}

// sendToNode sends the result of an effect to the node. The error of Send is
// ignored, since Send fails only when the node stops.
func (g *Gateway) sendToNode(msg lentilmux.Msg) { _ = g.node.Send(g.ctx, msg) }

// run carries out an effect in a goroutine of its own. One that panics has no
// result, as if its answer was lost; the node's timeouts cover that.
func (g *Gateway) run(effect lentilmux.Effect, do func()) {
	go func() {
		defer func() {
			if reason := recover(); reason != nil {
				g.decisionLog.enqueue(lentilmux.Decision{What: "effect_panicked", Subject: fmt.Sprintf("%T", effect), Reason: fmt.Sprint(reason)})
			}
		}()
		do()
	}()
}
