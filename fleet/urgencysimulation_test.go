package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"lentilmux.example/lentilmux"
)

const (
	urgencyStart = 2 * time.Second  // after which callers send, so that all VMs know each other
	urgencyEnd   = 22 * time.Second // when they stop sending
	urgencyTail  = 8 * time.Second  // for returns and answers after that
	// urgencyMemory is the memory of an accelerator, which takes about ten streams.
	urgencyMemory = 24000
	// urgencyStreams is the number of streams that a pair of upstreams takes.
	urgencyStreams = 10
)

// urgencyKind is one kind of request of a play.
type urgencyKind struct {
	path      string
	perSecond float64
	asked     int
	served    int // at the first try or after one return
}

// share returns the share of the requests of a kind that is served.
func (k *urgencyKind) share() float64 { return float64(k.served) / float64(max(k.asked, 1)) }

// urgencyPlay is a fleet that gets more requests than it has room for. Callers that are
// refused return once, at the time named, at any VM.
type urgencyPlay struct {
	*simulation
	kinds   []*urgencyKind
	kindOf  map[*simulatedRequest]*urgencyKind
	returns map[*simulatedRequest]bool
}

// newUrgencyPlay returns a play with the given priorities of the routes llm, bulk and
// rest, which are the kinds of request.
func newUrgencyPlay(t *testing.T, seed uint64, vms, pairs int, priorities string) *urgencyPlay {
	p := &urgencyPlay{
		simulation: newSimulation(t, seed, vms, pairs), kindOf: make(map[*simulatedRequest]*urgencyKind), returns: make(map[*simulatedRequest]bool),
		kinds: []*urgencyKind{{path: "/llm/x"}, {path: "/bulk/x"}, {path: "/rest/x"}},
	}
	rules := *testRuleset(map[string]string{"version": "2", "keys": "k1", "priorities": priorities})
	rules.Services[0].Engine.Accelerators[0].MemoryBytes = urgencyMemory
	for _, vm := range p.vms {
		p.deliver(vm, lentilmux.StreamUpdatesMsg{Stream: lentilmux.StreamRules, AsOf: p.now, Updates: []lentilmux.StreamUpdate{{Key: "config", Offset: 2, Rules: &rules}}})
	}
	p.onRefusal, p.maxActive = p.returnOnce, urgencyStreams
	return p
}

// play sends requests of each kind at its rate, evenly, and plays until all have ended.
func (p *urgencyPlay) play() {
	elapsed := p.now.Sub(p.start)
	for _, kind := range p.kinds {
		for sent := 0.0; kind.perSecond > 0 && sent < kind.perSecond*(urgencyEnd-urgencyStart).Seconds(); sent++ {
			at := urgencyStart + time.Duration((sent+p.random.Float64())/kind.perSecond*float64(time.Second))
			p.after(at-elapsed, func() { p.ask(kind, "") })
		}
	}
	p.run(urgencyEnd + urgencyTail - elapsed)
	for request, kind := range p.kindOf {
		if request.done && request.refused == "" && request.delivery > 0 {
			kind.served++
		}
	}
}

// ask sends a request of a kind to a random VM. A caller that returns sends the same
// body, and has no further return.
func (p *urgencyPlay) ask(kind *urgencyKind, body string) {
	id := fmt.Sprintf("r%d", len(p.requests))
	request := &simulatedRequest{vm: p.vms[p.random.IntN(len(p.vms))]}
	request.inbound = inboundRequest(id, map[string]string{"path": kind.path, "key": "k1", "prompt": "400", "answer": "100", "timeout": "20s"}, p.now)
	if body == "" {
		kind.asked++
		body = id
	} else {
		p.returns[request] = true
	}
	request.inbound.Fingerprint = lentilmux.ComputeFingerprint(kind.path, body)
	p.requests = append(p.requests, request)
	p.kindOf[request] = kind
	p.simulation.ask(request, lentilmux.ForwardMsg{Inbound: request.inbound})
}

// returnOnce lets the caller of a refused request return, if it has not yet.
func (p *urgencyPlay) returnOnce(request *simulatedRequest, refusal lentilmux.Refusal) {
	kind := p.kindOf[request]
	if p.returns[request] || refusal.Outcome != lentilmux.OutcomeNotRun {
		return
	}
	body := string(request.inbound.ID)
	p.after(refusal.RetryAfter, func() { p.ask(kind, body) })
}

// total returns the requests asked and served of all kinds.
func (p *urgencyPlay) total() (all urgencyKind) {
	for _, kind := range p.kinds {
		all.asked += kind.asked
		all.served += kind.served
	}
	return all
}

// TestOverloadServesUrgentFirst plays fleets that get a third more requests than they have
// room for. It guards against urgent requests that are served hardly more often than all
// (by less than 10 in 100), against a more urgent kind that is served less often than a
// less urgent one by more than 5 in 100, against a kind that is served less than a quarter as
// often as all, and against room that is left idle for urgent requests: at least nine
// tenths are served of what is served where all have one priority.
func TestOverloadServesUrgentFirst(t *testing.T) {
	for _, c := range []struct {
		name       string
		vms, pairs int
	}{
		{"mesh", 6, 6}, {"relays", 24, 6},
	} {
		for seed := range uint64(2) {
			label := fmt.Sprintf("%s, seed %d", c.name, seed)
			ranked := overload(t, seed, c.vms, c.pairs, "llm:0,bulk:1,rest:2")
			equal := overload(t, seed, c.vms, c.pairs, "llm:1,bulk:1,rest:1")
			all := ranked.total()
			t.Logf("%s: served %.2f %.2f %.2f, all %.2f; with one priority %.2f %.2f %.2f", label, ranked.kinds[0].share(), ranked.kinds[1].share(), ranked.kinds[2].share(), all.share(), equal.kinds[0].share(), equal.kinds[1].share(), equal.kinds[2].share())
			if ranked.kinds[0].share() < all.share()+0.1 {
				t.Errorf("%s: the most urgent requests are served hardly more often than all", label)
			}
			for i, kind := range ranked.kinds {
				if i > 0 && kind.share() > ranked.kinds[i-1].share()+0.05 {
					t.Errorf("%s: priority %d is served more often than priority %d", label, i, i-1)
				}
				if kind.share() < 0.25*all.share() {
					t.Errorf("%s: priority %d is served less than a quarter as often as all", label, i)
				}
			}
			if was := equal.total(); float64(all.served) < 0.9*float64(was.served) {
				t.Errorf("%s: %d are served, %d where all have one priority", label, all.served, was.served)
			}
		}
	}
}

// overload plays a fleet that gets a third more requests than it has room for.
func overload(t *testing.T, seed uint64, vms, pairs int, priorities string) *urgencyPlay {
	p := newUrgencyPlay(t, seed, vms, pairs, priorities)
	perSecond := 12.5 * float64(pairs) // ten streams of 1.06 s fit into a pair
	p.kinds[0].perSecond, p.kinds[1].perSecond, p.kinds[2].perSecond = 0.5*perSecond, 0.3*perSecond, 0.2*perSecond
	p.play()
	return p
}

// TestUrgentOverloadLeavesShares plays fleets that get more urgent requests alone than
// they have room for. It guards against urgent requests that are served hardly more often
// than all (by less than 10 in 100), against less urgent kinds that are served less than a
// quarter as often as all, as strict order would have it, and against a more urgent kind
// that is served less often than a less urgent one, by more than 5 in 100.
func TestUrgentOverloadLeavesShares(t *testing.T) {
	for _, vms := range []int{6, 24} {
		for seed := range uint64(2) {
			p := newUrgencyPlay(t, seed, vms, 6, "llm:0,bulk:1,rest:2")
			p.kinds[0].perSecond, p.kinds[1].perSecond, p.kinds[2].perSecond = 80, 20, 20
			p.play()
			all := p.total()
			t.Logf("%d VMs, seed %d: served %.2f %.2f %.2f, all %.2f", vms, seed, p.kinds[0].share(), p.kinds[1].share(), p.kinds[2].share(), all.share())
			if p.kinds[0].share() < all.share()+0.1 {
				t.Errorf("%d VMs, seed %d: the most urgent requests are served hardly more often than all", vms, seed)
			}
			for i, kind := range p.kinds {
				if kind.share() < 0.25*all.share() {
					t.Errorf("%d VMs, seed %d: priority %d is served less than a quarter as often as all", vms, seed, i)
				}
				if i > 0 && kind.share() > p.kinds[i-1].share()+0.05 {
					t.Errorf("%d VMs, seed %d: priority %d is served more often than priority %d", vms, seed, i, i-1)
				}
			}
		}
	}
}
