package fleet

import "time"

// Limits are the figures that the systems keep to.
type Limits struct {
	MaxConfigAge             time.Duration // age of the configuration up to which keys are honoured
	MaxReadyConfigAge        time.Duration // the same up to which the balancer may send callers
	StoreRecoveryGrace       time.Duration // from the store's return until missing upstreams count as gone
	RetryRatio               float64       // sends beyond the first of each request, by requests
	RetrySlack               float64       // the same, beside the ratio, of all VMs together
	RetryWindow              time.Duration // in which they are counted
	MaxAttempts              int           // sends of one request
	MinStallTimeout          time.Duration // silence of a leg that is never reported
	MaxStallTimeout          time.Duration // silence of a leg that is always reported
	FullDuration             time.Duration // for which one that refused work gets none
	CrossZoneFraction        float64       // of the pipes between zones that paths may use
	MaxProbesPerSecond       float64       // questions a second because of signs, of all VMs
	DigestInterval           time.Duration // between two load digests
	PeerTimeout              time.Duration // without a digest, until a VM counts as gone
	BaseSuspectDuration      time.Duration // until a suspected upstream is asked again
	MaxSuspectDuration       time.Duration
	MaxConsecutiveFailures   int           // sends that may break in a row before an upstream is shunned
	BaseEjectDuration        time.Duration // for which it is shunned then; doubles with each further one
	MaxEjectDuration         time.Duration
	ProbeInterval            time.Duration // between two reports of an upstream
	MinRulesReadInterval     time.Duration // the least time between two reads of the configuration
	MinUpstreamsReadInterval time.Duration // the same of the upstreams' entries
	PlacementQuietPeriod     time.Duration // without news of upstreams, until layers are first placed
	MaxPlacementDelay        time.Duration // until layers are first placed in any case
	OrderTimeout             time.Duration // until an order that shows no effect is given again
	MaxPendingDuration       time.Duration // from the start, for which requests wait for the first configuration
	RefusalRetryAfter        time.Duration // after which a refused caller may come again
	MaxCrashes               int           // crashes after which a request is not sent again
	CrashRetention           time.Duration // for which crashes of a request are remembered
	AnnounceInterval         time.Duration // between two records of this VM in the store
	ProgressTimeout          time.Duration // without progress, after which an upstream of a silent path is asked
	MinProbeInterval         time.Duration // between two questions because of signs
	MaxMissedProbes          int           // unanswered questions in a row that make an upstream suspect
	StallReportInterval      time.Duration // between two reports of a silent leg
	MaxMoves                 int           // moves of one request to other paths
	MaxMeshVMs               int           // VMs that all send their digests to one another; more use relays
	RelaysPerZone            int           // relays of an availability zone
	RelayRetryInterval       time.Duration // after which a relay that was silent is tried again
	MinDrainDuration         time.Duration // from the start of a planned stop until it may end
	MaxDrainDuration         time.Duration // the longest time of a planned stop
	MaxReportLag             time.Duration // for which an upstream's report may be older than its entry
	MaxReportAge             time.Duration // age of an upstream's report up to which it counts
}

// DefaultLimits returns the limits for a deployment that says nothing else.
func DefaultLimits() Limits {
	return Limits{
		MaxConfigAge:             4 * time.Second,
		MaxReadyConfigAge:        3 * time.Second,
		StoreRecoveryGrace:       2 * time.Second,
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
		PeerTimeout:              2 * time.Second,
		BaseSuspectDuration:      400 * time.Millisecond,
		MaxSuspectDuration:       time.Second,
		MaxConsecutiveFailures:   2,
		BaseEjectDuration:        500 * time.Millisecond,
		MaxEjectDuration:         4 * time.Second,
		ProbeInterval:            time.Second,
		MinRulesReadInterval:     400 * time.Millisecond,
		MinUpstreamsReadInterval: 700 * time.Millisecond,
		PlacementQuietPeriod:     1500 * time.Millisecond,
		MaxPlacementDelay:        5 * time.Second,
		OrderTimeout:             1500 * time.Millisecond,
		MaxPendingDuration:       1500 * time.Millisecond,
		RefusalRetryAfter:        500 * time.Millisecond,
		MaxCrashes:               3,
		CrashRetention:           2 * time.Minute,
		AnnounceInterval:         10 * time.Minute,
		ProgressTimeout:          200 * time.Millisecond,
		MinProbeInterval:         300 * time.Millisecond,
		MaxMissedProbes:          2,
		StallReportInterval:      200 * time.Millisecond,
		MaxMoves:                 3,
		MaxMeshVMs:               16,
		RelaysPerZone:            2,
		RelayRetryInterval:       10 * time.Second,
		MinDrainDuration:         2700 * time.Millisecond,
		MaxDrainDuration:         7 * time.Second,
		MaxReportLag:             time.Second,
		MaxReportAge:             3 * time.Second,
	}
}

// Bounds are the figures that a deployment promises to its users. A zero keeps
// the default that follows from it.
type Bounds struct {
	ApplyWithin  time.Duration // from a configuration's acceptance until it is in force everywhere
	LeaveWithin  time.Duration // from an upstream's announcement until it gets nothing new
	RevokeWithin time.Duration // from a key's removal until it is refused everywhere
	StopGrace    time.Duration // from the signal of a planned stop to the process's end
	RetryRatio   float64
	RetrySlack   float64
	RetryWindow  time.Duration
}

const (
	// configAgeFraction is the part of RevokeWithin up to which knowledge is used;
	// the rest covers a request's way and a slow clock.
	configAgeFraction = 0.9
	// readyAgeFraction is the part up to which the balancer may send callers.
	readyAgeFraction = 0.8
	// readIntervalFraction is the part of the time in which something has to be known
	// everywhere that may pass between two reads of it.
	readIntervalFraction = 0.6
	// quietReadIntervals is for how many reads without news upstreams are gathered.
	quietReadIntervals = 2
	// retrySlackFraction is the part of the retry slack that is used, since VMs that
	// restart forget what they spent.
	retrySlackFraction = 0.6
	// retryRatioFraction is the same for the retry ratio.
	retryRatioFraction = 0.8
	// drainFraction is the part of StopGrace after which what still runs is cut.
	drainFraction = 0.93
)

// Within returns limits that keep to a deployment's bounds.
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
	if b.StopGrace > 0 {
		l.MaxDrainDuration = time.Duration(drainFraction * float64(b.StopGrace))
		l.MinDrainDuration = min(l.MinDrainDuration, l.MaxDrainDuration/2)
	}
	if b.RetryWindow > 0 {
		l.RetryWindow, l.RetryRatio, l.RetrySlack = b.RetryWindow, retryRatioFraction*b.RetryRatio, retrySlackFraction*b.RetrySlack
	}
	return l
}
