package fleet

import "time"

// Limits are the figures that the systems keep to.
type Limits struct {
	KnowledgeMost  time.Duration // age of the configuration up to which keys are honoured
	ReadyMost      time.Duration // the same up to which the balancer may send callers
	SettleAfter    time.Duration // from the store's return until missing upstreams count as gone
	RetryRatio     float64       // sends beyond the first of each request, by requests
	RetrySlack     float64       // the same, beside the ratio, of all VMs together
	RetryWindow    time.Duration // in which they are counted
	SendsMost      int           // sends of one request
	SilentLeast    time.Duration // silence of a leg that is never reported
	SilentMost     time.Duration // silence of a leg that is always reported
	FullFor        time.Duration // for which one that refused work gets none
	PipePart       float64       // of the pipes between zones that paths may use
	AsksMost       float64       // questions a second because of signs, of all VMs
	ShareEvery     time.Duration // between two load digests
	SilentAfter    time.Duration // without a digest, until a VM counts as gone
	SuspectFirst   time.Duration // until a suspected upstream is asked again
	SuspectMost    time.Duration
	BreaksMost     int           // sends that may break in a row before an upstream is shunned
	ShunFirst      time.Duration // for which it is shunned then; doubles with each further one
	ShunMost       time.Duration
	InspectEvery   time.Duration // between two reports of an upstream
	RulesSpacing   time.Duration // the least time between two reads of the configuration
	MembersSpacing time.Duration // the same of the upstreams' entries
	GatherFor      time.Duration // without news of upstreams, until layers are first placed
	GatherMost     time.Duration // until layers are first placed in any case
	OrderTimeout   time.Duration // until an order that shows no effect is given again
	HoldMost       time.Duration // from the start, for which requests wait for the first configuration
	RefusalPause   time.Duration // after which a refused caller may come again
	PoisonMost     int           // crashes after which a request is not sent again
	PoisonMemory   time.Duration // for which crashes of a request are remembered
	AnnounceEvery  time.Duration // between two records of this VM in the store
	PulseSilence   time.Duration // without progress, after which an upstream of a silent path is asked
	AskAgain       time.Duration // between two questions because of signs
	MissesMost     int           // unanswered questions in a row that make an upstream suspect
	WaitSilent     time.Duration // between two reports of a silent leg
	MovesMost      int           // moves of one request to other paths
	MeshMost       int           // VMs that all send their digests to one another; more use relays
	RelaysEach     int           // relays of an availability zone
	RelayRetry     time.Duration // after which a relay that was silent is tried again
	DrainNotReady  time.Duration // from the start of a planned stop until it may end
	DrainMost      time.Duration // the longest time of a planned stop
	ReportLag      time.Duration // for which an upstream's report may be older than its entry
	ReportUntilOld time.Duration // age of an upstream's report up to which it counts
}

// DefaultLimits returns the limits for a deployment that says nothing else.
func DefaultLimits() Limits {
	return Limits{
		KnowledgeMost:  4 * time.Second,
		ReadyMost:      3 * time.Second,
		SettleAfter:    2 * time.Second,
		RetryRatio:     0.2,
		RetrySlack:     100,
		RetryWindow:    10 * time.Second,
		SendsMost:      4,
		SilentLeast:    250 * time.Millisecond,
		SilentMost:     600 * time.Millisecond,
		FullFor:        250 * time.Millisecond,
		PipePart:       0.5,
		AsksMost:       150,
		ShareEvery:     150 * time.Millisecond,
		SilentAfter:    2 * time.Second,
		SuspectFirst:   400 * time.Millisecond,
		SuspectMost:    time.Second,
		BreaksMost:     2,
		ShunFirst:      500 * time.Millisecond,
		ShunMost:       4 * time.Second,
		InspectEvery:   time.Second,
		RulesSpacing:   400 * time.Millisecond,
		MembersSpacing: 700 * time.Millisecond,
		GatherFor:      1500 * time.Millisecond,
		GatherMost:     5 * time.Second,
		OrderTimeout:   1500 * time.Millisecond,
		HoldMost:       1500 * time.Millisecond,
		RefusalPause:   500 * time.Millisecond,
		PoisonMost:     3,
		PoisonMemory:   2 * time.Minute,
		AnnounceEvery:  10 * time.Minute,
		PulseSilence:   200 * time.Millisecond,
		AskAgain:       300 * time.Millisecond,
		MissesMost:     2,
		WaitSilent:     200 * time.Millisecond,
		MovesMost:      3,
		MeshMost:       16,
		RelaysEach:     2,
		RelayRetry:     10 * time.Second,
		DrainNotReady:  2700 * time.Millisecond,
		DrainMost:      7 * time.Second,
		ReportLag:      time.Second,
		ReportUntilOld: 3 * time.Second,
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
	// knowledgePart is the part of RevokeWithin up to which knowledge is used;
	// the rest covers a request's way and a slow clock.
	knowledgePart = 0.9
	// readyPart is the part up to which the balancer may send callers.
	readyPart = 0.8
	// spacingPart is the part of the time in which something has to be known
	// everywhere that may pass between two reads of it.
	spacingPart = 0.6
	// gatherSpacings is for how many reads without news upstreams are gathered.
	gatherSpacings = 2
	// slackPart is the part of the retry slack that is used, since VMs that
	// restart forget what they spent.
	slackPart = 0.6
	// ratioPart is the same for the retry ratio.
	ratioPart = 0.8
	// drainPart is the part of StopGrace after which what still runs is cut.
	drainPart = 0.93
)

// Within returns limits that keep to a deployment's bounds.
func (l Limits) Within(b Bounds) Limits {
	if b.RevokeWithin > 0 {
		l.KnowledgeMost = time.Duration(knowledgePart * float64(b.RevokeWithin))
		l.ReadyMost = time.Duration(readyPart * float64(b.RevokeWithin))
	}
	if b.ApplyWithin > 0 {
		l.RulesSpacing = time.Duration(spacingPart * float64(b.ApplyWithin))
	}
	if b.LeaveWithin > 0 {
		l.MembersSpacing = time.Duration(spacingPart * float64(b.LeaveWithin))
		l.GatherFor = gatherSpacings * l.MembersSpacing
	}
	if b.StopGrace > 0 {
		l.DrainMost = time.Duration(drainPart * float64(b.StopGrace))
		l.DrainNotReady = min(l.DrainNotReady, l.DrainMost/2)
	}
	if b.RetryWindow > 0 {
		l.RetryWindow, l.RetryRatio, l.RetrySlack = b.RetryWindow, ratioPart*b.RetryRatio, slackPart*b.RetrySlack
	}
	return l
}
