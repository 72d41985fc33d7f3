package fleet_test

import (
	"testing"
	"time"

	"lentilmux.example/lentilmux"
)

// TestOneDigestAmongHundredVMs tells one of a hundred VMs, which use relays, of a shortage
// at another VM, once. It guards against a signal that stays with the VM that got it, and
// against one that relays keep alive: others have to know of it while it counts, and none
// may once it is older, so that less urgent requests are admitted again everywhere.
func TestOneDigestAmongHundredVMs(t *testing.T) {
	const vms, toldAt, maxAge, minReached = 100, 3 * time.Second, 500 * time.Millisecond, 20
	for seed := range uint64(3) {
		p := newUrgencyPlay(t, seed, vms, 3, "llm:0,bulk:1,rest:2")
		told := p.vms[p.random.IntN(vms)]
		self := told.model.Tables().Self
		p.after(toldAt, func() {
			p.deliver(told, lentilmux.LoadDigestMsg{Digest: lentilmux.LoadDigest{
				VM: "entry-251", VMCount: 1, Zone: self.Zone, Addr: vmAddr("entry-251"), Incarnation: 1, Sequence: 1,
				Shortages: []lentilmux.ServiceShortage{{Service: lentilmux.HashService("desk-llm")}},
			}})
		})
		p.run(toldAt)
		reached := 0
		for age := time.Duration(0); age < maxAge; age += simulatedTick {
			p.run(simulatedTick)
			reached = max(reached, p.countShort())
		}
		p.run(simulatedTick)
		for _, vm := range p.vms {
			p.tick(vm) // which forgets what is too old
		}
		if left := p.countShort(); reached < minReached || left > 0 {
			t.Errorf("seed %d: %d VMs knew of the shortage, expected at least %d; %d still do after %s", seed, reached, minReached, left, maxAge)
		}
		for range 15 { // half of what there is room for
			p.ask(p.kinds[2], "")
		}
		p.run(time.Second)
		if refused := p.countRefused(); refused > 0 {
			t.Errorf("seed %d: %d less urgent requests were refused after the shortage", seed, refused)
		}
	}
}

// countShort returns the number of VMs that know of a shortage.
func (p *urgencyPlay) countShort() (count int) {
	for _, vm := range p.vms {
		if len(vm.model.Tables().Shortages.Rows) > 0 {
			count++
		}
	}
	return count
}

// countRefused returns the number of requests that were refused.
func (p *urgencyPlay) countRefused() (count int) {
	for _, request := range p.requests {
		if request.refused != "" {
			count++
		}
	}
	return count
}
