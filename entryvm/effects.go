package entryvm

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"lentilmux.example/lentilmux"
)

// effects executes the effects that a [VM]'s ticks return. Effects that call
// another process run in their own goroutines, so that the control goroutine
// never blocks.
type effects struct {
	vm       *VM
	ctx      context.Context // canceled when the node stops; set before the first effect
	inFlight sync.WaitGroup
}

// setContext sets the context of all effects. Call it before the node runs.
func (e *effects) setContext(ctx context.Context) { e.ctx = ctx }

// wait blocks until no effect is in flight.
func (e *effects) wait() { e.inFlight.Wait() }

// Do implements [lentilmux.Effector].
func (e *effects) Do(effect lentilmux.Effect) {
	switch x := effect.(type) {
	case lentilmux.DecisionEffect:
		e.recordDecision(x.Decision)
	case lentilmux.ConfigAppendEffect:
		e.logError("config_append", e.vm.writer.EnqueueConfig(x.Record))
	case lentilmux.CallAppendEffect:
		e.logError("call_append", e.vm.writer.EnqueueCall(x.Record))
	case lentilmux.CancelEffect:
		if !e.vm.relay.Cancel(x.Request) {
			e.vm.runner.Cancel(x.Request)
		}
	case lentilmux.AbortEffect:
		e.vm.relay.Abort(x.Request, x.Epoch)
		e.vm.runner.Abort(x.Request, x.Epoch)
	case lentilmux.ExchangeEffect:
		e.inFlight.Go(func() { e.exchange(x) })
	case lentilmux.FetchSnapshotEffect:
		e.inFlight.Go(func() { e.fetchSnapshot(x) })
	case lentilmux.FetchLoadEffect:
		e.inFlight.Go(func() { e.fetchLoad(x) })
	case lentilmux.ProbeEffect:
		e.inFlight.Go(func() { e.probe(x) })
	case lentilmux.OrderEffect:
		e.inFlight.Go(func() { e.sendOrder(x) })
	}
}

// sendToNode sends the result of an effect to the node. The error of Send is
// ignored, since Send fails only when the node stops.
func (e *effects) sendToNode(msg lentilmux.Msg) { _ = e.vm.node.Send(e.ctx, msg) }

// logError logs the error, if any, of an effect that fails only because of a
// bug.
func (e *effects) logError(what string, err error) {
	if err != nil {
		e.vm.config.Logger.WithError(err).WithField("what", what).Error("effect failed")
	}
}

// recordDecision counts a decision and writes its log line.
func (e *effects) recordDecision(d lentilmux.Decision) {
	e.vm.metrics.countDecision(d)
	e.vm.config.Logger.WithFields(logrus.Fields{
		"vm": e.vm.config.Name, "what": d.What, "subject": d.Subject, "chosen": d.Chosen,
		"reason": d.Reason, "considered": strings.Join(d.Considered, ","),
	}).Info("decision")
}

// exchange sends this VM's digest to a peer and passes the peer's digest and the
// round-trip time to the node.
func (e *effects) exchange(effect lentilmux.ExchangeEffect) {
	started := time.Now()
	digest, err := e.vm.dependencies.Peer.Exchange(e.ctx, effect.Addr, effect.Digest)
	if err != nil {
		e.sendToNode(lentilmux.ExchangeFailedMsg{VM: effect.VM})
		return
	}
	e.sendToNode(lentilmux.DigestMsg{Digest: digest, RTT: time.Since(started)})
}

// fetchSnapshot reads a peer's configuration snapshot and passes it to the node.
func (e *effects) fetchSnapshot(effect lentilmux.FetchSnapshotEffect) {
	snapshot, err := e.vm.dependencies.Peer.Snapshot(e.ctx, effect.Addr)
	if err != nil {
		e.sendToNode(lentilmux.ExchangeFailedMsg{VM: effect.VM})
		return
	}
	e.sendToNode(lentilmux.SnapshotMsg{Snapshot: snapshot})
}

// fetchLoad reads an engine's load report and passes it to the node.
func (e *effects) fetchLoad(effect lentilmux.FetchLoadEffect) {
	ctx, cancel := context.WithTimeout(e.ctx, controlCallTimeout)
	defer cancel()
	started := time.Now()
	report, err := e.vm.dependencies.Engine.Load(ctx, effect.Addr)
	e.sendToNode(lentilmux.LoadReportMsg{Upstream: effect.Upstream, Report: report, RTT: time.Since(started), Err: err})
}

// controlCallTimeout bounds a load report, a probe or an order. A late load
// report or probe is itself a sign that the upstream has failed.
const controlCallTimeout = 500 * time.Millisecond

// probe checks whether an upstream answers and passes the result to the node.
func (e *effects) probe(effect lentilmux.ProbeEffect) {
	ctx, cancel := context.WithTimeout(e.ctx, controlCallTimeout)
	defer cancel()
	probe := e.vm.dependencies.Engine.Probe
	if effect.Kind == lentilmux.KindService {
		probe = e.vm.dependencies.Service.Probe
	}
	e.sendToNode(lentilmux.ProbeResultMsg{Upstream: effect.Upstream, Outcome: probeOutcome(probe(ctx, effect.Addr))})
}

// probeOutcome returns the outcome of a probe that ended with err.
func probeOutcome(err error) lentilmux.ProbeOutcome {
	var upstreamError *lentilmux.UpstreamError
	var netError net.Error
	switch {
	case err == nil:
		return lentilmux.ProbeAlive
	case errors.As(err, &upstreamError) && upstreamError.Kind == lentilmux.FailureTimeout:
		return lentilmux.ProbeSilent
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &netError) && netError.Timeout():
		return lentilmux.ProbeSilent
	default:
		return lentilmux.ProbeDead
	}
}

// sendOrder sends a layer order to an engine and passes the result to the node.
func (e *effects) sendOrder(effect lentilmux.OrderEffect) {
	ctx, cancel := context.WithTimeout(e.ctx, controlCallTimeout)
	defer cancel()
	err := e.vm.dependencies.Engine.SendOrder(ctx, effect.Addr, effect.Order)
	e.sendToNode(lentilmux.OrderResultMsg{Upstream: effect.Upstream, Order: effect.Order, Err: err})
}
