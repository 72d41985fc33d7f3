// Package workload estimates the work that requests cause, from the answers that
// were observed.
//
// The length of an answer is learned as its ratio to the estimate of the caller, or
// to the typical answer of the model if the caller gave none. The ratios are counted
// in logarithmic buckets, for the service, its routes, their workspaces, the first
// shared part of the prompt, and the size of the caller's estimate. The counts of a
// specific key are completed by those of the next general one, which decide while
// few answers of the specific key were seen. Counts decay over time.
//
// An answer that was cut off, or that reached the caller's maximum, shows only that
// the answer is at least as long. It counts as a lower bound (product-limit
// estimator), not as an answer of that length.
//
// # Usage
//
//	estimator := workload.NewEstimator()
//	estimator.Observe(query, lentilmux.AnswerLength{Tokens: 180, Complete: true}, now)
//	if estimate := estimator.Estimate(query, now); estimate.Learned {
//		reserve(estimate.MeanTokens)
//	}
package workload

import (
	"time"

	"lentilmux.example/lentilmux"
)

const (
	// defaultMaxRows bounds the keys that are kept, at 0.4 KB each.
	defaultMaxRows = 512
	// defaultHalfLife is the time in which the weight of an answer halves. A VM with
	// four requests a second then weighs about 700 answers.
	defaultHalfLife = 2 * time.Minute
	// defaultMinAnswers is the weight of answers of a service from which on estimates
	// are given. The mean of 32 answers whose deviation equals their mean is off by
	// less than 18 in 100 in two of three cases.
	defaultMinAnswers = 32
)

// Estimator implements [lentilmux.CostEstimator]. It is deterministic, and bounded in
// its rows.
type Estimator struct {
	rows       rowTable
	peers      rowTable // what peers have observed
	halfLife   time.Duration
	minAnswers float64
	scratch    distribution
}

// Option configures an [Estimator] in [NewEstimator].
type Option func(*Estimator)

// WithMaxRows sets the number of keys that are kept. The default is 512.
func WithMaxRows(rows int) Option {
	return func(e *Estimator) { e.rows.limit = max(rows, keyLevels) }
}

// WithHalfLife sets the time in which the weight of an answer halves. The default is
// two minutes.
func WithHalfLife(halfLife time.Duration) Option {
	return func(e *Estimator) { e.halfLife = max(halfLife, time.Millisecond) }
}

// WithMinAnswers sets the weight of answers of a service from which on estimates are
// given. The default is 32.
func WithMinAnswers(answers int) Option {
	return func(e *Estimator) { e.minAnswers = float64(answers) }
}

// NewEstimator returns an estimator that has observed nothing.
func NewEstimator(options ...Option) *Estimator {
	e := &Estimator{rows: rowTable{limit: defaultMaxRows}, peers: rowTable{limit: maxPeerRows}, halfLife: defaultHalfLife, minAnswers: defaultMinAnswers}
	for _, option := range options {
		option(e)
	}
	return e
}

// Estimate implements [lentilmux.CostEstimator].
func (e *Estimator) Estimate(query lentilmux.CostQuery, now time.Time) (estimate lentilmux.CostEstimate) {
	keys := queryKeys(query)
	e.scratch.reset()
	for level, key := range keys {
		own := 0.0
		if row := e.rows.find(key); row != nil {
			factor := row.weightAt(now, e.halfLife)
			own = factor * row.total()
			e.scratch.add(row, factor)
		}
		if row := e.peers.find(key); row != nil && own < maxPeerWeight {
			e.scratch.add(row, e.peerFactor(row, maxPeerWeight-own, now))
		}
		if level == 0 && e.scratch.informative() < e.minAnswers {
			return lentilmux.CostEstimate{}
		}
		e.scratch.solve()
	}
	return e.scratch.residual(query)
}

// Observe implements [lentilmux.CostEstimator].
func (e *Estimator) Observe(query lentilmux.CostQuery, answer lentilmux.AnswerLength, now time.Time) {
	if answer.Tokens <= 0 {
		return
	}
	bucket := bucketOf(float64(answer.Tokens) / baseTokens(query))
	complete := answer.Complete && (query.MaxTokens <= 0 || answer.Tokens < query.MaxTokens)
	for _, key := range queryKeys(query) {
		row := e.rows.findOrAdd(key, now)
		row.decayTo(now, e.halfLife)
		if complete {
			row.answers[bucket]++
		} else {
			row.bounds[bucket]++
		}
	}
}
