package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"lentilmux.example/lentilmux"
)

const (
	drainAnnouncedAt = 4 * time.Second
	drainKnownWithin = time.Second // half of the shortest bound on drains of a deployment
	drainReadyEntry  = 6 * time.Second
	drainRestart     = 9 * time.Second
	drainPlayEnd     = 13 * time.Second
)

// TestDrainsReachAllVMs guards against VMs that send requests to an upstream whose
// drain another VM learned from an answer while the store said nothing of it, and
// against a drain that outlives its process.
func TestDrainsReachAllVMs(t *testing.T) {
	for _, c := range []struct {
		name       string
		vms, pairs int
		seeds      uint64
	}{
		{"mesh", 6, 6, 4}, {"relays", 60, 12, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range c.seeds {
				playDrain(t, fmt.Sprintf("%s, seed %d", c.name, seed), newSimulation(t, seed, c.vms, c.pairs))
			}
		})
	}
}

// playDrain lets one VM learn of the drain of a first hop and counts the requests
// that the upstream gets later than drainKnownWithin, and after its restart.
func playDrain(t *testing.T, label string, s *simulation) {
	t.Helper()
	upstream := s.upstreams[2*s.random.IntN(len(s.upstreams)/2)]
	learner := s.vms[s.random.IntN(len(s.vms))]
	s.after(drainAnnouncedAt, func() {
		s.deliver(learner, lentilmux.UpstreamDrainMsg{Request: "r", Upstream: upstream.record.ID, StartedAt: upstream.record.StartedAt})
	})
	tellAll := func() {
		for _, vm := range s.vms {
			s.deliver(vm, lentilmux.StreamUpdatesMsg{Stream: lentilmux.StreamUpstreams, AsOf: s.now, Updates: []lentilmux.StreamUpdate{s.entry(upstream)}})
		}
	}
	s.after(drainReadyEntry, tellAll)
	s.after(drainRestart, func() {
		upstream.record.StartedAt = s.now
		tellAll()
	})
	before, during, after := 0, 0, 0
	s.onSend = func(_ *simulatedRequest, to *simulatedUpstream) {
		now := s.now.Sub(s.start)
		switch {
		case to != upstream:
		case now < drainAnnouncedAt:
			before++
		case now >= drainRestart:
			after++
		case now >= drainAnnouncedAt+drainKnownWithin:
			during++
		}
	}
	for at := time.Second; at < drainPlayEnd; at += 10 * time.Millisecond {
		s.after(at, func() { s.request() })
	}
	s.run(drainPlayEnd)
	if before == 0 || during > 0 || after == 0 {
		t.Errorf("%s: %d requests before the drain, %d during it, %d after it; expected some, none and some", label, before, during, after)
	}
}
