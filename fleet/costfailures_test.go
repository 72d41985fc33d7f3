package fleet_test

import (
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux"
)

// longAnswers returns requests whose answers are ten times as long as their callers
// claim.
func (p *costPlay) longAnswers() (part lentilmux.PromptPart, hint, tokens int) {
	hint = 50 + p.random.IntN(30)
	return 1, hint, 10 * hint
}

// TestLostDigests guards against reservations that drift apart when digests are lost:
// each digest replaces what earlier ones said of the work left.
func TestLostDigests(t *testing.T) {
	p := newCostPlay(t, 3, 3, 3)
	digests := 0
	p.keeps = func(*lentilmux.LoadDigest) bool { digests++; return digests%2 == 0 }
	p.play(10*time.Second, 40, p.longAnswers)
	p.forget()
	p.play(20*time.Second, 40, p.longAnswers)
	goldie.New(t).Assert(t, "cost_lost_digests", []byte(p.summary()))
	if p.preemptions > p.answered/10 {
		t.Errorf("%d preemptions in %d answers", p.preemptions, p.answered)
	}
	p.play(8*time.Second, 0, nil)
	p.keeps = nil
	p.play(time.Second, 0, nil)
	checkNoWork(t, p)
}

// checkNoWork checks that no VM counts work at an upstream, once all streams have ended.
func checkNoWork(t *testing.T, p *costPlay) {
	t.Helper()
	for _, vm := range p.vms {
		for _, row := range vm.model.Tables().Upstreams.Rows {
			if own, peers := row.OwnLoad, row.PeerLoad; own.Reserved+peers.Reserved != 0 || own.WorkLeft+peers.WorkLeft != 0 {
				t.Errorf("%s counts %+v and %+v at %s, where nothing runs", vm.name, own, peers, row.ID)
			}
		}
	}
}

// TestOldBuildWithoutWork guards against work that an old build does not report being
// taken for none: an upstream full of its streams would attract all others.
func TestOldBuildWithoutWork(t *testing.T) {
	p := newCostPlay(t, 4, 2, 2)
	p.keeps = func(digest *lentilmux.LoadDigest) bool {
		for i := range digest.Loads {
			digest.Loads[i].WorkLeft, digest.Loads[i].WorkKnown = 0, false
		}
		return true
	}
	p.play(8*time.Second, 30, p.longAnswers)
	for _, vm := range p.vms {
		for _, row := range vm.model.Tables().Upstreams.Rows {
			if row.PeerLoad.Streams == 0 || row.OwnLoad.TimedStreams == 0 {
				t.Fatalf("%s: the play gives %s no work of both VMs", vm.name, row.ID)
			}
			if row.PeerLoad.TimedStreams != 0 {
				t.Errorf("%s knows the work of %+v, which no digest named", vm.name, row.PeerLoad)
			}
		}
	}
}
