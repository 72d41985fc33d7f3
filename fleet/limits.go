package fleet

import "time"

// Limits are the timeouts, rates and sizes that the systems use.
type Limits struct {
	MaxConfigAge             time.Duration // maximum age of the configuration for accepting API keys
	MaxReadyConfigAge        time.Duration // maximum age of the configuration for being ready
	StoreRecoveryGrace       time.Duration // from the recovery of the store until missing upstream entries take effect
	GapRecoveryGrace         time.Duration // from the recovery of the store until layers that a zone lacks are placed on other upstreams
	RetryRatio               float64       // retry budget: retries allowed per request
	RetrySlack               float64       // retry budget: retries allowed in addition, per window and for all VMs together
	RetryWindow              time.Duration // sliding window of the retry budget
	MaxAttempts              int           // attempts of one request
	MinStallTimeout          time.Duration // shortest stall timeout: a shorter silence of an attempt is never reported
	MaxStallTimeout          time.Duration // longest stall timeout: a longer silence of an attempt is always reported
	FullDuration             time.Duration // for which an upstream that refused a request gets no new ones
	CrossZoneFraction        float64       // fraction of the bandwidth between zones that paths may use
	MaxProbesPerSecond       float64       // probes because of failures and stalls, for all VMs together
	DigestInterval           time.Duration // between two load digests
	RelayDigestInterval      time.Duration // the same in a fleet that uses relays
	MinDigestInterval        time.Duration // until a digest that announces a dead upstream
	PeerTimeout              time.Duration // without a digest until a peer is lost
	BaseSuspectDuration      time.Duration // until a suspected upstream is probed again; doubles up to MaxSuspectDuration
	MaxSuspectDuration       time.Duration
	MaxConsecutiveFailures   int           // failed attempts in a row that eject an upstream
	BaseEjectDuration        time.Duration // of the first ejection; doubles with each further failure up to MaxEjectDuration
	MaxEjectDuration         time.Duration
	ProbeInterval            time.Duration // between two regular probes of an upstream
	MinRulesReadInterval     time.Duration // between two reads of the configuration
	MinUpstreamsReadInterval time.Duration // between two reads of the upstreams' entries
	MaxStoreSilence          time.Duration // from the silence of a connection to the store until what it kept back is read on another one
	PlacementQuietPeriod     time.Duration // without new upstreams, after which layers are first placed
	MaxPlacementDelay        time.Duration // after which layers are first placed even if new upstreams still appear
	PlanTimeout              time.Duration // after which a plan of layer ranges without a result is requested again
	GapDelay                 time.Duration // for which a zone lacks layers until one of its upstreams is ordered to hold them
	OrderTimeout             time.Duration // after which an order without visible effect is checked and sent again
	MaxPendingDuration       time.Duration // from the start, in which requests wait for the first reads
	RoomWaitFraction         float64       // fraction of a route's latency target for which a request may wait for room
	MaxRoomWaiters           float64       // requests that may wait for room, as a fraction of those in flight
	ShortageDuration         time.Duration // for which less urgent requests leave room to others that found none; at most PeerTimeout
	DeferredLastTry          bool          // whether a request that left room to others is sent at the end of its wait, if there is room then
	ResumeWait               time.Duration // for which a stream that broke off may wait for another attempt
	RefusalRetryAfter        time.Duration // after which a refused caller may retry
	MaxCrashes               int           // upstream crashes after which a prompt part or a request is held
	CrashRetention           time.Duration // for which crashes of a request are remembered
	BasePartHold             time.Duration // for which a prompt part is held first; doubles with each crash of a trial up to MaxPartHold
	MaxPartHold              time.Duration
	SoundPartWindow          time.Duration // for which an answer speaks for the parts of its prompt: they need twice MaxCrashes to be held
	AnnounceInterval         time.Duration // between two writes of this VM's record to the store
	ProgressTimeout          time.Duration // without progress until an upstream of a stalled path is probed
	MinProbeInterval         time.Duration // between two probes of an upstream because of failures and stalls
	MaxMissedProbes          int           // unanswered probes in a row that make an upstream dead
	StallReportInterval      time.Duration // between two reports of a stalled attempt
	MaxMoves                 int           // moves of one request to other paths
	MaxMeshVMs               int           // largest fleet in which all VMs exchange digests directly; larger ones use relays
	RelaysPerZone            int           // digest relays of an availability zone
	RelayRetryInterval       time.Duration // until an unresponsive relay is tried again
	MinDrainDuration         time.Duration // from the start of a drain until the process may exit
	MaxDrainDuration         time.Duration // after which a drain ends with requests still in flight
	MaxReportLag             time.Duration // for which an upstream's report may be older than its entry
	MaxReportAge             time.Duration // maximum age of an upstream's report to be used
}

// DefaultLimits returns the limits of a deployment that sets no bounds.
func DefaultLimits() Limits {
	return Limits{
		MaxConfigAge:             4 * time.Second,
		MaxReadyConfigAge:        3 * time.Second,
		StoreRecoveryGrace:       2 * time.Second,
		GapRecoveryGrace:         4 * time.Second,
		RetryRatio:               0.2,
		RetrySlack:               100,
		RetryWindow:              10 * time.Second,
		MaxAttempts:              4,
		MinStallTimeout:          250 * time.Millisecond,
		MaxStallTimeout:          600 * time.Millisecond,
		FullDuration:             250 * time.Millisecond,
		CrossZoneFraction:        0.5,
		MaxProbesPerSecond:       150,
		DigestInterval:           150 * time.Millisecond,
		RelayDigestInterval:      300 * time.Millisecond,
		MinDigestInterval:        30 * time.Millisecond,
		PeerTimeout:              2 * time.Second,
		BaseSuspectDuration:      400 * time.Millisecond,
		MaxSuspectDuration:       time.Second,
		MaxConsecutiveFailures:   2,
		BaseEjectDuration:        500 * time.Millisecond,
		MaxEjectDuration:         4 * time.Second,
		ProbeInterval:            time.Second,
		MinRulesReadInterval:     400 * time.Millisecond,
		MinUpstreamsReadInterval: 700 * time.Millisecond,
		MaxStoreSilence:          3 * time.Second,
		PlacementQuietPeriod:     1500 * time.Millisecond,
		MaxPlacementDelay:        5 * time.Second,
		PlanTimeout:              10 * time.Second,
		GapDelay:                 300 * time.Millisecond,
		OrderTimeout:             1500 * time.Millisecond,
		MaxPendingDuration:       1500 * time.Millisecond,
		RoomWaitFraction:         0.4,
		MaxRoomWaiters:           0.15,
		// Digests over relays are 0.3 to 0.9 s old when they arrive. With 1 s, a tenth
		// less was served of all requests to an overloaded fleet than without priorities.
		ShortageDuration:    500 * time.Millisecond,
		DeferredLastTry:     true, // else room that no urgent request takes stays unused
		ResumeWait:          time.Second,
		RefusalRetryAfter:   500 * time.Millisecond,
		MaxCrashes:          3,
		CrashRetention:      2 * time.Minute,
		BasePartHold:        2 * time.Minute,
		MaxPartHold:         time.Hour,
		SoundPartWindow:     10 * time.Second,
		AnnounceInterval:    10 * time.Minute,
		ProgressTimeout:     200 * time.Millisecond,
		MinProbeInterval:    300 * time.Millisecond,
		MaxMissedProbes:     2,
		StallReportInterval: 200 * time.Millisecond,
		MaxMoves:            3,
		MaxMeshVMs:          16,
		RelaysPerZone:       2,
		RelayRetryInterval:  10 * time.Second,
		MinDrainDuration:    2700 * time.Millisecond,
		MaxDrainDuration:    7 * time.Second,
		MaxReportLag:        time.Second,
		MaxReportAge:        3 * time.Second,
	}
}

// Bounds are the guarantees of a deployment to its users. A zero value keeps the
// default limits that depend on it.
type Bounds struct {
	ApplyWithin  time.Duration // from the acceptance of a configuration until it is in force on all VMs
	LeaveWithin  time.Duration // from the announcement of a drain until the upstream gets no new requests
	RevokeWithin time.Duration // from the removal of an API key until all VMs refuse it
	SettleWithin time.Duration // from the end of a disruption until the other bounds hold again
	StopGrace    time.Duration // from the signal of a planned stop until the process exits
	RetryRatio   float64
	RetrySlack   float64
	RetryWindow  time.Duration
}

const (
	// configAgeFraction is the fraction of RevokeWithin for which a
	// configuration is used. The rest covers the transport of a request and a
	// slow clock.
	configAgeFraction = 0.9
	// readyAgeFraction is the fraction of RevokeWithin up to which the balancer
	// may send callers. It is lower than configAgeFraction, so that a VM becomes
	// not ready before it refuses API keys.
	readyAgeFraction = 0.8
	// readIntervalFraction is the fraction of ApplyWithin or LeaveWithin that
	// may pass between two reads of the stream.
	readIntervalFraction = 0.6
	// quietReadIntervals is the quiet period before the first placement, in read
	// intervals without new upstreams.
	quietReadIntervals = 2
	// retrySlackFraction is the fraction of the retry slack that is used, since
	// VMs forget their retries when they restart.
	retrySlackFraction = 0.6
	// retryRatioFraction is the fraction of the retry ratio that is used, for
	// the same reason.
	retryRatioFraction = 0.8
	// drainFraction is the fraction of StopGrace after which requests still in
	// flight are cut off.
	drainFraction = 0.93
)

// Within returns the limits adjusted to a deployment's bounds.
func (l Limits) Within(b Bounds) Limits {
	if b.RevokeWithin > 0 {
		l.MaxConfigAge = time.Duration(configAgeFraction * float64(b.RevokeWithin))
		l.MaxReadyConfigAge = time.Duration(readyAgeFraction * float64(b.RevokeWithin))
	}
	if b.ApplyWithin > 0 {
		l.MinRulesReadInterval = time.Duration(readIntervalFraction * float64(b.ApplyWithin))
	}
	if b.LeaveWithin > 0 {
		l.MinUpstreamsReadInterval = time.Duration(readIntervalFraction * float64(b.LeaveWithin))
		l.PlacementQuietPeriod = quietReadIntervals * l.MinUpstreamsReadInterval
	}
	if b.SettleWithin > 0 {
		l.MaxStoreSilence = b.SettleWithin
	}
	if b.StopGrace > 0 {
		l.MaxDrainDuration = time.Duration(drainFraction * float64(b.StopGrace))
		l.MinDrainDuration = min(l.MinDrainDuration, l.MaxDrainDuration/2)
	}
	if b.RetryWindow > 0 {
		l.RetryWindow, l.RetryRatio, l.RetrySlack = b.RetryWindow, retryRatioFraction*b.RetryRatio, retrySlackFraction*b.RetrySlack
	}
	return l
}
