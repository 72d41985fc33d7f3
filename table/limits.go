package table

import "time"

// Limits are the times and bounds of the systems.
type Limits struct {
	StepTimeout    time.Duration // silence of a stage before the attempt fails
	ClaimTimeout   time.Duration // wait for an intent to be read back
	KeyWindow      time.Duration // how long an idempotency key is remembered
	ClockSkew      time.Duration // tolerated between callers and entry VMs
	OwnerTimeout   time.Duration // silence of an entry VM before its calls are unknown
	PeerSilence    time.Duration // silence of a peer before its counts are dropped
	StaleLimit     time.Duration // without log and peers before the node is not ready
	ExchangeEvery  time.Duration // between rounds of digests
	ExchangeFanout int           // peers a round
	ExchangeBytes  int           // bytes a second that digests may take
	LoadEvery      time.Duration // between load reports of one upstream
	LeavingFor     time.Duration // how long evidence of leaving holds
	ReplaceAfter   time.Duration // without an engine before its pipeline is placed anew
	BrokenAfter    time.Duration // the same if the pipeline cannot serve without it
	EjectBase      time.Duration // the first ejection; each further one doubles it
	EjectMost      time.Duration
	BusyFor        time.Duration // without new work for an upstream that turned some away
	SlowStart      time.Duration // until an upstream that came back takes its full part
	QueueMost      int           // queued requests a workspace
	RetryShare     float64       // retries allowed for each arrival
	RetryMost      float64       // retries saved up at most
	RetryFirst     float64       // retries that a node starts with
	AttemptsMost   int           // attempts a request
	CrashesMost    int           // upstreams one fingerprint may crash
	QuarantineFor  time.Duration
	DrainGrace     time.Duration // of a planned stop, in which new work is still taken
	SnapshotEvery  time.Duration
	SnapshotAfter  int           // records
	AnswerMost     int           // bytes of an answer kept for resends
	Candidates     int           // of a stage that the dispatch policy chooses from
	TokenGap       time.Duration // between tokens of an answer, up to which engines are filled
	Margin         float64       // on the time that an answer is expected to take
}

// DefaultLimits returns the limits of a deployment of today's size.
func DefaultLimits() Limits {
	return Limits{
		StepTimeout:    5 * time.Second,
		ClaimTimeout:   2 * time.Second,
		KeyWindow:      time.Hour,
		ClockSkew:      time.Minute,
		OwnerTimeout:   10 * time.Second,
		PeerSilence:    3 * time.Second,
		StaleLimit:     5 * time.Second,
		ExchangeEvery:  250 * time.Millisecond,
		ExchangeFanout: 3,
		ExchangeBytes:  12000,
		LoadEvery:      500 * time.Millisecond,
		LeavingFor:     5 * time.Second,
		ReplaceAfter:   10 * time.Second,
		BrokenAfter:    2 * time.Second,
		EjectBase:      500 * time.Millisecond,
		EjectMost:      10 * time.Second,
		BusyFor:        100 * time.Millisecond,
		SlowStart:      2 * time.Second,
		QueueMost:      512,
		RetryShare:     0.1,
		RetryMost:      50,
		RetryFirst:     10,
		AttemptsMost:   5,
		CrashesMost:    2,
		QuarantineFor:  10 * time.Minute,
		DrainGrace:     5 * time.Second,
		SnapshotEvery:  10 * time.Minute,
		SnapshotAfter:  256,
		AnswerMost:     64 << 10,
		Candidates:     16,
		TokenGap:       80 * time.Millisecond,
		Margin:         1.2,
	}
}
