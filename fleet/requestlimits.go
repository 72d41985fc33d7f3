package fleet

import (
	"fmt"
	"math"
	"slices"
	"time"

	"lentilmux.example/lentilmux"
)

// An upstream in need names in its answers how many requests a second it takes
// from all VMs together. VMs tell each other the limit with their digests, and
// share it without a call for each request: each VM starts requests at the
// upstream at the rate of its share, through a token bucket. While few VMs share a
// limit, the shares follow the requests that each VM gets. More VMs than the limit
// has room for would exceed it with their first requests alone, so only some of
// them, chosen by hash, use the upstream then.

const (
	// minRequestLimit is the limit, in requests a second, that is used for a
	// smaller one: an upstream without any requests could not lift its limit.
	minRequestLimit = 0.1
	// limitBurst and minLimitBurst make up the burst of all VMs together at a limited
	// upstream: a time at the rate of its limit, and a number of requests. Each VM
	// may send one request of it, and its share of the rest.
	limitBurst    = 1500 * time.Millisecond
	minLimitBurst = 4.2
	// minLimitSharers and limitSharersPerRequest bound the VMs that share a limit:
	// a constant number and some for each request a second. Each may have one
	// request more at the upstream in any time than its share says.
	minLimitSharers        = 4
	limitSharersPerRequest = 1.5
	// maxLimitAge is how long a limit holds without an answer that names it.
	maxLimitAge = time.Minute
	// limitGossipDuration is how long digests say that a limit has ended.
	limitGossipDuration = 5 * time.Second
	// maxLimitsInDigest bounds the limits in one digest.
	maxLimitsInDigest = 512
	// limitSharersInterval is the time after which the sharers of a limit are
	// chosen again.
	limitSharersInterval = time.Second
	// limitLogInterval bounds the log lines on the limit of one upstream, which may
	// name another one in each answer.
	limitLogInterval = time.Second
	// limitLogFactor is the factor by which a limit has to change to be logged.
	limitLogFactor = 1.1
)

// RequestLimitState is what is known of the limit of one upstream.
type RequestLimitState struct {
	Named     bool      // whether its newest answer to any VM names a limit
	PerSecond float64   // requests a second that it takes from all VMs together, if Named
	SeenAt    time.Time // when that answer arrived; zero if none ever named a limit

	bucket         TokenBucket // requests that this VM may start
	sharers        int         // VMs that share the limit
	isSharer       bool        // whether this VM is one of them
	sharersValidTo time.Time   // when they are chosen again
	logged         float64     // limit that was logged last; 0 for none
	logNextAt      time.Time   // when the next change of the limit may be logged
}

// ApplyRequestLimits records the limits that upstreams name in their answers to
// this VM and others. It reads Events.UpstreamLimits and Events.Digests and writes
// Upstreams.
type ApplyRequestLimits struct{}

// Run implements [System].
func (a *ApplyRequestLimits) Run(t *Tables, now time.Time) {
	for _, msg := range t.Events.UpstreamLimits {
		row := t.Upstreams.Find(msg.Upstream)
		switch {
		case row == nil:
		case msg.Limit.Invalid:
			t.RecordDecision(lentilmux.Decision{What: "limit_ignored", Subject: row.ID, Reason: "request " + string(msg.Request) + ": not a number, or negative"})
		default:
			t.setRequestLimit(row, msg.Limit.Named, msg.Limit.PerSecond, now, "answer to "+string(msg.Request), now)
		}
	}
	for _, digest := range t.Events.Digests {
		if digest.VM == t.Self.Name {
			continue
		}
		for _, limit := range digest.Limits {
			if row := t.Upstreams.FindByHash(limit.Upstream); row != nil {
				t.setRequestLimit(row, limit.Named, limit.PerSecond, now.Add(-max(limit.Age, 0)), "reported by "+digest.VM, now)
			}
		}
	}
	for _, row := range t.Upstreams.Rows {
		if limit := &row.RequestLimit; limit.Named && now.Sub(limit.SeenAt) > maxLimitAge {
			t.setRequestLimit(row, false, 0, now, "no answer for "+maxLimitAge.String(), now)
		}
	}
}

// setRequestLimit records what an answer that arrived at seenAt says of an
// upstream's limit, unless a newer answer is known.
func (t *Tables) setRequestLimit(row *UpstreamRow, named bool, perSecond float64, seenAt time.Time, source string, now time.Time) {
	limit := &row.RequestLimit
	if !seenAt.After(limit.SeenAt) || !named && limit.SeenAt.IsZero() {
		return
	}
	wasNamed := limit.Named
	if perSecond != limit.PerSecond || named != wasNamed {
		limit.sharersValidTo = time.Time{}
	}
	limit.Named, limit.PerSecond, limit.SeenAt = named, perSecond, seenAt
	switch {
	case wasNamed && !named:
		limit.logged = 0
		t.RecordDecision(lentilmux.Decision{What: "upstream_unlimited", Subject: row.ID, Reason: source})
	case named && !limit.isLogged() && !now.Before(limit.logNextAt):
		limit.logged, limit.logNextAt = perSecond, now.Add(limitLogInterval)
		share := t.limitShare(row, now)
		t.RecordDecision(lentilmux.Decision{
			What: "upstream_limited", Subject: row.ID, Chosen: fmt.Sprintf("%.2f/s", perSecond),
			Reason: fmt.Sprintf("%s; share %.2f/s of %d VMs", source, share, limit.sharers),
		})
	}
}

// isLogged reports whether the last logged limit is close to the current one.
func (l *RequestLimitState) isLogged() bool {
	return l.logged > 0 && math.Max(l.logged, l.PerSecond) <= limitLogFactor*math.Min(l.logged, l.PerSecond)
}

// hasLimitToken reports whether this VM may start a request at an upstream now, as
// far as the upstream's limit goes.
func (t *Tables) hasLimitToken(row *UpstreamRow, now time.Time) bool {
	if !row.RequestLimit.Named {
		return true
	}
	share := t.limitShare(row, now)
	return share > 0 && row.RequestLimit.bucket.holds(now, share, row.RequestLimit.burst(share), 1)
}

// takeLimitToken counts a request that this VM starts at an upstream against its
// share of the upstream's limit.
func (t *Tables) takeLimitToken(upstream string, now time.Time) {
	row := t.Upstreams.Find(upstream)
	if row == nil || !row.RequestLimit.Named {
		return
	}
	share := t.limitShare(row, now)
	row.RequestLimit.bucket.take(now, share, row.RequestLimit.burst(share), 1)
}

// total returns the requests a second that all VMs together may start.
func (l *RequestLimitState) total() float64 { return max(l.PerSecond, minRequestLimit) }

// burst returns the requests that a VM with the given share may start at once.
func (l *RequestLimitState) burst(share float64) float64 {
	rest := limitBurst.Seconds()*l.total() + minLimitBurst - float64(l.sharers)
	return 1 + max(rest, 0)*share/l.total()
}

// limitShare returns the requests a second that this VM may start at a limited
// upstream.
func (t *Tables) limitShare(row *UpstreamRow, now time.Time) (perSecond float64) {
	limit := &row.RequestLimit
	if !now.Before(limit.sharersValidTo) {
		t.chooseLimitSharers(row, now)
	}
	switch {
	case !limit.isSharer:
		return 0
	case limit.sharers < t.LiveVMs(now):
		return limit.total() / float64(limit.sharers)
	default:
		return limit.total() * t.demandShare(row.Service, now)
	}
}

// chooseLimitSharers chooses the VMs that share the limit of an upstream: all of
// them if they are few, or else some, first those in the upstream's zone.
func (t *Tables) chooseLimitSharers(row *UpstreamRow, now time.Time) {
	limit := &row.RequestLimit
	limit.sharersValidTo = now.Add(limitSharersInterval)
	live := t.LiveVMs(now)
	maxSharers := minLimitSharers + int(min(limitSharersPerRequest*limit.PerSecond, float64(live)))
	limit.sharers, limit.isSharer = min(live, maxSharers), true
	if live <= maxSharers {
		return
	}
	own := limitSharerRank(row, t.Self.Name, t.Self.Zone)
	before := 0
	for _, vm := range t.VMs.Rows {
		if (t.usesRelays() || t.isLive(vm, now)) && limitSharerRank(row, vm.Name, vm.Zone).before(own) {
			before++
		}
	}
	limit.isSharer = before < maxSharers
}

// sharerRank orders VMs for the choice of those that share a limit.
type sharerRank struct {
	otherZone bool
	hash      lentilmux.Fingerprint
}

// limitSharerRank returns the rank of a VM among those that may share the limit of
// an upstream. It is the same on all VMs.
func limitSharerRank(row *UpstreamRow, vm, zone string) sharerRank {
	return sharerRank{otherZone: zone != row.Zone, hash: lentilmux.ComputeFingerprint(row.ID, vm)}
}

func (r sharerRank) before(other sharerRank) bool {
	if r.otherZone != other.otherZone {
		return !r.otherZone
	}
	return r.hash < other.hash
}

// demandShare returns the part of a service's recent requests that this VM got. A
// VM without requests has a part too, so that it can start.
func (t *Tables) demandShare(service string, now time.Time) float64 {
	own, retries := t.RetryBudgets.GetOrCreate(service).totals(now, t.Limits.RetryWindow)
	total := own
	if t.FleetLoads.isFresh(now, t.Limits.PeerTimeout) {
		total, _ = addRetryCounts(t.FleetLoads.RetryCounts, service, 0, 0)
		total = max(total, own)
	} else {
		for _, vm := range t.digestSources(now) {
			total, retries = addRetryCounts(vm.RetryCounts, service, total, retries)
		}
	}
	return float64(own+1) / float64(total+t.LiveVMs(now))
}

// knownLimits returns the limits to tell peers of, also those that ended lately.
func (t *Tables) knownLimits(now time.Time) (limits []lentilmux.UpstreamLimit) {
	for _, row := range t.Upstreams.Rows {
		limit := &row.RequestLimit
		if !limit.Named && now.Sub(limit.SeenAt) >= limitGossipDuration {
			continue
		}
		limits = append(limits, lentilmux.UpstreamLimit{Upstream: row.Hash, Named: limit.Named, PerSecond: limit.PerSecond, Age: now.Sub(limit.SeenAt)})
	}
	if len(limits) > maxLimitsInDigest {
		slices.SortFunc(limits, func(a, b lentilmux.UpstreamLimit) int { return int(a.Age - b.Age) })
		limits = limits[:maxLimitsInDigest]
	}
	return limits
}
