package entryvm

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/fleet"
	"lentilmux.example/lentilmux/forward"
	"lentilmux.example/lentilmux/peer"
	"lentilmux.example/lentilmux/placement"
	"lentilmux.example/lentilmux/platformlog"
)

// GatewayConfig holds the settings of a [Gateway].
type GatewayConfig struct {
	Name           string
	Zone           string
	CallerAddr     netip.AddrPort // listener for callers
	ReadyAddr      netip.AddrPort // listener for the load balancer's readiness checks
	PeerAddr       netip.AddrPort // where other VMs send load digests (UDP) and read copies of streams (TCP)
	MetricsAddr    netip.AddrPort // listener for metrics; an invalid address disables it
	MetricsPath    string
	ReadyPath      string
	MaxHeaderBytes int
	HeaderTimeout  time.Duration // to read a request's header
	ConnLimits     VMLimits      // of the servers; unset ones have the default for the memory and descriptors
	MemoryBytes    int64         // of the VM; 0 if not known
	Descriptors    int           // that the process may open; 0 if not known
	Seed           uint64
	Limits         fleet.Limits
	Logger         *logrus.Logger
	Clock          func() time.Time // must include the time while the VM is suspended
}

// GatewayDependencies holds the clients through which a [Gateway] reaches other
// systems.
type GatewayDependencies struct {
	Log        lentilmux.CompactedLog
	Decoders   map[lentilmux.Stream]platformlog.DecodeFunc
	PeerCopies lentilmux.StreamCopies
	Engine     lentilmux.PathEngine
	Placement  lentilmux.RangePlacement // nil for [placement.ZoneSearch]
	Memory     lentilmux.MemoryBudget   // of the requests in flight; nil if it is not observed
	// NewCallerHandler returns the handler of callers' requests.
	NewCallerHandler func(relay *forward.Relay, state *GatewayState) http.Handler
	// NewPeerHandler returns the handler of requests that peers forward. If it is
	// nil, peers cannot forward any.
	NewPeerHandler func(relay *forward.Relay, state *GatewayState) http.Handler
}

// GatewayState is the part of a [Gateway]'s state that front ends read. Its
// methods are safe for concurrent use.
type GatewayState struct {
	ready        atomic.Bool
	draining     atomic.Bool
	maxBodyBytes atomic.Int64
}

// Draining reports whether a drain has started. Front ends should then close
// callers' connections after the current response.
func (s *GatewayState) Draining() bool { return s.draining.Load() }

// MaxBodyBytes returns the maximum size of a request body, in bytes.
func (s *GatewayState) MaxBodyBytes() int64 { return s.maxBodyBytes.Load() }

// Gateway is an entry VM whose upstreams register themselves in the store.
type Gateway struct {
	config       GatewayConfig
	dependencies GatewayDependencies
	state        GatewayState
	node         *lentilmux.Node
	metrics      *metrics
	heldParts    heldParts
	storeState   storeState
	unreachable  atomic.Bool // whether this VM reaches no upstream
	decisionLog  *decisionLog
	digests      *peer.LoadDigestConn
	copies       *platformlog.CopyCache
	log          *platformlog.PeerFirstLog
	sharedReads  atomic.Bool // whether digest relays read the store for other VMs, or may do so since the size of the fleet is not known yet
	limits       atomic.Pointer[fleet.Limits]

	ctx       context.Context // canceled when Run ends; set before the first effect
	draining  chan struct{}
	drainOnce sync.Once
}

// NewGateway returns an entry VM; call [Gateway.Run] to start it. It returns an
// error if its metrics cannot be created.
func NewGateway(config GatewayConfig, dependencies GatewayDependencies) (g *Gateway, err error) {
	defer errors.DeferredAnnotatef(&err, "creating entry VM %s", config.Name)
	if dependencies.Placement == nil {
		dependencies.Placement = placement.ZoneSearch{}
	}
	config.ConnLimits = config.ConnLimits.orElse(DefaultVMLimits(config.MemoryBytes, config.Descriptors))
	g = &Gateway{config: config, dependencies: dependencies, draining: make(chan struct{}), decisionLog: newDecisionLog(config.Logger, config.Name)}
	if g.metrics, err = newMetrics(); err != nil {
		return nil, err
	}
	if err = g.metrics.observeHeldParts(g.heldParts.count); err != nil {
		return nil, err
	}
	if err = g.metrics.observeStore(&g.storeState); err != nil {
		return nil, err
	}
	if err = g.metrics.observeReachability(&g.unreachable); err != nil {
		return nil, err
	}
	if budget := dependencies.Memory; budget != nil {
		refusals := &refusalLog{budget: budget, clock: config.Clock, log: g.logRefusal}
		budget.OnRefusal(refusals.record)
		if err = g.metrics.observeMemory(budget); err != nil {
			return nil, err
		}
	}
	g.state.maxBodyBytes.Store(defaultMaxBodyBytes)
	g.limits.Store(&config.Limits)
	g.sharedReads.Store(true)
	g.copies = platformlog.NewCopyCache(config.Clock, func() time.Duration { return scaled(g.limits.Load().MaxReadyConfigAge, maxCopyAgeFraction) })
	g.log = platformlog.NewPeerFirstLog(dependencies.Log, dependencies.PeerCopies, g.copies, config.Clock, g.logCopyReadError)
	model := fleet.New(fleet.Self{
		Name: config.Name, Zone: config.Zone, Addr: config.PeerAddr, Incarnation: uint64(config.Clock().UnixNano()), Started: config.Clock(),
	}, config.Limits)
	g.node = lentilmux.NewNode(model, lentilmux.WithEffector(g), lentilmux.WithClock(config.Clock))
	return g, nil
}

// defaultMaxBodyBytes limits request bodies until the configuration sets a limit.
const defaultMaxBodyBytes = 4 << 20

// Drain starts a drain, after which [Gateway.Run] returns. Further calls have no
// effect.
func (g *Gateway) Drain() {
	g.drainOnce.Do(func() { close(g.draining) })
}

// SetLimits replaces the limits while the VM is running. Requests in flight
// continue.
func (g *Gateway) SetLimits(ctx context.Context, limits fleet.Limits) (err error) {
	g.limits.Store(&limits)
	return g.node.Send(ctx, fleet.LimitsMsg{Limits: limits})
}

// SetMemoryBudget replaces the number of bytes that requests in flight may hold
// together, while the VM is running.
func (g *Gateway) SetMemoryBudget(bytes int64) {
	if budget := g.dependencies.Memory; budget != nil {
		budget.Resize(bytes)
	}
}

// logRefusal logs a decision of traffic and counts it.
func (g *Gateway) logRefusal(d lentilmux.Decision) {
	g.metrics.countDecision(d)
	g.decisionLog.enqueue(d)
}

// LogDecision adds a line to the decision log without counting it in the
// metrics. It does not block.
func (g *Gateway) LogDecision(d lentilmux.Decision) { g.decisionLog.enqueue(d) }

// Run serves callers and other VMs until ctx is canceled, which stops it
// without waiting for requests in flight, or until a drain started by
// [Gateway.Drain] is complete. It returns an error if it cannot listen on one of its
// addresses.
func (g *Gateway) Run(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "running entry VM %s", g.config.Name)
	stop := ctx
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx)) // ends after the requests in flight
	defer cancel()
	g.ctx = ctx
	if g.digests, err = peer.ListenLoadDigests(g.config.PeerAddr); err != nil {
		return err
	}
	var servers gatewayServers
	if err := servers.open(g); err != nil {
		return err
	}
	defer servers.close()
	var running sync.WaitGroup
	running.Go(func() { g.decisionLog.run(ctx) })
	g.decisionLog.enqueue(lentilmux.Decision{What: "started", Subject: g.config.Name, Chosen: g.config.CallerAddr.String(), Reason: "zone " + g.config.Zone})
	running.Go(func() { g.node.Run(ctx) })
	running.Go(func() { g.digests.Run(ctx, g.node, g.logIgnoredDigest) })
	for stream, decode := range g.dependencies.Decoders {
		follower := platformlog.NewFollower(g.log, g.node, g.config.Clock, stream, decode, g.pollTiming)
		running.Go(func() { follower.Run(ctx) })
	}
	select {
	case <-stop.Done():
	case <-g.draining:
		g.runDrain(stop, &servers)
	}
	if stop.Err() != nil {
		g.state.draining.Store(true)
		servers.abortRequests()
	}
	g.flushNode(ctx)
	g.decisionLog.enqueue(lentilmux.Decision{What: "stopped", Subject: g.config.Name})
	cancel()
	running.Wait()
	return nil
}

// flushNode waits until the ends of requests that were reported are logged, for
// abortTimeout at most.
func (g *Gateway) flushNode(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, abortTimeout)
	defer cancel()
	_ = g.node.Flush(ctx) // the node stops in any case
}

// runDrain drains the entry VM. It becomes not ready immediately, but accepts
// connections until newConnGrace before MinDrainDuration, so that the load balancer
// can notice. Then it accepts no more and closes those without a request. It serves
// requests that still arrive on others until MinDrainDuration, refuses later ones, and
// completes those in flight, until MaxDrainDuration at the latest.
func (g *Gateway) runDrain(ctx context.Context, servers *gatewayServers) {
	g.state.draining.Store(true)
	// Send fails only when the node stops.
	_ = g.node.Send(ctx, lentilmux.BeginDrainMsg{})
	limits := g.limits.Load()
	accepting := limits.MinDrainDuration - newConnGrace
	timer := time.NewTimer(accepting)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return
	}
	ctx, cancel := context.WithTimeout(ctx, limits.MaxDrainDuration-accepting)
	defer cancel()
	err := servers.drainCallers(ctx)
	if err == nil {
		err = servers.forwarded.wait(ctx)
	}
	if err != nil {
		g.decisionLog.enqueue(lentilmux.Decision{What: "drain_incomplete", Subject: g.config.Name, Reason: err.Error()})
		servers.abortRequests()
	}
	servers.drainPeers()
}

// logCopyReadError logs that a copy of a stream could not be read from the VM at
// addr, so that the store is read instead.
func (g *Gateway) logCopyReadError(addr netip.AddrPort, err error) {
	g.decisionLog.enqueue(lentilmux.Decision{What: "copy_read_failed", Subject: addr.String(), Chosen: "store", Reason: err.Error()})
}

// logIgnoredDigest logs that a load digest from an address was ignored.
func (g *Gateway) logIgnoredDigest(from netip.AddrPort, err error) {
	g.decisionLog.enqueue(lentilmux.Decision{What: "digest_ignored", Subject: from.String(), Reason: err.Error()})
}
