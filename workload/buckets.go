package workload

import (
	"math"

	"lentilmux.example/lentilmux"
)

const (
	// bucketsPerOctave is the number of buckets for a factor of two. A ratio differs
	// from the centre of its bucket by at most 9 in 100.
	bucketsPerOctave = 4
	// lowestOctave and highestOctave bound the ratios that are told apart: from 1/32
	// to 128.
	lowestOctave  = -5
	highestOctave = 7
	bucketCount   = (highestOctave-lowestOctave)*bucketsPerOctave + 1
	// unitBucket is the bucket of answers as long as estimated.
	unitBucket = -lowestOctave * bucketsPerOctave
)

// bucketRatios are the centres of the buckets.
var bucketRatios = computeBucketRatios()

func computeBucketRatios() (ratios [bucketCount]float64) {
	for i := range ratios {
		ratios[i] = math.Exp2(float64(i-unitBucket) / bucketsPerOctave)
	}
	return ratios
}

// bucketOf returns the bucket of a positive ratio.
func bucketOf(ratio float64) (bucket int) {
	return min(max(int(math.Round(math.Log2(ratio)*bucketsPerOctave))+unitBucket, 0), bucketCount-1)
}

// bucketWidth is the factor from the centre of a bucket to its upper end.
var bucketWidth = math.Exp2(0.5 / bucketsPerOctave)

// restOfBucket returns the part of the answers of a bucket that is longer than a
// ratio, and by how much on average. Answers are taken as spread evenly over their
// bucket.
func restOfBucket(bucket int, ratio float64) (longer, rest float64) {
	low, high := bucketRatios[bucket]/bucketWidth, bucketRatios[bucket]*bucketWidth
	switch {
	case ratio <= low:
		return 1, (low+high)/2 - ratio
	case ratio < high:
		return (high - ratio) / (high - low), (high - ratio) / 2
	default:
		return 0, 0
	}
}

// baseTokens returns the tokens that the ratios of a query refer to: the caller's
// estimate or the typical answer, but not more than its maximum.
func baseTokens(query lentilmux.CostQuery) (tokens float64) {
	base := query.Hint()
	if base == 0 {
		base = query.TypicalTokens
	}
	if query.MaxTokens > 0 {
		base = min(base, query.MaxTokens)
	}
	return float64(max(base, 1))
}
