package fleet

import "time"

// Between two digests no VM knows what the others have sent, and all of them see the
// same free memory. What they may have sent is estimated from this VM's own requests:
// callers reach the VMs alike.

const (
	// relayHops is the number of digests in a row by which the load of a VM reaches
	// all others where relays are used: from the VM to a relay of its zone, from there
	// to those of other zones, and to their VMs.
	relayHops = 3
	// rateBuckets is the number of buckets of the retry window, with the one that is
	// filling, over which the rate of requests is measured.
	rateBuckets = 3
)

// loadAge returns the longest time until the load of peers at an upstream is known
// here.
func (t *Tables) loadAge(row *UpstreamRow) (age time.Duration) {
	if !t.usesRelays() {
		return t.Limits.DigestInterval
	}
	rounds := relayHops
	if len(t.Upstreams.Rows) > maxWholeSum && row.Zone != t.Self.Zone {
		rounds += sumSlices - 1
	}
	return time.Duration(rounds) * t.Limits.RelayDigestInterval
}

// peerRate returns the expected rate, per second, of the requests of all peers for a
// service. The one that is being decided on counts, so that the rate is never zero.
func (t *Tables) peerRate(service string, now time.Time) (perSecond float64) {
	peers := t.LiveVMs(now) - 1
	if peers <= 0 {
		return 0
	}
	count, period := t.RetryBudgets.GetOrCreate(service).recent(now, t.Limits.RetryWindow)
	return float64(peers) * float64(count+1) / period.Seconds()
}

// peerStreams returns how many streams of peers run on an upstream. If it is lost, all of
// them look for another one at the same time.
func (t *Tables) peerStreams(upstream string) (count float64) {
	row := t.Upstreams.Find(upstream)
	if row == nil {
		return 0
	}
	return float64(row.PeerLoad.Streams)
}

// recent returns the requests and retries of the last buckets of the window, and the
// time that these cover.
func (b *RetryBudgetRow) recent(now time.Time, window time.Duration) (count int, period time.Duration) {
	b.advanceBuckets(now, window)
	width := max(window/(bucketCount-1), 1)
	for i := range int64(rateBuckets) {
		bucket := max(b.currentBucket-i, 0) % bucketCount
		count += b.requests[bucket] + b.retries[bucket]
	}
	return count, (rateBuckets-1)*width + time.Duration(now.UnixNano()%int64(width))
}
