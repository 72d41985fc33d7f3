package table

import (
	"time"

	"lentilmux.example/lentilmux"
)

// Limits holds the timeouts, intervals and bounds that the systems use.
type Limits struct {
	StepTimeout            time.Duration // for one step of a stage; after it the attempt has failed
	ClaimTimeout           time.Duration // for an intent to be read back from the log
	KeyWindow              time.Duration // for which an idempotency key is kept
	ClockSkew              time.Duration // tolerated between callers and entry VMs
	OwnerTimeout           time.Duration // without a digest from an entry VM; after it the outcomes of its calls are unknown
	PeerTimeout            time.Duration // without a digest from a peer; after it its counts are dropped
	MaxStaleness           time.Duration // without contact with the log or any peer; after it the node is not ready
	ExchangeInterval       time.Duration // minimum time between two rounds of digest exchanges
	ExchangeFanout         int           // peers per round
	ExchangeBytesPerSecond int           // limit for the traffic of digests
	LoadInterval           time.Duration // between two fetches of one upstream's load report
	LeavingTimeout         time.Duration // for which a peer's report that an upstream is leaving is valid
	ReplacementDelay       time.Duration // from the ejection of an engine until it is excluded, and from its return until it is included
	BrokenReplacementDelay time.Duration // from the ejection of an engine until it is excluded, if its pipeline cannot serve at all
	BaseEjectDuration      time.Duration // of the first ejection; each further one is twice as long
	MaxEjectDuration       time.Duration
	MaxSilence             time.Duration // without an answer to probes that a sound upstream may show; after it its attempts are aborted
	BusyDuration           time.Duration // without new work for an upstream that rejected work or lost a connection
	SlowStartDuration      time.Duration // after an ejection, until the upstream gets its full share
	MaxQueued              int           // queued requests per workspace
	RetryRatio             float64       // retry tokens gained per arriving request
	MaxRetryTokens         float64       // size of the retry budget's token bucket
	InitialRetryTokens     float64       // retry tokens at the start of a node
	MaxAttempts            int           // attempts per request
	MaxCrashes             int           // upstreams crashed by one fingerprint, at which it is quarantined
	QuarantineDuration     time.Duration // since the last crash
	DrainGrace             time.Duration // at the start of a drain, in which new requests are still accepted
	SnapshotInterval       time.Duration // between configuration snapshots in the log
	SnapshotRecords        int           // configuration records after which a snapshot is due early
	MaxAnswerBytes         int           // maximum body of an answer that is stored for its idempotency key
	MaxCandidates          int           // candidates per stage for the dispatch policy
	TokenGap               time.Duration // target gap between the tokens of a response stream; engines are filled up to it
	AnswerTimeMargin       float64       // factor on the expected time of an answer
}

// DefaultLimits returns the limits for a deployment of the present size.
func DefaultLimits() Limits {
	return Limits{
		StepTimeout:            5 * time.Second,
		ClaimTimeout:           2 * time.Second,
		KeyWindow:              time.Hour,
		ClockSkew:              time.Minute,
		OwnerTimeout:           10 * time.Second,
		PeerTimeout:            3 * time.Second,
		MaxStaleness:           5 * time.Second,
		ExchangeInterval:       250 * time.Millisecond,
		ExchangeFanout:         3,
		ExchangeBytesPerSecond: 12000,
		LoadInterval:           500 * time.Millisecond,
		LeavingTimeout:         5 * time.Second,
		ReplacementDelay:       10 * time.Second,
		BrokenReplacementDelay: 2 * time.Second,
		BaseEjectDuration:      500 * time.Millisecond,
		MaxEjectDuration:       10 * time.Second,
		MaxSilence:             lentilmux.ToleratedSilence,
		BusyDuration:           100 * time.Millisecond,
		SlowStartDuration:      2 * time.Second,
		MaxQueued:              512,
		RetryRatio:             0.1,
		MaxRetryTokens:         50,
		InitialRetryTokens:     10,
		MaxAttempts:            5,
		MaxCrashes:             2,
		QuarantineDuration:     10 * time.Minute,
		DrainGrace:             5 * time.Second,
		SnapshotInterval:       10 * time.Minute,
		SnapshotRecords:        256,
		MaxAnswerBytes:         64 << 10,
		MaxCandidates:          16,
		TokenGap:               80 * time.Millisecond,
		AnswerTimeMargin:       1.2,
	}
}
