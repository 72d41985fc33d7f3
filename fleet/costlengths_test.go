package fleet_test

import (
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux"
)

// TestAnswersTenTimesAsLongAsTold guards against room that is dealt by what callers
// claim: each estimate is a tenth of the answer, and upstreams preempt streams that
// the VMs have sent although there was no room.
func TestAnswersTenTimesAsLongAsTold(t *testing.T) {
	p := newCostPlay(t, 1, 3, 3)
	next := func() (part lentilmux.PromptPart, hint, tokens int) {
		hint = 50 + p.random.IntN(30)
		return 1, hint, 10 * hint
	}
	p.play(10*time.Second, 40, next)
	p.forget()
	p.play(30*time.Second, 40, next)
	goldie.New(t).Assert(t, "cost_ten_times", []byte(p.summary()))
	if p.preemptions > p.answered/10 {
		t.Errorf("%d preemptions in %d answers", p.preemptions, p.answered)
	}
}

// TestRequestsAlikeWithDifferentCost guards against a mean over all requests: only the
// first shared part tells the long answers, and upstreams with many of them run out of
// room while those with short ones stay half empty.
func TestRequestsAlikeWithDifferentCost(t *testing.T) {
	p := newCostPlay(t, 2, 3, 3)
	next := func() (part lentilmux.PromptPart, hint, tokens int) {
		if p.random.IntN(4) == 0 {
			return 7, 100, 1200 + p.random.IntN(300)
		}
		return 8, 100, 40 + p.random.IntN(20)
	}
	p.play(10*time.Second, 40, next)
	p.forget()
	p.play(30*time.Second, 40, next)
	goldie.New(t).Assert(t, "cost_alike", []byte(p.summary()))
	if p.preemptions > p.answered/10 {
		t.Errorf("%d preemptions in %d answers", p.preemptions, p.answered)
	}
}

// TestRequestsAlikeWithoutSign guards against reservations that stand still: nothing
// tells the long answers before they run on, and the room of the short ones is dealt
// to them as if they ended like the others.
func TestRequestsAlikeWithoutSign(t *testing.T) {
	p := newCostPlay(t, 2, 3, 3)
	next := func() (part lentilmux.PromptPart, hint, tokens int) {
		if p.random.IntN(4) == 0 {
			return 7, 100, 1200 + p.random.IntN(300)
		}
		return 7, 100, 40 + p.random.IntN(20)
	}
	p.play(10*time.Second, 40, next)
	p.forget()
	p.play(30*time.Second, 40, next)
	goldie.New(t).Assert(t, "cost_alike_no_sign", []byte(p.summary()))
	if p.preemptions > p.answered/10 {
		t.Errorf("%d preemptions in %d answers", p.preemptions, p.answered)
	}
}
