package lentilmux

import "time"

// CostQuery describes a request whose answer is to be estimated.
type CostQuery struct {
	Service         string
	Route           string
	Workspace       string     // empty for an anonymous request
	SharedPart      PromptPart // first shared part of the prompt; 0 without one
	HintTokens      int        // the caller's own estimate; one that is not positive or above [MaxHintTokens] counts as none
	TypicalTokens   int        // answer of a request without a hint, by the model's profile
	MaxTokens       int        // maximum number of completion tokens; not positive for no limit
	DeliveredTokens int        // completion tokens that the caller has already
}

// MaxHintTokens is the largest estimate of a caller that is used. It exceeds the
// context of any model, so that a larger one is a mistake of the caller.
const MaxHintTokens = 1 << 20

// Hint returns the caller's own estimate, or 0 if it gave none that can be used.
func (q *CostQuery) Hint() (tokens int) {
	if q.HintTokens <= 0 || q.HintTokens > MaxHintTokens {
		return 0
	}
	return q.HintTokens
}

// CostEstimate is the distribution of the completion tokens that a request still
// generates.
type CostEstimate struct {
	MeanTokens      float64
	HighTokens      float64 // 95 in 100 requests need no more
	DeviationTokens float64 // standard deviation
	Learned         bool    // whether enough answers were observed; the other fields are zero otherwise
}

// AnswerLength is the measured length of an answer.
type AnswerLength struct {
	Tokens   int
	Complete bool // whether the answer ended by itself; otherwise Tokens is a lower bound
}

// CostEstimator learns how many completion tokens requests need. It is not safe for
// concurrent use.
type CostEstimator interface {
	// Estimate returns the distribution of the tokens that the request still
	// generates after those that were delivered.
	Estimate(query CostQuery, now time.Time) (estimate CostEstimate)
	// Observe learns from an answer. DeliveredTokens of the query is ignored.
	Observe(query CostQuery, answer AnswerLength, now time.Time)
	// Counts returns the answers observed of the keys with the most answers, at most
	// limit, those with the most first.
	Counts(limit int, now time.Time) (counts []AnswerCounts)
	// SetPeerCounts replaces what peers have observed of a key.
	SetPeerCounts(counts AnswerCounts, now time.Time)
}

// AnswerCounts are the answers of one key of a [CostEstimator], by how they compare with
// the estimate that they were expected by. Their sum over VMs has the same meaning.
type AnswerCounts struct {
	Key     uint64
	Answers []float32 // weight of complete answers, by bucket
	Bounds  []float32 // weight of lower bounds, by bucket
}

// Add adds counts of the same key. Counts of another number of buckets, which another
// build may send, are ignored.
func (a *AnswerCounts) Add(other AnswerCounts) {
	if len(other.Answers) != len(a.Answers) || len(other.Bounds) != len(a.Bounds) {
		return
	}
	for i := range other.Answers {
		a.Answers[i] += other.Answers[i]
	}
	for i := range other.Bounds {
		a.Bounds[i] += other.Bounds[i]
	}
}

// Weight returns the weight of all answers.
func (a *AnswerCounts) Weight() (weight float64) {
	for _, count := range a.Answers {
		weight += float64(count)
	}
	for _, count := range a.Bounds {
		weight += float64(count)
	}
	return weight
}

// AnswerMeasuredEffect publishes the length of an answer and the one that was expected
// when its first attempt was sent.
type AnswerMeasuredEffect struct {
	Answer         AnswerLength
	ExpectedTokens float64
	Learned        bool // whether the expected length was learned from answers
}
