// Package entryvm assembles the process of one entry VM: the node, the clients
// of the services that it depends on, the servers, metrics and the decision log,
// and the drain.
//
// There are two kinds of entry VM. A [VM] routes to upstreams that operators
// configure by commands and drives each model step itself. A [Gateway] routes
// to upstreams that register themselves in the platform's store and forward
// activations to one another.
//
// The package makes no routing decisions and encodes no messages. Packages
// system and fleet hold the decisions of the two kinds; the packages of the
// clients and handlers, such as engine, peer and platformlog, hold the
// encodings.
//
// # Usage
//
//	vm, err := entryvm.New(config, entryvm.Dependencies{
//		Engine: engines, Service: services, Log: log, VMList: list, Peer: peers,
//	})
//	if err != nil {
//		return err
//	}
//	err = vm.Run(ctx)
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

// Config holds the settings of a [VM].
type Config struct {
	Name        string
	Zone        string
	CallerAddr  netip.AddrPort        // listener for callers
	ControlAddr netip.AddrPort        // listener for peers, operators and metrics
	PeerKey     string                // shared key of all entry VMs
	TLS         *certificate.Reloader // certificate of both listeners; nil disables TLS
	Operators   operator.Keys
	Seed        uint64 // of the default dispatch policy
	Limits      table.Limits
	StopTimeout time.Duration // maximum duration of a drain
	Logger      *logrus.Logger
	Options     []system.Option // applied after the default policies
}

// ServiceProber is a [lentilmux.Service] that also probes upstreams.
type ServiceProber interface {
	lentilmux.Service
	// Probe returns an error if the upstream does not answer.
	Probe(ctx context.Context, upstream netip.AddrPort) (err error)
}

// Dependencies holds the clients through which a [VM] reaches other systems.
type Dependencies struct {
	Engine  lentilmux.Engine
	Service ServiceProber
	Log     lentilmux.Log
	VMList  lentilmux.VMList
	Peer    lentilmux.Peer
}

// VM is an entry VM whose upstreams are configured by operators' commands.
type VM struct {
	config       Config
	dependencies Dependencies
	node         *lentilmux.Node
	relay        *engine.Relay
	runner       *service.Runner
	writer       *platformlog.Writer
	metrics      *metrics
	effects      *effects

	drainOnce sync.Once
	draining  chan struct{}
}

// New returns an entry VM; call [VM.Run] to start it. It returns an error if its
// metrics cannot be created.
func New(config Config, dependencies Dependencies) (vm *VM, err error) {
	defer errors.DeferredAnnotatef(&err, "creating entry VM %s", config.Name)
	instruments, err := newMetrics()
	if err != nil {
		return nil, err
	}
	tables := table.New(table.Self{
		Name: config.Name, Zone: config.Zone, Addr: config.ControlAddr,
		Incarnation: uuid.NewString(), StartedAt: time.Now(),
	})
	tables.Limits = config.Limits
	options := append([]system.Option{system.WithDispatch(dispatch.NewTwoChoices(config.Seed))}, config.Options...)
	vm = &VM{config: config, dependencies: dependencies, metrics: instruments, draining: make(chan struct{})}
	vm.effects = &effects{vm: vm}
	vm.node = lentilmux.NewNode(system.New(tables, options...), lentilmux.WithEffector(vm.effects))
	vm.relay = engine.NewRelay(vm.node, dependencies.Engine)
	vm.runner = service.NewRunner(vm.node, dependencies.Service)
	vm.writer = platformlog.NewWriter(dependencies.Log, vm.node)
	return vm, nil
}

// Node returns the entry VM's node.
func (v *VM) Node() *lentilmux.Node { return v.node }

// Relay returns the relay that runs model requests on the engines, for front
// ends other than HTTP.
func (v *VM) Relay() *engine.Relay { return v.relay }

// Handler returns the HTTP handler for callers.
func (v *VM) Handler() *caller.Handler {
	return caller.NewHandler(caller.Config{
		Name: v.config.Name, Node: v.node, Relay: v.relay, Runner: v.runner, Observe: v.metrics.countRequest,
	})
}

// Drain starts a drain, after which [VM.Run] returns. Further calls have no
// effect.
func (v *VM) Drain() {
	v.drainOnce.Do(func() { close(v.draining) })
}

// RunNode runs the node and the clients of the platform and of peers until ctx
// is canceled. It opens no listeners, so that a program can embed an entry VM.
func (v *VM) RunNode(ctx context.Context) {
	v.effects.setContext(ctx)
	var running sync.WaitGroup
	running.Go(func() { v.node.Run(ctx) })
	running.Go(func() { platformlog.NewTailer(v.dependencies.Log, v.node).Run(ctx) })
	running.Go(func() { v.writer.Run(ctx) })
	running.Go(func() { vmlist.NewPoller(v.dependencies.VMList, v.node).Run(ctx) })
	running.Wait()
	v.effects.wait()
}

// Run serves callers, peers and operators until ctx is canceled, which stops it
// without waiting for requests in flight, or until a drain started by [VM.Drain] is complete. It returns an
// error if it cannot listen on one of its addresses.
func (v *VM) Run(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "running entry VM %s", v.config.Name)
	stop := ctx
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx)) // ends after the requests in flight
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
	case <-stop.Done():
	case <-v.draining:
		v.runDrain(stop, servers)
	}
	servers.abortRequests()
	cancel()
	running.Wait()
	v.config.Logger.WithField("name", v.config.Name).Info("stopped")
	return nil
}

// runDrain drains the entry VM within the stop timeout. The node reports to
// peers and to the callers' load balancer that it is not ready and completes the
// requests in flight; only then do the servers shut down.
func (v *VM) runDrain(ctx context.Context, servers *servers) {
	ctx, cancel := context.WithTimeout(ctx, v.config.StopTimeout)
	defer cancel()
	if _, err := v.node.Ask(ctx, lentilmux.DrainMsg{}); err != nil {
		v.config.Logger.WithError(err).Warn("drain not complete within the stop timeout")
	}
	servers.shutdown(ctx)
}
