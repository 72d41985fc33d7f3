package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux"
)

// toldAnswers returns requests whose answers are as long as told.
func (p *costPlay) toldAnswers() (part lentilmux.PromptPart, hint, tokens int) {
	tokens = 80 + p.random.IntN(40)
	return 1, tokens, tokens
}

// loadShare returns the sends to an upstream relative to the mean over all.
func (p *costPlay) loadShare(ids ...string) (share float64) {
	sum, part := 0, 0
	for _, upstream := range p.upstreams {
		sum += p.load[upstream.record.ID]
	}
	for _, id := range ids {
		part += p.load[id]
	}
	return float64(part) / float64(len(ids)) / (float64(sum) / float64(len(p.upstreams)))
}

// TestOneInTenThreeTimesAsSlow guards against upstreams that are slower than they
// report: the streams of their paths are late, and none of the figures that VMs had
// of them shows it.
func TestOneInTenThreeTimesAsSlow(t *testing.T) {
	p := newCostPlay(t, 5, 3, 10)
	p.slow["u4"], p.slow["u11"] = 3, 3
	p.play(15*time.Second, 50, p.toldAnswers)
	p.forget()
	p.play(15*time.Second, 50, p.toldAnswers)
	share := p.loadShare("u4", "u11")
	goldie.New(t).Assert(t, "cost_one_in_ten", []byte(p.summary()+fmt.Sprintf("load of the slow ones=%.2f\n", share)))
	if share > 0.6 {
		t.Errorf("the slow upstreams get %.2f of the mean load", share)
	}
}

// TestSlowLeakOfRoom guards against an upstream that loses room without a report: it
// preempts the streams that are sent there as before.
func TestSlowLeakOfRoom(t *testing.T) {
	p := newCostPlay(t, 6, 3, 9)
	for second := range 50 {
		p.leak["u1"] = min(0.03*float64(second), 0.75)
		p.play(time.Second, 140, func() (part lentilmux.PromptPart, hint, tokens int) {
			tokens = 300 + p.random.IntN(100)
			return 1, tokens, tokens
		})
	}
	share := p.loadShare("u1")
	goldie.New(t).Assert(t, "cost_slow_leak", []byte(p.summary()+fmt.Sprintf("load of the leaking one=%.2f\n", share)))
	if p.pauses > 150 {
		t.Errorf("%d pauses of more than 250 ms", p.pauses)
	}
}

// TestFalseDigestSpeed guards against a digest with a ratio that is no number or far
// from any possible one: it must stay in bounds, and pass when the digests end.
func TestFalseDigestSpeed(t *testing.T) {
	p := newCostPlay(t, 7, 2, 4)
	p.keeps = func(digest *lentilmux.LoadDigest) bool {
		for i := range digest.Loads {
			if digest.Loads[i].Upstream == lentilmux.HashUpstream("u2") {
				digest.Loads[i].Speed = lentilmux.UpstreamSpeed{Step: 1e9, Prefill: 1e9, Weight: 1e12}
			}
		}
		return true
	}
	p.play(5*time.Second, 40, p.toldAnswers)
	p.keeps = nil
	p.play(25*time.Second, 40, p.toldAnswers)
	p.forget()
	p.play(10*time.Second, 40, p.toldAnswers)
	share := p.loadShare("u2")
	goldie.New(t).Assert(t, "cost_false_digest", []byte(p.summary()+fmt.Sprintf("load of the one with the false speed=%.2f\n", share)))
	if share < 0.6 {
		t.Errorf("the upstream gets %.2f of the mean load after the false digests ended", share)
	}
}
