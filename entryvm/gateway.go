package entryvm

import (
	"context"
	"net"
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
	"lentilmux.example/lentilmux/platformlog"
)

const (
	// rulesWaitPart is the part of the age up to which this VM is ready that a
	// read of the configuration waits for news. What one read told is as old as
	// two waits when the next is answered.
	rulesWaitPart = 0.42
	// membersWait is the same for the upstreams' entries, whose age does not
	// matter.
	membersWait = 10 * time.Second
	// sharedRulesPart is rulesWaitPart where VMs read for one another, since what
	// is passed on is as old as the waits of both.
	sharedRulesPart = 0.2
	// sharedSpacingPart is the part of the spacing of reads that is left for
	// each of the two there.
	sharedSpacingPart = 0.5
	// sharedMembersWait is membersWait there.
	sharedMembersWait = 2 * time.Second
	// copyOldestPart is the part of the age up to which this VM is ready that
	// the configuration may have which it passes on.
	copyOldestPart = 0.5
	// vmsWait and vmsSpacing are the same for the entry VMs' records.
	vmsWait    = 25 * time.Second
	vmsSpacing = time.Second
	// effectTimeout bounds an order.
	effectTimeout = 600 * time.Millisecond
	// reportTimeout bounds a report, whose lateness is a sign of failure
	// itself.
	reportTimeout = 250 * time.Millisecond
	// putTimeout bounds a record in the store.
	putTimeout = 2 * time.Second
	// gatewayIdle is how long a caller's connection may wait for its next
	// request.
	gatewayIdle = 2 * time.Minute
)

// GatewayConfig is what an entry VM before registered upstreams is told of
// itself.
type GatewayConfig struct {
	Name           string
	Zone           string
	CallerAddr     netip.AddrPort // where callers connect
	ReadyAddr      netip.AddrPort // where the balancer asks
	PeerAddr       netip.AddrPort // where other VMs send load digests and read copies of streams
	MetricsAddr    netip.AddrPort // invalid for no metrics
	MetricsPath    string
	ReadyPath      string
	MaxHeaderBytes int           // bytes
	HeaderTimeout  time.Duration // for a caller's header
	Seed           uint64
	Limits         fleet.Limits
	Logger         *logrus.Logger
	Clock          func() time.Time // goes on while the VM is suspended
}

// GatewayDependencies are the implementations of what such an entry VM speaks to.
type GatewayDependencies struct {
	Log        lentilmux.KeyedLog
	Decoders   map[lentilmux.Stream]platformlog.DecodeFunc
	PeerCopies lentilmux.StreamCopies
	Engine     lentilmux.PathEngine
	// Front returns the handler of callers' requests.
	NewCallerHandler func(relay *forward.Relay, state *GatewayState) http.Handler
}

// GatewayState is what front ends have to know of the entry VM.
type GatewayState struct {
	ready    atomic.Bool
	draining atomic.Bool
	bodyMost atomic.Int64
}

// Draining reports whether connections should be given up.
func (s *GatewayState) Draining() bool { return s.draining.Load() }

// MaxBodyBytes returns the largest body that callers may send, in bytes.
func (s *GatewayState) MaxBodyBytes() int64 { return s.bodyMost.Load() }

// Gateway is one entry VM before upstreams that register themselves.
type Gateway struct {
	config  GatewayConfig
	peers   GatewayDependencies
	state   GatewayState
	node    *lentilmux.Node
	metrics *metrics
	lines   *decisionLog
	digests *peer.LoadDigestConn
	copies  *platformlog.CopyStore
	log     *platformlog.PeerFirstLog
	shared  atomic.Bool // whether VMs read for one another
	limits  atomic.Pointer[fleet.Limits]

	ctx   context.Context // of the run; set before the first effect
	leave chan struct{}
	once  sync.Once
}

// NewGateway returns an entry VM that is not running.
func NewGateway(config GatewayConfig, peers GatewayDependencies) (g *Gateway, err error) {
	defer errors.DeferredAnnotatef(&err, "making entry VM %s", config.Name)
	g = &Gateway{config: config, peers: peers, leave: make(chan struct{}), lines: newDecisionLog(config.Logger, config.Name)}
	if g.metrics, err = newMetrics(); err != nil {
		return nil, err
	}
	g.state.bodyMost.Store(defaultBodyMost)
	g.limits.Store(&config.Limits)
	g.copies = platformlog.NewCopyStore(config.Clock, func() time.Duration { return part(g.limits.Load().MaxReadyConfigAge, copyOldestPart) })
	g.log = platformlog.NewPeerFirstLog(peers.Log, peers.PeerCopies, g.copies, config.Clock, g.badCopy)
	model := fleet.New(fleet.Self{
		Name: config.Name, Zone: config.Zone, Addr: config.PeerAddr, Incarnation: uint64(config.Clock().UnixNano()), Started: config.Clock(),
	}, config.Limits)
	g.node = lentilmux.NewNode(model, lentilmux.WithEffector(g), lentilmux.WithClock(config.Clock))
	return g, nil
}

// defaultBodyMost bounds bodies before the configuration does, in bytes.
const defaultBodyMost = 4 << 20

// Drain begins the planned stop. Run returns when it is done.
func (g *Gateway) Drain() {
	g.once.Do(func() { close(g.leave) })
}

// SetLimits puts other limits in force while the VM runs. What runs goes on.
func (g *Gateway) SetLimits(ctx context.Context, limits fleet.Limits) (err error) {
	g.limits.Store(&limits)
	return g.node.Send(ctx, fleet.LimitsMsg{Limits: limits})
}

// LogDecision writes a line beside those of the VM's own decisions.
func (g *Gateway) LogDecision(d lentilmux.Decision) { g.lines.write(d) }

// Run serves until ctx ends, which stops at once, or until a planned stop that
// [Gateway.Drain] began is done.
func (g *Gateway) Run(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "running entry VM %s", g.config.Name)
	ctx, cancel := context.WithCancel(ctx)
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
	running.Go(func() { g.lines.run(ctx) })
	g.lines.write(lentilmux.Decision{What: "started", Subject: g.config.Name, Chosen: g.config.CallerAddr.String(), Reason: "zone " + g.config.Zone})
	running.Go(func() { g.node.Run(ctx) })
	running.Go(func() { g.digests.Run(ctx, g.node, g.badDigest) })
	for stream, decode := range g.peers.Decoders {
		follower := platformlog.NewFollower(g.log, g.node, g.config.Clock, stream, decode, g.pace)
		running.Go(func() { follower.Run(ctx) })
	}
	select {
	case <-ctx.Done():
	case <-g.leave:
		g.stop(ctx, &servers)
	}
	g.lines.write(lentilmux.Decision{What: "stopped", Subject: g.config.Name})
	cancel()
	running.Wait()
	return nil
}

// stop is the planned stop: not ready at once, serving until the balancer has
// noticed, then until what runs is done.
func (g *Gateway) stop(ctx context.Context, servers *gatewayServers) {
	g.state.draining.Store(true)
	// The node only fails when it stops itself.
	_ = g.node.Send(ctx, lentilmux.BeginDrainMsg{})
	limits := g.limits.Load()
	timer := time.NewTimer(limits.MinDrainDuration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return
	}
	ctx, cancel := context.WithTimeout(ctx, limits.MaxDrainDuration-limits.MinDrainDuration)
	defer cancel()
	if err := servers.front.Shutdown(ctx); err != nil {
		g.lines.write(lentilmux.Decision{What: "stop_cut", Subject: g.config.Name, Reason: err.Error()})
	}
}

// pace returns how often a stream is read.
func (g *Gateway) pace(stream lentilmux.Stream) (pace platformlog.PollTiming) {
	limits, rulesPart, spacingPart := g.limits.Load(), rulesWaitPart, 1.0
	wait := membersWait
	if g.shared.Load() {
		rulesPart, spacingPart, wait = sharedRulesPart, sharedSpacingPart, sharedMembersWait
	}
	switch stream {
	case lentilmux.StreamRules:
		return platformlog.PollTiming{MaxWait: part(limits.MaxReadyConfigAge, rulesPart), MinInterval: part(limits.MinRulesReadInterval, spacingPart)}
	case lentilmux.StreamUpstreams:
		return platformlog.PollTiming{MaxWait: wait, MinInterval: part(limits.MinUpstreamsReadInterval, spacingPart)}
	default:
		return platformlog.PollTiming{MaxWait: vmsWait, MinInterval: vmsSpacing}
	}
}

// part returns a part of a duration.
func part(whole time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(whole))
}

func (g *Gateway) badCopy(addr netip.AddrPort, err error) {
	g.lines.write(lentilmux.Decision{What: "copy_unread", Subject: addr.String(), Chosen: "store", Reason: err.Error()})
}

func (g *Gateway) badDigest(from netip.AddrPort, err error) {
	g.lines.write(lentilmux.Decision{What: "digest_ignored", Subject: from.String(), Reason: err.Error()})
}

// Do implements [lentilmux.Effector]. Effects that wait for a peer run in
// goroutines of their own.
func (g *Gateway) Do(effect lentilmux.Effect) {
	switch x := effect.(type) {
	case lentilmux.DecisionEffect:
		g.metrics.decision(x.Decision)
		g.lines.write(x.Decision)
	case lentilmux.ReadinessEffect:
		g.state.ready.Store(x.Ready)
	case lentilmux.BodyLimitEffect:
		g.state.bodyMost.Store(x.MaxBytes)
	case lentilmux.LoadDigestEffect:
		if err := g.digests.Send(x.Digest, x.To); err != nil {
			g.lines.write(lentilmux.Decision{What: "digest_unsent", Subject: g.config.Name, Reason: err.Error()})
		}
	case lentilmux.StreamSourceEffect:
		g.shared.Store(x.Shared)
		g.log.SetSources(x.VMs)
	case lentilmux.FetchReportEffect:
		go g.report(x)
	case lentilmux.RangeOrderEffect:
		go g.place(x)
	case lentilmux.MoveEffect:
		go g.repath(x)
	case lentilmux.PutEffect:
		go g.put(x)
	}
}

func (g *Gateway) report(x lentilmux.FetchReportEffect) {
	ctx, cancel := context.WithTimeout(g.ctx, reportTimeout)
	defer cancel()
	report, err := g.peers.Engine.Report(ctx, x.Upstream, x.Addr)
	g.send(lentilmux.UpstreamReportMsg{Upstream: x.Upstream, Report: report, Err: err})
}

func (g *Gateway) place(x lentilmux.RangeOrderEffect) {
	ctx, cancel := context.WithTimeout(g.ctx, effectTimeout)
	defer cancel()
	accepted, err := g.peers.Engine.SendOrder(ctx, x.Upstream, x.Addr, x.Order)
	g.send(lentilmux.RangeOrderResultMsg{Upstream: x.Upstream, Order: x.Order, Accepted: accepted, Err: err})
}

func (g *Gateway) repath(x lentilmux.MoveEffect) {
	ctx, cancel := context.WithTimeout(g.ctx, effectTimeout)
	defer cancel()
	accepted, err := g.peers.Engine.MoveRequest(ctx, x.Request, x.Path)
	g.send(lentilmux.MoveResultMsg{Request: x.Request, Epoch: x.Epoch, Accepted: accepted, Err: err})
}

func (g *Gateway) put(x lentilmux.PutEffect) {
	ctx, cancel := context.WithTimeout(g.ctx, putTimeout)
	defer cancel()
	value, err := platformlog.EncodeVM(x.VM)
	if err == nil {
		err = g.log.Put(ctx, x.Stream, x.Key, value)
	}
	if err != nil {
		g.lines.write(lentilmux.Decision{What: "record_unwritten", Subject: x.Key, Reason: err.Error()})
	}
}

// send hands a result to the node; it fails only when the node stops.
func (g *Gateway) send(msg lentilmux.Msg) { _ = g.node.Send(g.ctx, msg) }

// gatewayServers are the listeners of a gateway.
type gatewayServers struct {
	front   *http.Server
	ready   *http.Server
	metrics *http.Server
	copies  *http.Server
}

// open listens on all addresses and serves them.
func (s *gatewayServers) open(g *Gateway) (err error) {
	relay := forward.NewRelay(g.node, forward.WithClock(g.config.Clock), forward.WithObserver(g.metrics.forwarded))
	s.front = &http.Server{
		Handler: g.peers.NewCallerHandler(relay, &g.state), ReadHeaderTimeout: g.config.HeaderTimeout, IdleTimeout: gatewayIdle,
		MaxHeaderBytes: g.config.MaxHeaderBytes,
	}
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+g.config.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.state.ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	s.ready = &http.Server{Handler: ready, ReadHeaderTimeout: g.config.HeaderTimeout, IdleTimeout: gatewayIdle}
	if err := g.serve(s.ready, g.config.ReadyAddr); err != nil {
		return err
	}
	if g.config.MetricsAddr.IsValid() {
		mux := http.NewServeMux()
		mux.Handle("GET "+g.config.MetricsPath, g.metrics.handler())
		s.metrics = &http.Server{Handler: mux, ReadHeaderTimeout: g.config.HeaderTimeout}
		if err := g.serve(s.metrics, g.config.MetricsAddr); err != nil {
			return err
		}
	}
	copies := http.NewServeMux()
	copies.Handle(peer.NewCopyHandler(g.copies))
	s.copies = &http.Server{Handler: copies, ReadHeaderTimeout: g.config.HeaderTimeout, IdleTimeout: gatewayIdle}
	if err := g.serve(s.copies, g.config.PeerAddr); err != nil {
		return err
	}
	return g.serve(s.front, g.config.CallerAddr)
}

// serve listens on an address and serves it until the server is closed.
func (g *Gateway) serve(server *http.Server, addr netip.AddrPort) (err error) {
	listener, err := net.Listen("tcp", addr.String())
	if err != nil {
		return errors.Annotatef(err, "listening on %s", addr)
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			g.lines.write(lentilmux.Decision{What: "server_ended", Subject: addr.String(), Reason: err.Error()})
		}
	}()
	return nil
}

// close closes what is open at once.
func (s *gatewayServers) close() {
	for _, server := range []*http.Server{s.front, s.ready, s.metrics, s.copies} {
		if server != nil {
			_ = server.Close() // the process or the test ends anyway
		}
	}
}
