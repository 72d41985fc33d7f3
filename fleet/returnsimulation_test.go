package fleet_test

import (
	"slices"
	"testing"
	"time"
)

// TestBurstOfReturns plays a burst of twice as many requests as there is room for, and
// newcomers that alone would need half of the room after it. Callers that are refused
// return once. It guards against callers that return together, while the streams that
// took the room go on, and against newcomers that take the room before them: six tenths
// of the burst have to be served, and nine tenths of the newcomers. That has to hold also
// if a digest relay ends just before the burst.
func TestBurstOfReturns(t *testing.T) {
	for _, c := range []struct {
		name      string
		vms       int
		relayEnds bool
	}{
		{"mesh", 6, false}, {"relays", 24, false}, {"relay that ends", 24, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(3) {
				burst, newcomers := playBurst(t, seed, c.vms, c.relayEnds)
				t.Logf("seed %d: served %.2f of the burst, %.2f of the newcomers", seed, burst.share(), newcomers.share())
				if burst.share() < 0.6 || newcomers.share() < 0.9 {
					t.Errorf("seed %d: served %.2f of the burst, %.2f of the newcomers", seed, burst.share(), newcomers.share())
				}
			}
		})
	}
}

// playBurst plays a burst and the newcomers after it.
func playBurst(t *testing.T, seed uint64, vms int, relayEnds bool) (burst, newcomers *urgencyKind) {
	const pairs, burstAt = 6, 3 * time.Second
	p := newUrgencyPlay(t, seed, vms, pairs, "llm:0,bulk:0,rest:0")
	burst, newcomers = p.kinds[0], p.kinds[1]
	if relayEnds {
		p.run(urgencyStart)
		p.endVM(p.vms[0]) // has the lowest name of its zone
	}
	for range 2 * pairs * urgencyStreams {
		p.after(burstAt-p.now.Sub(p.start)+time.Duration(p.random.Int64N(int64(200*time.Millisecond))), func() { p.ask(burst, "") })
	}
	newcomers.perSecond = 0.5 * pairs * urgencyStreams
	p.play()
	return burst, newcomers
}

// endVM ends the process of a VM that has no requests in flight.
func (p *urgencyPlay) endVM(vm *simulatedVM) {
	delete(p.byAddr, vmAddr(vm.name))
	p.vms = slices.DeleteFunc(p.vms, func(other *simulatedVM) bool { return other == vm })
}
