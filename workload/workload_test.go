package workload_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/workload"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// odd holds figures that a caller can send, valid or not.
var odd = []int{math.MinInt, -1, 0, 1, 20, 300, lentilmux.MaxHintTokens, lentilmux.MaxHintTokens + 1, math.MaxInt}

var queries = rapid.Custom(func(t *rapid.T) lentilmux.CostQuery {
	return lentilmux.CostQuery{
		Service: "desk-llm", Route: rapid.SampledFrom([]string{"llm", "chat"}).Draw(t, "route"), Workspace: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "workspace"),
		SharedPart: lentilmux.PromptPart(rapid.Uint64Range(0, 40).Draw(t, "part")), HintTokens: rapid.SampledFrom(odd).Draw(t, "hint"),
		TypicalTokens: rapid.SampledFrom(odd).Draw(t, "typical"), MaxTokens: rapid.SampledFrom(odd).Draw(t, "max"), DeliveredTokens: rapid.SampledFrom(odd).Draw(t, "delivered"),
	}
})

var answers = rapid.Custom(func(t *rapid.T) lentilmux.AnswerLength {
	return lentilmux.AnswerLength{Tokens: rapid.SampledFrom(append(odd, 7, 90, 1000)).Draw(t, "tokens"), Complete: rapid.Bool().Draw(t, "complete")}
})

// train observes answers that are drawn, and returns the time of the last one.
func train(t *rapid.T, estimators ...*workload.Estimator) (now time.Time) {
	now = testStart
	for range rapid.IntRange(0, 150).Draw(t, "answers") {
		query, answer := queries.Draw(t, "query"), answers.Draw(t, "answer")
		now = now.Add(time.Duration(rapid.IntRange(-100, 2000).Draw(t, "pause")) * time.Millisecond)
		for _, estimator := range estimators {
			estimator.Observe(query, answer, now)
		}
	}
	return now
}

// TestEstimateBounds guards against estimates that are no number, are negative or
// exceed the caller's maximum, whatever callers claim, which would make costs
// infinite or reservations negative.
func TestEstimateBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		estimator := workload.NewEstimator(workload.WithMinAnswers(1), workload.WithMaxRows(20))
		now := train(t, estimator)
		query := queries.Draw(t, "query")
		estimate := estimator.Estimate(query, now)
		if !estimate.Learned {
			return
		}
		for _, value := range []float64{estimate.MeanTokens, estimate.HighTokens, estimate.DeviationTokens} {
			if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
				t.Fatalf("estimate %+v", estimate)
			}
		}
		if estimate.HighTokens < estimate.MeanTokens || query.MaxTokens > 0 && estimate.HighTokens > float64(query.MaxTokens) {
			t.Fatalf("estimate %+v of %+v", estimate, query)
		}
	})
}

// TestEstimateDeterministic guards against estimates that depend on the order of a
// map: VMs with the same observations would then decide differently, and a failure
// could not be replayed.
func TestEstimateDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := []workload.Option{workload.WithMinAnswers(1), workload.WithMaxRows(12)}
		first, second := workload.NewEstimator(options...), workload.NewEstimator(options...)
		now := train(t, first, second)
		query := queries.Draw(t, "query")
		if a, b := first.Estimate(query, now), second.Estimate(query, now); a != b {
			t.Fatalf("%+v differs from %+v", a, b)
		}
	})
}

// TestLowerBoundsNeverShorten guards against answers that were cut off, as in an
// outage, being learned as short answers: too little room would be reserved while
// the fleet recovers.
func TestLowerBoundsNeverShorten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		estimator := workload.NewEstimator(workload.WithMinAnswers(1))
		now := train(t, estimator)
		query := queries.Draw(t, "query")
		query.DeliveredTokens = 0
		before := estimator.Estimate(query, now)
		for range rapid.IntRange(1, 60).Draw(t, "cut") {
			estimator.Observe(query, lentilmux.AnswerLength{Tokens: rapid.IntRange(1, 2000).Draw(t, "tokens")}, now)
		}
		if after := estimator.Estimate(query, now); before.Learned && after.MeanTokens < before.MeanTokens*(1-1e-6) {
			t.Fatalf("mean of %f fell to %f", before.MeanTokens, after.MeanTokens)
		}
	})
}

// TestRemainingGrowsTotal guards against a reservation that shrinks while its stream
// grows: the expected total of a stream never falls as it delivers more.
func TestRemainingGrowsTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		estimator := workload.NewEstimator(workload.WithMinAnswers(1))
		now := train(t, estimator)
		query := queries.Draw(t, "query")
		last := 0.0
		query.MaxTokens = 0
		for delivered := 0; delivered < 4000; delivered += rapid.IntRange(1, 900).Draw(t, "step") {
			query.DeliveredTokens = delivered
			estimate := estimator.Estimate(query, now)
			if total := float64(delivered) + estimate.MeanTokens; estimate.Learned && total < last*(1-1e-6) {
				t.Fatalf("after %d tokens the total of %f fell to %f", delivered, last, total)
			} else if estimate.Learned {
				last = total
			}
		}
	})
}

// TestRatioIsLearned guards against estimates off by the usual error of callers:
// whatever the ratio of answers to hints is, estimates for other hints follow it.
func TestRatioIsLearned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		estimator := workload.NewEstimator()
		ratio := rapid.Float64Range(0.1, 50).Draw(t, "ratio")
		query := lentilmux.CostQuery{Service: "desk-llm", Route: "llm"}
		for i := range 200 {
			query.HintTokens, query.SharedPart = 100+i, lentilmux.PromptPart(i)
			estimator.Observe(query, lentilmux.AnswerLength{Tokens: int(math.Round(ratio * float64(query.HintTokens))), Complete: true}, testStart)
		}
		query.HintTokens = rapid.IntRange(50, 500).Draw(t, "hint")
		if got, want := estimator.Estimate(query, testStart).MeanTokens, ratio*float64(query.HintTokens); math.Abs(got/want-1) > 0.12 {
			t.Fatalf("estimate %f, answers have %f", got, want)
		}
	})
}

// TestAbsurdHintIsNone guards against a caller that distorts what is learned of
// others by a negative, zero or absurd estimate.
func TestAbsurdHintIsNone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := workload.NewEstimator(workload.WithMinAnswers(1)), workload.NewEstimator(workload.WithMinAnswers(1))
		now := train(t, first, second)
		absurd := queries.Draw(t, "query")
		absurd.HintTokens = rapid.SampledFrom([]int{math.MinInt, -1, 0, lentilmux.MaxHintTokens + 1, math.MaxInt}).Draw(t, "hint")
		none := absurd
		none.HintTokens = 0
		first.Observe(absurd, lentilmux.AnswerLength{Tokens: 50, Complete: true}, now)
		second.Observe(none, lentilmux.AnswerLength{Tokens: 50, Complete: true}, now)
		query := queries.Draw(t, "other")
		if a, b := first.Estimate(query, now), second.Estimate(query, now); a != b {
			t.Fatalf("%+v differs from %+v", a, b)
		}
	})
}

// TestFigures prints estimates of mixed traffic. It guards against unintended
// changes of what is learned, and against figures of a service or a workspace that
// follow those of another one.
func TestFigures(t *testing.T) {
	estimator := workload.NewEstimator()
	observe := func(workspace string, part lentilmux.PromptPart, hint, tokens, count int, complete bool) {
		query := lentilmux.CostQuery{Service: "desk-llm", Route: "llm", Workspace: workspace, SharedPart: part, HintTokens: hint, TypicalTokens: 100}
		for range count {
			estimator.Observe(query, lentilmux.AnswerLength{Tokens: tokens, Complete: complete}, testStart)
		}
	}
	observe("even", 1, 100, 100, 100, true)
	observe("long", 2, 100, 1000, 40, true)
	observe("mixed", 3, 100, 50, 50, true)
	observe("mixed", 4, 100, 800, 50, true)
	observe("cut", 5, 100, 100, 20, true)
	observe("cut", 5, 100, 300, 40, false)
	var text string
	show := func(name string, query lentilmux.CostQuery, after time.Duration) {
		query.TypicalTokens = 100
		estimate := estimator.Estimate(query, testStart.Add(after))
		text += fmt.Sprintf("%-28s mean=%.0f high=%.0f deviation=%.0f learned=%t\n", name, estimate.MeanTokens, estimate.HighTokens, estimate.DeviationTokens, estimate.Learned)
	}
	query := func(workspace string, part lentilmux.PromptPart, hint, delivered int) lentilmux.CostQuery {
		return lentilmux.CostQuery{Service: "desk-llm", Route: "llm", Workspace: workspace, SharedPart: part, HintTokens: hint, DeliveredTokens: delivered}
	}
	show("answers as told", query("even", 1, 200, 0), 0)
	show("answers ten times as long", query("long", 2, 100, 0), 0)
	show("alike, short part", query("mixed", 3, 100, 0), 0)
	show("alike, long part", query("mixed", 4, 100, 0), 0)
	show("alike, unknown part", query("mixed", 9, 100, 0), 0)
	show("alike, 60 delivered", query("mixed", 9, 100, 60), 0)
	show("cut off at 300", query("cut", 5, 100, 0), 0)
	show("unknown workspace", query("new", 7, 100, 0), 0)
	limited := query("long", 2, 100, 0)
	limited.MaxTokens = 250
	show("with a maximum of 250", limited, 0)
	show("without a hint", query("even", 1, 0, 0), 0)
	show("another service", lentilmux.CostQuery{Service: "other", Route: "llm", HintTokens: 100}, 0)
	show("after two hours", query("even", 1, 100, 0), 2*time.Hour)
	assertGolden(t, "figures", text)
}

// TestPeerCountsBounds guards against figures of a peer that distort the estimates of a
// VM which has enough answers of its own, or make them no number.
func TestPeerCountsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		estimator := workload.NewEstimator()
		query := lentilmux.CostQuery{Service: "desk-llm", Route: "llm", HintTokens: 100}
		for range 200 {
			estimator.Observe(query, lentilmux.AnswerLength{Tokens: 100, Complete: true}, testStart)
		}
		before := estimator.Estimate(query, testStart)
		for _, counts := range estimator.Counts(10, testStart) {
			for i := range counts.Answers {
				counts.Answers[i] = rapid.SampledFrom([]float32{0, -1, 1, 1e30, float32(math.Inf(1)), float32(math.NaN())}).Draw(t, "weight")
			}
			estimator.SetPeerCounts(counts, testStart)
		}
		if after := estimator.Estimate(query, testStart); after != before {
			t.Fatalf("%+v became %+v", before, after)
		}
		fresh := lentilmux.CostQuery{Service: "desk-llm", Route: "other", HintTokens: 100}
		if estimate := estimator.Estimate(fresh, testStart); math.IsNaN(estimate.MeanTokens) || math.IsInf(estimate.MeanTokens, 0) {
			t.Fatalf("%+v", estimate)
		}
	})
}

// TestPeerCountsStart guards against a VM that starts without the figures of its peers,
// or that sends so many of them that digests grow without bound.
func TestPeerCountsStart(t *testing.T) {
	known, fresh := workload.NewEstimator(), workload.NewEstimator()
	query := lentilmux.CostQuery{Service: "desk-llm", Route: "llm", HintTokens: 100}
	for i := range 3000 {
		query.SharedPart = lentilmux.PromptPart(i)
		known.Observe(query, lentilmux.AnswerLength{Tokens: 700, Complete: true}, testStart)
	}
	counts := known.Counts(16, testStart)
	if len(counts) > 16 {
		t.Fatalf("%d keys are sent", len(counts))
	}
	for _, count := range counts {
		fresh.SetPeerCounts(count, testStart)
	}
	query.SharedPart = 5
	if estimate := fresh.Estimate(query, testStart); !estimate.Learned || math.Abs(estimate.MeanTokens/700-1) > 0.1 {
		t.Errorf("a fresh estimator expects %+v, answers have 700 tokens", estimate)
	}
}

// BenchmarkEstimate measures an estimate, which each choice of a path takes.
func BenchmarkEstimate(b *testing.B) {
	estimator := workload.NewEstimator()
	query := lentilmux.CostQuery{Service: "desk-llm", Route: "llm", Workspace: "a", SharedPart: 3, HintTokens: 100}
	for i := range 400 {
		estimator.Observe(query, lentilmux.AnswerLength{Tokens: 50 + i, Complete: i%5 > 0}, testStart)
	}
	b.ReportAllocs()
	for b.Loop() {
		estimator.Estimate(query, testStart)
	}
}
