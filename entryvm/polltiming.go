package entryvm

import (
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/fleet"
	"lentilmux.example/lentilmux/platformlog"
)

const (
	// directRulesWaitFraction is the maximum wait of a read of the configuration
	// for new entries when this VM reads the store itself, as a fraction of
	// MaxReadyConfigAge. The result of one read can be two waits old when the
	// next read is answered, so the fraction must stay below one half.
	directRulesWaitFraction = 0.42
	// directUpstreamsMaxWait is the maximum wait of a read of the upstreams'
	// entries from the store if no bound is shorter. Readiness does not depend on
	// their age.
	directUpstreamsMaxWait = 10 * time.Second
	// sharedRulesWaitFraction replaces directRulesWaitFraction when digest relays
	// read the store for other VMs: the waits of both reads add up in the age of
	// an entry that was read from a relay.
	sharedRulesWaitFraction = 0.2
	// sharedIntervalFraction is the fraction of the minimum read interval that
	// each of the two reads uses when digest relays read for other VMs, so that
	// both together stay within that interval.
	sharedIntervalFraction = 0.5
	// sharedUpstreamsMaxWait replaces directUpstreamsMaxWait when digest relays
	// read for other VMs.
	sharedUpstreamsMaxWait = 2 * time.Second
	// sharedRulesIntervalFraction bounds the minimum interval between two reads of
	// the configuration when digest relays read for other VMs, as a fraction of
	// MaxReadyConfigAge. A relay's copy is as old as this interval and the wait of
	// the next read together when that read is answered; their sum must stay below
	// maxCopyAgeFraction, or the other VMs turn to the store.
	sharedRulesIntervalFraction = 0.2
	// maxCopyAgeFraction is the maximum age of the configuration that this VM
	// serves to other VMs, as a fraction of MaxReadyConfigAge.
	maxCopyAgeFraction = 0.5
	// vmsMaxWait and vmsMinInterval are the maximum wait of a read of the entry
	// VMs' records and the minimum interval between two such reads.
	vmsMaxWait     = 25 * time.Second
	vmsMinInterval = time.Second
)

// pollTiming returns the maximum wait and the minimum interval of reads of a
// stream.
func (g *Gateway) pollTiming(stream lentilmux.Stream) (timing platformlog.PollTiming) {
	limits, rulesWaitFraction, intervalFraction := g.limits.Load(), directRulesWaitFraction, 1.0
	upstreamsMaxWait := directUpstreamsMaxWait
	if g.sharedReads.Load() {
		rulesWaitFraction, intervalFraction, upstreamsMaxWait = sharedRulesWaitFraction, sharedIntervalFraction, sharedUpstreamsMaxWait
	}
	switch stream {
	case lentilmux.StreamRules:
		minInterval := scaled(limits.MinRulesReadInterval, intervalFraction)
		if g.sharedReads.Load() {
			minInterval = min(minInterval, scaled(limits.MaxReadyConfigAge, sharedRulesIntervalFraction))
		}
		return boundWait(limits, platformlog.PollTiming{MaxWait: scaled(limits.MaxReadyConfigAge, rulesWaitFraction), MinInterval: minInterval})
	case lentilmux.StreamUpstreams:
		return boundWait(limits, platformlog.PollTiming{MaxWait: upstreamsMaxWait, MinInterval: scaled(limits.MinUpstreamsReadInterval, intervalFraction)})
	default:
		return platformlog.PollTiming{MaxWait: vmsMaxWait, MinInterval: vmsMinInterval}
	}
}

// minBoundedWait is the shortest wait that MaxStoreSilence leaves a read, so that an
// odd bound causes no busy polling.
const minBoundedWait = 250 * time.Millisecond

// boundWait shortens the wait of a read so that a silent connection to the store is
// noticed within MaxStoreSilence: it may begin with the answer to the read before.
func boundWait(limits *fleet.Limits, timing platformlog.PollTiming) platformlog.PollTiming {
	bound := limits.MaxStoreSilence - timing.MinInterval - platformlog.SilenceDelay
	timing.MaxWait = min(timing.MaxWait, max(bound, minBoundedWait))
	return timing
}

// scaled returns a fraction of a duration.
func scaled(duration time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(duration))
}
