package fleet

import "time"

// TokenBucket bounds how much of something happens in a time. It is full at first.
type TokenBucket struct {
	left float64
	at   time.Time
}

// take takes an amount from the bucket, which fills at a rate a second up to
// burst. It returns false if that much is not left.
func (b *TokenBucket) take(now time.Time, perSecond, burst, amount float64) bool {
	if b.at.IsZero() {
		b.left = burst
	} else {
		b.left = min(b.left+perSecond*now.Sub(b.at).Seconds(), burst)
	}
	b.at = now
	if b.left < amount {
		return false
	}
	b.left -= amount
	return true
}
