// Package entryvm puts the parts of one entry VM together: the node, the
// clients of what it speaks to, the servers, and its planned stop.
//
// It decides nothing: decisions are in package system, bytes in the packages
// named for peers. It speaks to no peer itself and is named for the process
// that it is.
//
// # Usage
//
//	vm := entryvm.New(config, entryvm.Peers{Engine: engines, Service: services, Log: log, VMList: list, Peer: peers})
//	err := vm.Run(ctx)
package entryvm

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/caller"
	"lentilmux.example/lentilmux/certificate"
	"lentilmux.example/lentilmux/dispatch"
	"lentilmux.example/lentilmux/engine"
	"lentilmux.example/lentilmux/operator"
	"lentilmux.example/lentilmux/platformlog"
	"lentilmux.example/lentilmux/service"
	"lentilmux.example/lentilmux/system"
	"lentilmux.example/lentilmux/table"
	"lentilmux.example/lentilmux/vmlist"
)

// Config is what an entry VM is told of itself.
type Config struct {
	Name        string
	Zone        string
	CallerAddr  netip.AddrPort // where callers connect
	ControlAddr netip.AddrPort // where peers and operators connect
	PeerKey     string
	TLS         *certificate.Reloader // of both listeners; nil for no TLS
	Operators   operator.Keys
	Seed        uint64
	Limits      table.Limits
	StopTimeout time.Duration // the longest a planned stop may take
	Logger      *logrus.Logger
	Options     []system.Option // policies other than the usual ones
}

// ServiceProber is a [lentilmux.Service] that can also be probed.
type ServiceProber interface {
	lentilmux.Service
	Probe(ctx context.Context, upstream netip.AddrPort) (err error)
}

// Dependencies are the implementations of what an entry VM speaks to.
type Dependencies struct {
	Engine  lentilmux.Engine
	Service ServiceProber
	Log     lentilmux.Log
	VMList  lentilmux.VMList
	Peer    lentilmux.Peer
}

// VM is one entry VM.
type VM struct {
	config  Config
	peers   Dependencies
	node    *lentilmux.Node
	relay   *engine.Relay
	runner  *service.Runner
	writer  *platformlog.Writer
	metrics *metrics
	effects *effects

	drainOnce sync.Once
	draining  chan struct{}
}

// New returns an entry VM that is not running. It returns an error if its
// metrics cannot be made.
func New(config Config, peers Dependencies) (vm *VM, err error) {
	defer errors.DeferredAnnotatef(&err, "making entry VM %s", config.Name)
	measured, err := newMetrics()
	if err != nil {
		return nil, err
	}
	tables := table.New(table.Self{
		Name: config.Name, Zone: config.Zone, Addr: config.ControlAddr,
		Incarnation: uuid.NewString(), StartedAt: time.Now(),
	})
	tables.Limits = config.Limits
	options := append([]system.Option{system.WithDispatch(dispatch.NewTwoChoices(config.Seed))}, config.Options...)
	vm = &VM{config: config, peers: peers, metrics: measured, draining: make(chan struct{})}
	vm.effects = &effects{vm: vm}
	vm.node = lentilmux.NewNode(system.New(tables, options...), lentilmux.WithEffector(vm.effects))
	vm.relay = engine.NewRelay(vm.node, peers.Engine)
	vm.runner = service.NewRunner(vm.node, peers.Service)
	vm.writer = platformlog.NewWriter(peers.Log, vm.node)
	return vm, nil
}

// Node returns the entry VM's node.
func (v *VM) Node() *lentilmux.Node { return v.node }

// Relay returns what drives answers of models, for front ends other than HTTP.
func (v *VM) Relay() *engine.Relay { return v.relay }

// Handler returns the handler that serves callers.
func (v *VM) Handler() *caller.Handler {
	return caller.NewHandler(caller.Config{
		Name: v.config.Name, Node: v.node, Relay: v.relay, Runner: v.runner, Observe: v.metrics.observe,
	})
}

// Drain begins the planned stop. Run returns when it is done.
func (v *VM) Drain() {
	v.drainOnce.Do(func() { close(v.draining) })
}

// RunNode runs the node and the traffic with platform and peers until ctx ends,
// but serves no connections.
func (v *VM) RunNode(ctx context.Context) {
	v.effects.begin(ctx)
	var running sync.WaitGroup
	running.Go(func() { v.node.Run(ctx) })
	running.Go(func() { platformlog.NewTailer(v.peers.Log, v.node).Run(ctx) })
	running.Go(func() { v.writer.Run(ctx) })
	running.Go(func() { vmlist.NewPoller(v.peers.VMList, v.node).Run(ctx) })
	running.Wait()
	v.effects.wait()
}

// Run serves until ctx ends, which stops at once, or until a planned stop that
// [VM.Drain] began is done. It returns the error of an address that cannot be
// listened on.
func (v *VM) Run(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "running entry VM %s", v.config.Name)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	servers, err := v.listen()
	if err != nil {
		return err
	}
	defer servers.close()
	var running sync.WaitGroup
	running.Go(func() { v.RunNode(ctx) })
	servers.serve()
	v.config.Logger.WithFields(logrus.Fields{
		"name": v.config.Name, "zone": v.config.Zone,
		"caller_addr": v.config.CallerAddr.String(), "control_addr": v.config.ControlAddr.String(),
	}).Info("started")
	select {
	case <-ctx.Done():
	case <-v.draining:
		v.stop(ctx, servers)
	}
	cancel()
	running.Wait()
	v.config.Logger.WithField("name", v.config.Name).Info("stopped")
	return nil
}

// stop is the planned stop: the node tells its peers and callers' balancer
// that it is not ready, finishes what runs, and only then the servers close.
func (v *VM) stop(ctx context.Context, servers *servers) {
	ctx, cancel := context.WithTimeout(ctx, v.config.StopTimeout)
	defer cancel()
	if _, err := v.node.Ask(ctx, lentilmux.DrainMsg{}); err != nil {
		v.config.Logger.WithError(err).Warn("planned stop ran out of time")
	}
	servers.shutdown(ctx)
}
