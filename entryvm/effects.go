package entryvm

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lentilmux.example/lentilmux"
)

// effects carries out what ticks decide. Each effect that waits for a peer runs
// in a goroutine of its own, so that the control goroutine never blocks.
type effects struct {
	vm      *VM
	ctx     context.Context // of the node's run; set before the first effect
	running sync.WaitGroup
}

// begin sets the context under which effects run.
func (e *effects) begin(ctx context.Context) { e.ctx = ctx }

// wait waits until no effect runs.
func (e *effects) wait() { e.running.Wait() }

// Do implements [lentilmux.Effector].
func (e *effects) Do(effect lentilmux.Effect) {
	switch x := effect.(type) {
	case lentilmux.DecisionEffect:
		e.decision(x.Decision)
	case lentilmux.ConfigAppendEffect:
		e.report("config_append", e.vm.writer.EnqueueConfig(x.Record))
	case lentilmux.CallAppendEffect:
		e.report("call_append", e.vm.writer.EnqueueCall(x.Record))
	case lentilmux.CancelEffect:
		if !e.vm.relay.Cancel(x.Request) {
			e.vm.runner.Cancel(x.Request)
		}
	case lentilmux.AbortEffect:
		e.vm.relay.Abort(x.Request, x.Epoch)
		e.vm.runner.Abort(x.Request, x.Epoch)
	case lentilmux.ExchangeEffect:
		e.running.Go(func() { e.exchange(x) })
	case lentilmux.FetchSnapshotEffect:
		e.running.Go(func() { e.fetchSnapshot(x) })
	case lentilmux.FetchLoadEffect:
		e.running.Go(func() { e.load(x) })
	case lentilmux.ProbeEffect:
		e.running.Go(func() { e.probe(x) })
	case lentilmux.OrderEffect:
		e.running.Go(func() { e.order(x) })
	}
}

// send hands a result to the node; it fails only when the node stops.
func (e *effects) send(msg lentilmux.Msg) { _ = e.vm.node.Send(e.ctx, msg) }

// report logs the error of an effect that cannot fail but by a fault of the
// program.
func (e *effects) report(what string, err error) {
	if err != nil {
		e.vm.config.Logger.WithError(err).WithField("what", what).Error("effect failed")
	}
}

// decision writes the log line of a decision.
func (e *effects) decision(d lentilmux.Decision) {
	e.vm.metrics.decision(d)
	e.vm.config.Logger.WithFields(logrus.Fields{
		"vm": e.vm.config.Name, "what": d.What, "subject": d.Subject, "chosen": d.Chosen,
		"reason": d.Reason, "considered": strings.Join(d.Considered, ","),
	}).Info("decision")
}

func (e *effects) exchange(x lentilmux.ExchangeEffect) {
	started := time.Now()
	digest, err := e.vm.peers.Peer.Exchange(e.ctx, x.Addr, x.Digest)
	if err != nil {
		e.send(lentilmux.ExchangeFailedMsg{VM: x.VM})
		return
	}
	e.send(lentilmux.DigestMsg{Digest: digest, RTT: time.Since(started)})
}

func (e *effects) fetchSnapshot(x lentilmux.FetchSnapshotEffect) {
	snapshot, err := e.vm.peers.Peer.Snapshot(e.ctx, x.Addr)
	if err != nil {
		e.send(lentilmux.ExchangeFailedMsg{VM: x.VM})
		return
	}
	e.send(lentilmux.SnapshotMsg{Snapshot: snapshot})
}

func (e *effects) load(x lentilmux.FetchLoadEffect) {
	ctx, cancel := context.WithTimeout(e.ctx, signTimeout)
	defer cancel()
	started := time.Now()
	report, err := e.vm.peers.Engine.Load(ctx, x.Addr)
	e.send(lentilmux.LoadReportMsg{Upstream: x.Upstream, Report: report, RTT: time.Since(started), Err: err})
}

// signTimeout bounds a load report or a probe, whose lateness is a sign of
// failure itself.
const signTimeout = 500 * time.Millisecond

func (e *effects) probe(x lentilmux.ProbeEffect) {
	ctx, cancel := context.WithTimeout(e.ctx, signTimeout)
	defer cancel()
	probe := e.vm.peers.Engine.Probe
	if x.Kind == lentilmux.KindService {
		probe = e.vm.peers.Service.Probe
	}
	e.send(lentilmux.ProbeResultMsg{Upstream: x.Upstream, Alive: probe(ctx, x.Addr) == nil})
}

func (e *effects) order(x lentilmux.OrderEffect) {
	ctx, cancel := context.WithTimeout(e.ctx, signTimeout)
	defer cancel()
	err := e.vm.peers.Engine.SendOrder(ctx, x.Addr, x.Order)
	e.send(lentilmux.OrderResultMsg{Upstream: x.Upstream, Order: x.Order, Err: err})
}
