package fleet

import "time"

// TokenBucket is a rate limiter. It starts full.
type TokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// take removes an amount of tokens from the bucket, which refills at perSecond
// up to burst. It returns false, and removes none, if too few are left.
func (b *TokenBucket) take(now time.Time, perSecond, burst, amount float64) bool {
	if !b.holds(now, perSecond, burst, amount) {
		return false
	}
	b.tokens -= amount
	return true
}

// holds refills the bucket as take does, and reports whether it holds an amount of
// tokens.
func (b *TokenBucket) holds(now time.Time, perSecond, burst, amount float64) bool {
	if b.refilledAt.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = min(b.tokens+perSecond*now.Sub(b.refilledAt).Seconds(), burst)
	}
	b.refilledAt = now
	return b.tokens >= amount
}
