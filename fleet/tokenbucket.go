package fleet

import "time"

// TokenBucket bounds how much of something happens in a time. It is full at first.
type TokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// take takes an amount from the bucket, which fills at a rate a second up to
// burst. It returns false if that much is not left.
func (b *TokenBucket) take(now time.Time, perSecond, burst, amount float64) bool {
	if b.refilledAt.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = min(b.tokens+perSecond*now.Sub(b.refilledAt).Seconds(), burst)
	}
	b.refilledAt = now
	if b.tokens < amount {
		return false
	}
	b.tokens -= amount
	return true
}
