package table

import "time"

// Limits are the times and bounds of the systems.
type Limits struct {
	StepTimeout            time.Duration // silence of a stage before the attempt fails
	ClaimTimeout           time.Duration // wait for an intent to be read back
	KeyWindow              time.Duration // how long an idempotency key is remembered
	ClockSkew              time.Duration // tolerated between callers and entry VMs
	OwnerTimeout           time.Duration // silence of an entry VM before its calls are unknown
	PeerTimeout            time.Duration // silence of a peer before its counts are dropped
	MaxStaleness           time.Duration // without log and peers before the node is not ready
	ExchangeInterval       time.Duration // between rounds of digests
	ExchangeFanout         int           // peers a round
	ExchangeBytesPerSecond int           // bytes a second that digests may take
	LoadInterval           time.Duration // between load reports of one upstream
	LeavingTimeout         time.Duration // how long evidence of leaving holds
	ReplacementDelay       time.Duration // without an engine before its pipeline is placed anew
	BrokenReplacementDelay time.Duration // the same if the pipeline cannot serve without it
	BaseEjectDuration      time.Duration // the first ejection; each further one doubles it
	MaxEjectDuration       time.Duration
	BusyDuration           time.Duration // without new work for an upstream that turned some away
	SlowStartDuration      time.Duration // until an upstream that came back takes its full part
	MaxQueued              int           // queued requests a workspace
	RetryRatio             float64       // retries allowed for each arrival
	MaxRetryTokens         float64       // retries saved up at most
	InitialRetryTokens     float64       // retries that a node starts with
	MaxAttempts            int           // attempts a request
	MaxCrashes             int           // upstreams one fingerprint may crash
	QuarantineDuration     time.Duration
	DrainGrace             time.Duration // of a planned stop, in which new work is still taken
	SnapshotInterval       time.Duration
	SnapshotRecords        int           // records
	MaxAnswerBytes         int           // bytes of an answer kept for resends
	MaxCandidates          int           // of a stage that the dispatch policy chooses from
	TokenGap               time.Duration // between tokens of an answer, up to which engines are filled
	AnswerTimeMargin       float64       // on the time that an answer is expected to take
}

// DefaultLimits returns the limits of a deployment of today's size.
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
