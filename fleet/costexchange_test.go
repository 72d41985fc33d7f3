package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux"
)

// playedQuery is a query for the requests of a cost play.
var playedQuery = lentilmux.CostQuery{Service: "desk-llm", Route: "llm", Workspace: "workspace-k1", SharedPart: 1, HintTokens: 60, TypicalTokens: 100}

// describeEstimate returns what a VM expects of an answer.
func (p *costPlay) describeEstimate(vm *simulatedVM) string {
	estimate := vm.model.Tables().Costs.Estimator.Estimate(playedQuery, p.now)
	return fmt.Sprintf("learned=%t mean=%.0f\n", estimate.Learned, estimate.MeanTokens)
}

// startFresh starts a VM without state.
func (p *costPlay) startFresh() (vm *simulatedVM) {
	vm = &simulatedVM{name: "entry-99"}
	p.startVM(vm, "zone-0")
	for _, known := range p.vms {
		p.introduce(known)
	}
	return vm
}

// TestFreshVM guards against a VM that begins with the callers' estimates after each
// start, although the fleet knows better: it sends more than there is room for.
func TestFreshVM(t *testing.T) {
	for _, vms := range []int{3, 20} { // 20 VMs use relays
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			p := newCostPlay(t, 8, vms, 3)
			p.play(20*time.Second, 40, p.longAnswers)
			fresh := p.startFresh()
			p.pickVM = func() *simulatedVM { return p.vms[0] }
			text := "at the start: " + p.describeEstimate(fresh)
			p.play(6*time.Second, 10, p.longAnswers)
			text += "after six seconds: " + p.describeEstimate(fresh)
			goldie.New(t).Assert(t, fmt.Sprintf("cost_fresh_%d", vms), []byte(text))
			if estimate := fresh.model.Tables().Costs.Estimator.Estimate(playedQuery, p.now); !estimate.Learned || estimate.MeanTokens < 500 {
				t.Errorf("a VM without answers of its own expects %+v, answers have 600 tokens", estimate)
			}
		})
	}
}

// TestOldBuildWithoutCounts guards against a fresh VM that takes missing counts for
// short answers: it begins as before this change set.
func TestOldBuildWithoutCounts(t *testing.T) {
	p := newCostPlay(t, 9, 3, 3)
	p.keeps = func(digest *lentilmux.LoadDigest) bool { digest.Counts = nil; return true }
	p.play(10*time.Second, 40, p.longAnswers)
	fresh := p.startFresh()
	p.play(5*time.Second, 0, nil)
	if estimate := fresh.model.Tables().Costs.Estimator.Estimate(playedQuery, p.now); estimate.Learned {
		t.Errorf("a VM without any answers expects %+v", estimate)
	}
}

// TestFalseCounts guards against a digest that claims very many answers of an extreme
// length: it counts as little as a minute of the VM's own answers, and passes.
func TestFalseCounts(t *testing.T) {
	p := newCostPlay(t, 10, 2, 3)
	p.keeps = func(digest *lentilmux.LoadDigest) bool {
		for i := range digest.Counts {
			counts := &digest.Counts[i]
			counts.Answers = make([]float32, len(counts.Answers))
			counts.Answers[len(counts.Answers)-1] = 1e30
		}
		return true
	}
	p.play(30*time.Second, 40, p.toldAnswers)
	text := "while the digests are false: " + p.describeEstimate(p.vms[0])
	p.keeps = nil
	p.play(5*time.Second, 40, p.toldAnswers)
	text += "after five seconds of sound ones: " + p.describeEstimate(p.vms[0])
	goldie.New(t).Assert(t, "cost_false_counts", []byte(text))
	if estimate := p.vms[0].model.Tables().Costs.Estimator.Estimate(playedQuery, p.now); estimate.MeanTokens > 70 {
		t.Errorf("the VM expects %+v, answers have 60 tokens", estimate)
	}
}
