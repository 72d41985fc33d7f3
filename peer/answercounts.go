package peer

import (
	"math"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/peer/peerpb"
)

const (
	// answerBuckets is the number of buckets of answer counts in a digest.
	answerBuckets = 49
	// maxAnswerCounts bounds the keys that are read from a digest.
	maxAnswerCounts = 64
	// answerUnit is the unit of the weight of answers in a digest.
	answerUnit = 0.25
	// maxAnswerWeight bounds the weight of a bucket, to four bytes.
	maxAnswerWeight = 1 << 20
)

// answerCountsToProto converts the answer counts of a digest. Counts with another number
// of buckets are dropped.
func answerCountsToProto(all []lentilmux.AnswerCounts) (messages []*peerpb.AnswerCounts) {
	for _, counts := range all {
		if len(counts.Answers) != answerBuckets || len(counts.Bounds) != answerBuckets {
			continue
		}
		answers, bounds := weightsToProto(counts.Answers), weightsToProto(counts.Bounds)
		first := 0
		for first < answerBuckets && answers[first] == 0 && bounds[first] == 0 {
			first++
		}
		message := &peerpb.AnswerCounts{Key: counts.Key, Answers: trimZeros(answers[first:]), Bounds: trimZeros(bounds[first:])}
		if first < answerBuckets {
			message.FirstBucket = uint32(first)
		}
		messages = append(messages, message)
	}
	return messages
}

// weightsToProto converts weights.
func weightsToProto(weights []float32) (quarters []uint32) {
	quarters = make([]uint32, len(weights))
	for i, weight := range weights {
		quarters[i] = uint32(math.Round(min(max(float64(weight), 0), maxAnswerWeight) / answerUnit))
	}
	return quarters
}

// trimZeros returns values without the zeros at their end.
func trimZeros(values []uint32) (trimmed []uint32) {
	for len(values) > 0 && values[len(values)-1] == 0 {
		values = values[:len(values)-1]
	}
	return values
}

// answerCountsFromProto converts the answer counts of a digest. It drops those that
// exceed the buckets, and keys beyond maxAnswerCounts.
func answerCountsFromProto(messages []*peerpb.AnswerCounts) (all []lentilmux.AnswerCounts) {
	for _, message := range messages[:min(len(messages), maxAnswerCounts)] {
		first := message.GetFirstBucket()
		if first >= answerBuckets || len(message.GetAnswers()) > answerBuckets-int(first) || len(message.GetBounds()) > answerBuckets-int(first) {
			continue
		}
		all = append(all, lentilmux.AnswerCounts{
			Key: message.GetKey(), Answers: weightsFromProto(message.GetAnswers(), int(first)), Bounds: weightsFromProto(message.GetBounds(), int(first)),
		})
	}
	return all
}

// weightsFromProto converts weights, the first of which belongs to a bucket.
func weightsFromProto(quarters []uint32, first int) (weights []float32) {
	weights = make([]float32, answerBuckets)
	for i, value := range quarters {
		weights[first+i] = float32(min(float64(value)*answerUnit, maxAnswerWeight))
	}
	return weights
}
