package fleet_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/dispatch"
	"lentilmux.example/lentilmux/fleet"
)

const (
	simulatedPrefill  = 60 * time.Millisecond // from a send to the first event of its answer
	simulatedStream   = time.Second           // from the first event to the last one
	simulatedDowntime = 3 * time.Second       // of an upstream that crashed
	simulatedLatency  = 2 * time.Millisecond  // of a message between processes
	simulatedTick     = 10 * time.Millisecond
	simulatedZones    = 3
)

// simulatedUpstream is one of the upstreams of a simulation. Those with an even
// index hold the first half of the layers and are the first hops.
type simulatedUpstream struct {
	record    lentilmux.UpstreamRecord
	downUntil time.Time
	active    map[*simulatedRequest]bool    // requests whose first hop it is
	limit     func() lentilmux.RequestLimit // that its answers name; nil for none
}

// namedLimit returns the limit that an answer names at the moment.
func (u *simulatedUpstream) namedLimit() (limit lentilmux.RequestLimit) {
	if u.limit == nil {
		return limit
	}
	return u.limit()
}

// simulatedVM is one of the entry VMs of a simulation.
type simulatedVM struct {
	name      string
	model     *fleet.Schedule
	startedAt time.Time
	nextTick  time.Time
	sequence  lentilmux.CorrelationID
	waiting   map[lentilmux.CorrelationID]*simulatedRequest // messages without an answer
}

// simulatedRequest is one request of a caller.
type simulatedRequest struct {
	inbound  lentilmux.InboundRequest
	vm       *simulatedVM
	sends    []time.Time
	attempt  lentilmux.Attempt
	began    bool // whether its first attempt began to answer
	delivery int  // events delivered
	done     bool
	refused  lentilmux.Reason  // why its VM refused it; empty if it did not
	origin   *simulatedRequest // that a VM forwarded to this one's; nil for the request of a caller
}

// callers returns the request of the caller: the request itself, or the one as which
// it was forwarded.
func (r *simulatedRequest) callers() *simulatedRequest {
	if r.origin != nil {
		return r.origin
	}
	return r
}

// simulation plays several entry VMs that share upstreams, without network or
// wall clock. Callers reach a random VM with each request.
type simulation struct {
	t         *testing.T
	random    *rand.Rand
	start     time.Time
	now       time.Time
	events    simulatedEvents
	sequence  int
	vms       []*simulatedVM
	byAddr    map[netip.AddrPort]*simulatedVM
	upstreams []*simulatedUpstream
	byID      map[string]*simulatedUpstream
	requests  []*simulatedRequest // of callers
	forwarded []*simulatedRequest // by one VM to another
	crashes   []time.Time
	losesOn   func(request *simulatedRequest) bool // whether the connection breaks in place of an answer, without a crash
	crashesOn func(request *simulatedRequest) bool // whether an upstream crashes when it begins to answer the request
	store     map[string]lentilmux.PutEffect       // records that VMs wrote, by key
	heldParts map[string]bool                      // parts that a VM ever held, by ID
	onSend    func(request *simulatedRequest, upstream *simulatedUpstream)
	onLimit   func(vm *simulatedVM, upstream *simulatedUpstream)                                // when a VM got an answer that names a limit
	turnsAway func(request *simulatedRequest, upstream *simulatedUpstream) lentilmux.RetryAfter // what a refusal names; nothing if the request is taken
	maxActive int                                                                               // requests that a first hop takes; 0 for no bound
	onRefusal func(request *simulatedRequest, refusal lentilmux.Refusal)                        // of the request of a caller
	pickVM    func() *simulatedVM                                                               // of the next request; nil for a random one
	runs      func(request *simulatedRequest, attempt lentilmux.Attempt)                        // runs an attempt; nil for streams that all take the same time
	keeps     func(digest *lentilmux.LoadDigest) bool                                           // changes a digest on its way, or loses it; nil for none
	memory    int64                                                                             // bytes of each upstream
}

// simulatedEvent is a function that runs at a time.
type simulatedEvent struct {
	at       time.Time
	sequence int
	run      func()
}

// simulatedEvents is a heap of events, the earliest first.
type simulatedEvents []simulatedEvent

func (e simulatedEvents) Len() int      { return len(e) }
func (e simulatedEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simulatedEvents) Push(x any)   { *e = append(*e, x.(simulatedEvent)) }
func (e simulatedEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].sequence < e[j].sequence
}

func (e *simulatedEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// newSimulation starts VMs and pairs of upstreams that together hold all layers.
func newSimulation(t *testing.T, seed uint64, vms, pairs int) *simulation {
	return newSimulationOf(t, seed, vms, pairs, 1<<20)
}

// newSimulationOf starts VMs and pairs of upstreams with the given bytes of memory.
func newSimulationOf(t *testing.T, seed uint64, vms, pairs int, memory int64) *simulation {
	s := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 0)), start: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		byAddr: make(map[netip.AddrPort]*simulatedVM), byID: make(map[string]*simulatedUpstream), store: make(map[string]lentilmux.PutEffect), heldParts: make(map[string]bool),
		memory: memory,
	}
	s.now = s.start
	for i := range 2 * pairs {
		record := upstreamRecord(fmt.Sprintf("u%d", i), map[string]string{"accelerator": "large", "zone": simulatedZone(i / 2), "layers": []string{"0-3", "4-7"}[i%2]})
		record.Slots, record.Addr = 200, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8080)
		upstream := &simulatedUpstream{record: *record, active: make(map[*simulatedRequest]bool)}
		s.upstreams, s.byID[record.ID] = append(s.upstreams, upstream), upstream
	}
	for i := range vms {
		s.startVM(&simulatedVM{name: fmt.Sprintf("entry-%d", i+1)}, simulatedZone(i))
	}
	for _, vm := range s.vms {
		s.introduce(vm)
	}
	return s
}

func simulatedZone(i int) string { return fmt.Sprintf("zone-%d", i%simulatedZones) }

// startVM starts the process of a VM, which has no state, and adds the VM to the
// fleet if it is new.
func (s *simulation) startVM(vm *simulatedVM, zone string) {
	addr := vmAddr(vm.name)
	vm.startedAt, vm.nextTick, vm.waiting = s.now, s.now, make(map[lentilmux.CorrelationID]*simulatedRequest)
	vm.model = fleet.New(fleet.Self{
		Name: vm.name, Zone: zone, Addr: addr, Incarnation: uint64(s.now.UnixNano()), Started: s.now,
	}, fleet.DefaultLimits(), fleet.WithPathSelector(dispatch.NewCheapestPath(uint64(len(s.vms)))), fleet.WithDispatch(dispatch.NewTwoChoices(uint64(len(s.vms)))))
	if s.byAddr[addr] == nil {
		s.vms, s.byAddr[addr] = append(s.vms, vm), vm
	}
}

// introduce passes the content of the store to a VM that starts.
func (s *simulation) introduce(vm *simulatedVM) {
	rules := *testRuleset(map[string]string{"version": "1", "keys": "k1"})
	for i := range rules.Services {
		if rules.Services[i].Engine != nil {
			rules.Services[i].Engine.Accelerators[0].MemoryBytes = s.memory
		}
	}
	s.deliver(vm, lentilmux.StreamUpdatesMsg{Stream: lentilmux.StreamRules, AsOf: s.now, Updates: []lentilmux.StreamUpdate{{Key: "config", Offset: 1, Rules: &rules}}})
	upstreams := lentilmux.StreamUpdatesMsg{Stream: lentilmux.StreamUpstreams, AsOf: s.now, AllKeys: true}
	for _, upstream := range s.upstreams {
		upstreams.Updates = append(upstreams.Updates, s.entry(upstream))
	}
	s.deliver(vm, upstreams)
	peers := lentilmux.StreamUpdatesMsg{Stream: lentilmux.StreamVMs, AsOf: s.now, AllKeys: true}
	for _, peer := range s.vms {
		record := lentilmux.VMRecord{Name: peer.name, Zone: peer.model.Tables().Self.Zone, Addr: vmAddr(peer.name)}
		peers.Updates = append(peers.Updates, lentilmux.StreamUpdate{Key: peer.name, VM: &record})
	}
	for _, key := range slices.Sorted(maps.Keys(s.store)) {
		if put := s.store[key]; put.HeldPart != nil {
			peers.Updates = append(peers.Updates, lentilmux.StreamUpdate{Key: key, HeldPart: put.HeldPart})
		}
	}
	s.deliver(vm, peers)
}

// entry returns the store's entry of an upstream.
func (s *simulation) entry(upstream *simulatedUpstream) lentilmux.StreamUpdate {
	s.sequence++
	record := upstream.record
	return lentilmux.StreamUpdate{Key: record.ID, Offset: uint64(s.sequence), Upstream: &record}
}

// after schedules a function.
func (s *simulation) after(delay time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, simulatedEvent{at: s.now.Add(delay), sequence: s.sequence, run: run})
}

// run plays the simulation for a duration.
func (s *simulation) run(duration time.Duration) {
	end := s.now.Add(duration)
	for s.now.Before(end) {
		for len(s.events) > 0 && !s.events[0].at.After(s.now) {
			heap.Pop(&s.events).(simulatedEvent).run()
		}
		if s.now.Sub(s.start)%simulatedTick == 0 {
			s.keepStoreReads()
			for _, vm := range s.vms {
				if !vm.nextTick.After(s.now) {
					s.tick(vm)
				}
			}
		}
		s.now = s.now.Add(time.Millisecond)
	}
}

// keepStoreReads tells all VMs that their view of the store is up to date.
func (s *simulation) keepStoreReads() {
	if s.now.Sub(s.start)%(500*time.Millisecond) != 0 {
		return
	}
	for _, vm := range s.vms {
		s.deliver(vm, lentilmux.StreamUpdatesMsg{Stream: lentilmux.StreamRules, AsOf: s.now}, lentilmux.StreamUpdatesMsg{Stream: lentilmux.StreamUpstreams, AsOf: s.now})
	}
}

// deliver ticks a VM with messages that expect no answer.
func (s *simulation) deliver(vm *simulatedVM, msgs ...lentilmux.Msg) {
	batch := make([]lentilmux.Envelope, 0, len(msgs))
	for _, msg := range msgs {
		batch = append(batch, lentilmux.Envelope{Msg: msg})
	}
	s.tick(vm, batch...)
}

// ask ticks a VM with a message whose answer decides on a request.
func (s *simulation) ask(request *simulatedRequest, msg lentilmux.Msg) {
	vm := request.vm
	vm.sequence++
	vm.waiting[vm.sequence] = request
	s.tick(vm, lentilmux.Envelope{Msg: msg, CorrelationID: vm.sequence})
}

// tick ticks a VM and carries out the effects.
func (s *simulation) tick(vm *simulatedVM, batch ...lentilmux.Envelope) {
	effects, nextTick := vm.model.Tick(s.now, batch)
	vm.nextTick = nextTick
	for _, effect := range effects {
		switch x := effect.(type) {
		case lentilmux.AnswerEffect:
			request := vm.waiting[x.CorrelationID]
			delete(vm.waiting, x.CorrelationID)
			s.answer(request, x.Answer)
		case lentilmux.LoadDigestEffect:
			if s.keeps != nil && !s.keeps(&x.Digest) {
				continue
			}
			for _, addr := range x.To {
				if peer := s.byAddr[addr]; peer != nil {
					s.after(simulatedLatency, func() { s.deliver(peer, lentilmux.LoadDigestMsg{Digest: x.Digest}) })
				}
			}
		case lentilmux.FetchReportEffect:
			s.after(simulatedLatency, func() { s.report(vm, x.Upstream) })
		case lentilmux.ConnectEffect:
			s.after(simulatedLatency, func() { s.connect(vm, x.Upstream) })
		case lentilmux.PutEffect:
			s.store[x.Key] = x
		case lentilmux.DecisionEffect:
			if x.Decision.What == "part_held" {
				s.heldParts[x.Decision.Subject] = true
			}
		}
	}
}

// connect answers a test of the link to an upstream.
func (s *simulation) connect(vm *simulatedVM, id string) {
	msg := lentilmux.ConnectResultMsg{Upstream: id}
	if s.now.Before(s.byID[id].downUntil) {
		msg.Err = &lentilmux.UpstreamError{Kind: lentilmux.FailureDial, Err: lentilmux.ErrNotListening}
	}
	s.deliver(vm, msg)
}

// report answers a probe of an upstream.
func (s *simulation) report(vm *simulatedVM, id string) {
	upstream := s.byID[id]
	if s.now.Before(upstream.downUntil) {
		s.deliver(vm, lentilmux.UpstreamReportMsg{Upstream: id, Err: &lentilmux.UpstreamError{Kind: lentilmux.FailureDial, Err: lentilmux.ErrNotListening}})
		return
	}
	s.deliver(vm, lentilmux.UpstreamReportMsg{Upstream: id, Report: lentilmux.UpstreamReport{
		Layers: upstream.record.Layers, HasLayers: true, Slowdown: 1, StartedAt: upstream.record.StartedAt,
	}})
}

// request sends a request to a random VM.
func (s *simulation) request(parts ...lentilmux.PromptPart) {
	id := fmt.Sprintf("r%d", len(s.requests))
	request := &simulatedRequest{vm: s.vms[s.random.IntN(len(s.vms))]}
	if s.pickVM != nil {
		request.vm = s.pickVM()
	}
	request.inbound = inboundRequest(id, map[string]string{"path": "/llm/x", "key": "k1", "prompt": "400", "answer": "100"}, s.now)
	request.inbound.SharedParts = parts
	s.requests = append(s.requests, request)
	s.ask(request, lentilmux.ForwardMsg{Inbound: request.inbound})
}

// answer carries out the decision on a request.
func (s *simulation) answer(request *simulatedRequest, answer lentilmux.Answer) {
	switch x := answer.(type) {
	case lentilmux.RefusalAnswer:
		request.refused = x.Refusal.Reason
		if s.onRefusal != nil && request.origin == nil {
			s.onRefusal(request, x.Refusal)
		}
		s.finish(request, x.Refusal.Outcome)
		if origin := request.origin; origin != nil && !origin.done {
			s.ask(origin, lentilmux.ForwardFailedMsg{
				Request: origin.inbound.ID, Epoch: origin.attempt.Epoch, Kind: lentilmux.FailureRefused, NotRun: x.Refusal.Outcome == lentilmux.OutcomeNotRun, Answered: true,
				Delivered: origin.delivery, PeerRefusal: &x.Refusal,
			})
		}
	case lentilmux.AttemptAnswer:
		request.attempt = x.Attempt
		if x.Attempt.Peer != "" {
			s.after(simulatedLatency, func() { s.forward(request, x.Attempt) })
			return
		}
		request.sends = append(request.sends, s.now)
		if request.origin != nil {
			request.origin.sends = append(request.origin.sends, s.now)
		}
		s.send(request, x.Attempt)
	}
}

// forward sends a request to another VM.
func (s *simulation) forward(request *simulatedRequest, attempt lentilmux.Attempt) {
	forwarded := &simulatedRequest{vm: s.byAddr[attempt.Addr], inbound: request.inbound, origin: request}
	forwarded.inbound.Forwarded = lentilmux.ForwardedRequest{VM: request.vm.name, Workspace: attempt.Workspace, PossibleRuns: attempt.PossibleRuns}
	s.forwarded = append(s.forwarded, forwarded)
	s.ask(forwarded, lentilmux.ForwardMsg{Inbound: forwarded.inbound})
}

// finish ends a request.
func (s *simulation) finish(request *simulatedRequest, outcome lentilmux.Outcome) {
	request.done = true
	if request.origin != nil && outcome == lentilmux.OutcomeAnswered {
		s.finish(request.origin, outcome)
	}
	s.after(0, func() {
		s.deliver(request.vm, lentilmux.ForwardDoneMsg{Request: request.inbound.ID, Outcome: outcome})
	})
}

// send sends an attempt to the first hop of its path.
func (s *simulation) send(request *simulatedRequest, attempt lentilmux.Attempt) {
	upstream := s.byID[attempt.Upstream]
	if s.now.Before(upstream.downUntil) {
		s.after(simulatedLatency, func() { s.fail(request, attempt, lentilmux.FailureDial) })
		return
	}
	if s.onSend != nil {
		s.onSend(request, upstream)
	}
	if s.turnAway(request, attempt, upstream) {
		return
	}
	if s.maxActive > 0 && len(upstream.active) >= s.maxActive {
		s.after(simulatedLatency, func() {
			s.ask(request, lentilmux.ForwardFailedMsg{Request: request.inbound.ID, Epoch: attempt.Epoch, Kind: lentilmux.FailureRefused, NotRun: true, Answered: true})
		})
		return
	}
	if s.runs != nil {
		s.runs(request, attempt)
		return
	}
	upstream.active[request] = true
	s.after(simulatedPrefill, func() {
		if request.done || request.attempt.Epoch != attempt.Epoch || !upstream.active[request] {
			return
		}
		if s.crashesOn != nil && s.crashesOn(request) {
			s.crash(upstream)
			return
		}
		if s.losesOn != nil && s.losesOn(request) {
			delete(upstream.active, request)
			s.fail(request, attempt, lentilmux.FailureCrash)
			return
		}
		callers := request.callers()
		callers.began = callers.began || len(callers.sends) == 1
		callers.delivery++
		if request.origin != nil {
			request.delivery++
			s.deliver(callers.vm, lentilmux.ForwardStartedMsg{Request: callers.inbound.ID, Epoch: callers.attempt.Epoch})
		}
		if limit := upstream.namedLimit(); limit.Named || attempt.Limited {
			s.deliver(request.vm, lentilmux.UpstreamLimitMsg{Request: request.inbound.ID, Upstream: attempt.Upstream, Limit: limit})
			if s.onLimit != nil && limit.Named {
				s.onLimit(request.vm, upstream)
			}
		}
		s.deliver(request.vm, lentilmux.ForwardStartedMsg{Request: request.inbound.ID, Epoch: attempt.Epoch})
		s.after(simulatedStream, func() {
			if upstream.active[request] && request.attempt.Epoch == attempt.Epoch {
				delete(upstream.active, request)
				s.finish(request, lentilmux.OutcomeAnswered)
			}
		})
	})
}

// crash ends the process of an upstream because of a request.
func (s *simulation) crash(upstream *simulatedUpstream) {
	s.crashes = append(s.crashes, s.now)
	s.lose(upstream)
}

// lose ends the process of an upstream, with all requests on it. It starts again
// after simulatedDowntime.
func (s *simulation) lose(upstream *simulatedUpstream) {
	upstream.downUntil = s.now.Add(simulatedDowntime)
	victims := make([]*simulatedRequest, 0, len(upstream.active))
	for _, request := range slices.Concat(s.requests, s.forwarded) { // in a fixed order
		if upstream.active[request] {
			victims = append(victims, request)
		}
	}
	clear(upstream.active)
	for _, request := range victims {
		attempt := request.attempt
		s.after(simulatedLatency, func() { s.fail(request, attempt, lentilmux.FailureCrash) })
	}
	s.after(simulatedDowntime, func() {
		upstream.record.StartedAt = s.now
		for _, vm := range s.vms {
			s.deliver(vm, lentilmux.StreamUpdatesMsg{Stream: lentilmux.StreamUpstreams, AsOf: s.now, Updates: []lentilmux.StreamUpdate{s.entry(upstream)}})
		}
	})
}

// fail reports a failed attempt to the VM.
func (s *simulation) fail(request *simulatedRequest, attempt lentilmux.Attempt, kind lentilmux.FailureKind) {
	if request.done || request.attempt.Epoch != attempt.Epoch {
		return
	}
	s.ask(request, lentilmux.ForwardFailedMsg{
		Request: request.inbound.ID, Epoch: attempt.Epoch, Kind: kind, NotRun: kind == lentilmux.FailureDial, Delivered: request.delivery,
	})
}
