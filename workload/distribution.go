package workload

import (
	"math"

	"lentilmux.example/lentilmux"
)

const (
	// generalWeight is the weight of a general key in the counts of a specific one, in
	// answers.
	generalWeight = 8
	// highQuantile is the quantile that [lentilmux.CostEstimate] calls high.
	highQuantile = 0.95
)

// distribution is the distribution of the ratios of one key, computed from the
// general keys to the specific ones.
type distribution struct {
	answers [bucketCount]float64 // weight of answers, and of the general key
	bounds  [bucketCount]float64 // weight of lower bounds
	shares  [bucketCount]float64 // of all answers; zero before the first call of solve
}

// reset empties the distribution.
func (d *distribution) reset() { *d = distribution{} }

// add adds the counts of a row, multiplied by a factor.
func (d *distribution) add(r *row, factor float64) {
	for i := range r.answers {
		d.answers[i] += factor * float64(r.answers[i])
		d.bounds[i] += factor * float64(r.bounds[i])
	}
}

// informative returns the weight of the answers that tell something of the length:
// complete ones, and lower bounds that are at least as long as estimated.
func (d *distribution) informative() (weight float64) {
	for i := range d.answers {
		weight += d.answers[i]
		if i >= unitBucket {
			weight += d.bounds[i]
		}
	}
	return weight
}

// solve computes the shares from the counts, by the product-limit estimator. The
// share above the largest bound goes to the next bucket. The result becomes the
// counts to which those of the next key are added.
func (d *distribution) solve() {
	atRisk, last := 0.0, -1
	for i := range d.answers {
		atRisk += d.answers[i] + d.bounds[i]
		if d.answers[i]+d.bounds[i] > 0 {
			last = i
		}
	}
	if last < 0 {
		return
	}
	survival := 1.0
	d.shares = [bucketCount]float64{}
	for i := range last + 1 {
		if atRisk <= 0 {
			break
		}
		d.shares[i] = survival * min(d.answers[i]/atRisk, 1)
		survival -= d.shares[i]
		atRisk -= d.answers[i] + d.bounds[i]
	}
	if d.bounds[last] > 0 {
		last = min(last+1, bucketCount-1)
	}
	d.shares[last] += max(survival, 0)
	for i, share := range d.shares {
		d.answers[i], d.bounds[i] = generalWeight*share, 0
	}
}

// residual returns the distribution of the tokens that a request still generates
// after those that were delivered.
func (d *distribution) residual(query lentilmux.CostQuery) (estimate lentilmux.CostEstimate) {
	base, delivered, limit := baseTokens(query), float64(max(query.DeliveredTokens, 0)), math.Inf(1)
	if query.MaxTokens > 0 {
		limit = max(float64(query.MaxTokens)-delivered, 0)
	}
	var total, sum, squares float64
	for i, share := range d.shares {
		longer, rest := restOfBucket(i, delivered/base)
		share, rest = share*longer, min(rest*base, limit)
		total, sum, squares = total+share, sum+share*rest, squares+share*rest*rest
	}
	estimate.Learned = true
	if total < minShare {
		estimate.MeanTokens = min(max(delivered*outlierGrowth, 1), limit)
		estimate.HighTokens = estimate.MeanTokens
		return estimate
	}
	mean := sum / total
	estimate.MeanTokens = min(max(mean, 1), limit)
	estimate.DeviationTokens = math.Sqrt(max(squares/total-mean*mean, 0))
	estimate.HighTokens = max(min(d.quantile(base, delivered, total), limit), estimate.MeanTokens)
	return estimate
}

const (
	// minShare is the smallest share of answers that is told from none.
	minShare = 1e-9
	// outlierGrowth is the part of the delivered tokens that a stream is expected to
	// deliver which is longer than any answer observed: to the next bucket.
	outlierGrowth = 0.19
)

// quantile returns the high quantile of the tokens after those that were delivered.
// total is the share of answers that are longer.
func (d *distribution) quantile(base, delivered, total float64) (tokens float64) {
	below := 0.0
	for i, share := range d.shares {
		longer, rest := restOfBucket(i, delivered/base)
		if longer > 0 {
			below += share * longer
			tokens = rest * base
		}
		if below >= highQuantile*total {
			return tokens
		}
	}
	return tokens
}
