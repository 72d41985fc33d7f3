package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"lentilmux.example/lentilmux"
)

const (
	backOffFrom      = 3 * time.Second
	backOffUntil     = 15 * time.Second
	backOffPlayEnd   = 18 * time.Second
	backOffNamed     = 1500 * time.Millisecond
	backOffKnown     = 500 * time.Millisecond // after which a VM has to keep to what a refusal named
	backOffTolerated = 2                      // requests from then to the end of that time
)

// turnAway lets an upstream refuse an attempt if it turns the request away.
func (s *simulation) turnAway(request *simulatedRequest, attempt lentilmux.Attempt, upstream *simulatedUpstream) (refused bool) {
	if s.turnsAway == nil {
		return false
	}
	retryAfter := s.turnsAway(request, upstream)
	if !retryAfter.Named {
		return false
	}
	s.after(simulatedLatency, func() {
		s.deliver(request.vm, lentilmux.UpstreamBackOffMsg{Request: request.inbound.ID, Upstream: attempt.Upstream, StartedAt: attempt.StartedAt, RetryAfter: retryAfter})
		s.ask(request, lentilmux.ForwardFailedMsg{Request: request.inbound.ID, Epoch: attempt.Epoch, Kind: lentilmux.FailureRefused, NotRun: true, Answered: true})
	})
	return true
}

// backOffKey is a VM and an upstream that refused a request of it.
type backOffKey struct {
	vm       *simulatedVM
	upstream *simulatedUpstream
}

// TestBackOffs guards against VMs that send to upstreams which refused a request and
// named the time for which they want no more, and against VMs that overload the other
// upstreams or refuse callers although these have room.
func TestBackOffs(t *testing.T) {
	for _, c := range []struct {
		name          string
		vms, pairs    int
		seeds         uint64
		busy          int     // first hops that refuse requests
		refused       float64 // part of the requests that they refuse
		servedAtLeast float64 // part of the requests that begin at once or after retries
	}{
		{"half of the upstreams", 6, 6, 4, 3, 0.5, 0.97},
		{"all but one", 6, 6, 4, 5, 0.8, 0.95},
		{"all", 6, 6, 4, 6, 0.4, 0},
		{"relays", 40, 12, 2, 6, 0.2, 0.97},
		{"relays, more refusals than the retry budget covers", 40, 12, 1, 6, 0.5, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range c.seeds {
				s := newSimulation(t, seed, c.vms, c.pairs)
				playBackOffs(t, s, c.busy, c.refused)
				checkBegun(t, s, fmt.Sprintf("%s, seed %d", c.name, seed), c.servedAtLeast)
			}
		})
	}
}

// playBackOffs plays upstreams that refuse requests, and checks that each VM keeps to
// the times that they name.
func playBackOffs(t *testing.T, s *simulation, busy int, refused float64) {
	t.Helper()
	refusedAt, early := make(map[backOffKey]time.Time), make(map[backOffKey]int)
	s.turnsAway = func(request *simulatedRequest, upstream *simulatedUpstream) (retryAfter lentilmux.RetryAfter) {
		index, now := 0, s.now.Sub(s.start)
		for s.upstreams[index] != upstream {
			index++
		}
		if index >= 2*busy || now < backOffFrom || now > backOffUntil {
			return retryAfter
		}
		key := backOffKey{request.vm, upstream}
		if age := s.now.Sub(refusedAt[key]); age > backOffKnown && age < backOffNamed {
			early[key]++
		}
		if s.random.Float64() >= refused {
			return retryAfter
		}
		refusedAt[key], early[key] = s.now, 0
		return lentilmux.RetryAfter{Named: true, Delay: backOffNamed}
	}
	for at := time.Second; at < backOffPlayEnd; at += 12 * time.Millisecond {
		s.after(at, func() { s.request() })
	}
	for at := backOffFrom; at < backOffPlayEnd; at += 100 * time.Millisecond {
		s.after(at, func() {
			for key, count := range early {
				if count > backOffTolerated {
					t.Errorf("%s: %d requests from %s in its back-off", key.upstream.record.ID, count, key.vm.name)
					early[key] = 0
				}
			}
		})
	}
	s.run(backOffPlayEnd)
}

// checkBegun checks which part of the requests began to be answered while upstreams
// refused others.
func checkBegun(t *testing.T, s *simulation, label string, atLeast float64) {
	t.Helper()
	asked, begun := 0, 0
	for _, request := range s.requests {
		if at := request.inbound.ReceivedAt.Sub(s.start); at > backOffFrom && at < backOffUntil {
			asked++
			begun += count(request.delivery > 0)
		}
	}
	if float64(begun) < atLeast*float64(asked) {
		t.Errorf("%s: %d of %d requests began; expected at least %.2f", label, begun, asked, atLeast)
	}
}
