package fleet

import (
	"net/netip"
	"slices"
	"time"

	"lentilmux.example/lentilmux"
)

// SendDigests sends this VM's load to its peers at each DigestInterval, or
// RelayDigestInterval if relays are used, and earlier if an upstream was found
// dead or announced its drain. Before, it brings the reservations of streams up to
// date. It writes its address to the store at each
// AnnounceInterval, and again if a restored store lacks it. A relay also sends
// sums of the loads of other VMs. It reads Upstreams, Streams, RetryBudgets,
// Shortages and RefusedRequests and reads and writes VMs.
type SendDigests struct {
	sequence        uint64
	rounds          int // digests sent so far
	lastSentAt      time.Time
	lastAnnouncedAt time.Time
}

// Run implements [System].
func (s *SendDigests) Run(t *Tables, now time.Time) {
	mustAnnounce := s.lastAnnouncedAt.IsZero() || t.Self.Unlisted || now.Sub(s.lastAnnouncedAt) >= t.Limits.AnnounceInterval
	if t.Self.Addr.IsValid() && mustAnnounce {
		s.lastAnnouncedAt, t.Self.Unlisted = now, false
		t.AddEffect(lentilmux.PutEffect{
			Stream: lentilmux.StreamVMs, Key: t.Self.Name,
			VM: &lentilmux.VMRecord{Name: t.Self.Name, Zone: t.Self.Zone, Addr: t.Self.Addr},
		})
	}
	interval := t.digestInterval()
	if t.NewSuspects || t.NewDrains || t.NewRules {
		interval = t.Limits.MinDigestInterval
	}
	if due := s.lastSentAt.Add(interval); now.Before(due) {
		t.WakeAt(due)
		return
	}
	s.lastSentAt, t.NewSuspects, t.NewDrains, t.NewRules = now, false, false, false
	s.rounds++
	t.WakeAt(now.Add(interval))
	t.followStreams(now)
	t.refreshSpeeds(now)
	own := s.ownDigest(t, now)
	switch {
	case !t.usesRelays():
		names := make([]string, 0, len(t.VMs.Rows))
		for _, vm := range t.VMs.Rows {
			names = append(names, vm.Name)
		}
		s.send(t, own, t.digestAddrs(names, now), now)
	case t.isRelay(now):
		s.sendAsRelay(t, own, now)
	default:
		s.send(t, own, t.digestAddrs(t.zoneRelays(t.Self.Zone, now), now), now)
	}
}

// digestInterval returns the time between two digests of a VM without urgent news.
func (t *Tables) digestInterval() (interval time.Duration) {
	if t.usesRelays() {
		return t.Limits.RelayDigestInterval
	}
	return t.Limits.DigestInterval
}

const (
	// standbyRounds is the number of rounds in which a relay that is not the first
	// of its zone sends the fleet-wide sum once, while the first one is live: the
	// sum is not used then, but shows that the relay is live as well.
	standbyRounds = 4
	// maxWholeSum is the number of upstreams up to which a relay sends the sum for
	// all of them at once.
	maxWholeSum = 256
	// sumSlices is the number of rounds over which a larger sum covers the
	// upstreams of other availability zones.
	sumSlices = 8
)

// sendAsRelay sends this VM's digest to the other relays of its zone, the sum of
// its zone to the relays of other zones, and the sum of the fleet to the VMs of
// its zone.
func (s *SendDigests) sendAsRelay(t *Tables, own lentilmux.LoadDigest, now time.Time) {
	zoneRelays := t.zoneRelays(t.Self.Zone, now)
	s.send(t, own, t.digestAddrs(zoneRelays, now), now)
	if t.isStandbyRelay(zoneRelays, now) && s.rounds%standbyRounds != 0 {
		return
	}
	s.send(t, s.aggregate(t, own, lentilmux.ScopeZone, now), t.digestAddrs(t.relaysOfOtherZones(now), now), now)
	sum := s.aggregate(t, own, lentilmux.ScopeFleet, now)
	if len(sum.Loads) > maxWholeSum {
		sum = s.slice(t, sum)
	}
	s.send(t, sum, t.digestAddrs(t.otherVMsInZone(), now), now)
}

// isStandbyRelay reports whether another relay of the zone with a lower name is
// live.
func (t *Tables) isStandbyRelay(zoneRelays []string, now time.Time) bool {
	if len(zoneRelays) == 0 || zoneRelays[0] == t.Self.Name {
		return false
	}
	first := t.VMs.Find(zoneRelays[0])
	return first != nil && t.isLive(first, now)
}

// slice returns a sum without the upstreams that it does not cover in this round.
func (s *SendDigests) slice(t *Tables, sum lentilmux.LoadDigest) lentilmux.LoadDigest {
	sum.Slices, sum.Slice = sumSlices, s.rounds%sumSlices
	covered := sum.Loads[:0]
	for _, load := range sum.Loads {
		if row := t.Upstreams.FindByHash(load.Upstream); row != nil && covers(&sum, row) {
			covered = append(covered, load)
		}
	}
	sum.Loads = covered
	return sum
}

// send assigns the next sequence number to a digest and sends it to the given
// addresses.
func (s *SendDigests) send(t *Tables, digest lentilmux.LoadDigest, to []netip.AddrPort, now time.Time) {
	if len(to) == 0 {
		return
	}
	s.sequence++
	digest.Sequence = s.sequence
	digest.Parts, digest.Limits, digest.Drains = t.PartSuspects.suspicions(now), t.knownLimits(now), t.knownDrains(now)
	digest.BackOffs, digest.Shortages = t.knownBackOffs(now), t.knownShortages(now)
	digest.Refused = t.knownRefused(digest.Scope, now)
	t.AddEffect(lentilmux.LoadDigestEffect{Digest: digest, To: to})
}

// ownDigest returns the digest of this VM alone. It lists the upstreams that
// have requests of this VM in flight or that sent a report within MaxReportAge.
// Suspects contains only upstreams that this VM itself found dead.
func (s *SendDigests) ownDigest(t *Tables, now time.Time) (digest lentilmux.LoadDigest) {
	digest = lentilmux.LoadDigest{
		VM: t.Self.Name, VMCount: 1, Zone: t.Self.Zone, Addr: t.Self.Addr, Incarnation: t.Self.Incarnation,
		Draining: t.Self.Draining, Stale: t.ConfigStale(now), Rules: t.Rules.Version, Counts: t.ownCounts(s.rounds, now),
	}
	if t.isIsolated(now) {
		digest.IsolatedVMs = []lentilmux.VMHash{lentilmux.HashVM(t.Self.Name)}
	}
	for _, row := range t.Upstreams.Rows {
		slowdown := 0.0
		if now.Sub(row.ReportedAt) < t.Limits.MaxReportAge {
			slowdown = row.Slowdown
		}
		if speed := row.digestSpeed(now); row.OwnLoad.Streams > 0 || slowdown > 0 || speed.Weight > 0 {
			digest.Loads = append(digest.Loads, lentilmux.UpstreamLoad{
				Upstream: row.Hash, Streams: row.OwnLoad.Streams, PendingPromptTokens: row.OwnLoad.PendingPromptTokens, Reserved: row.OwnLoad.Reserved, Slowdown: slowdown,
				WorkLeft: row.OwnLoad.WorkLeft, WorkKnown: row.OwnLoad.TimedStreams >= row.OwnLoad.Streams, Speed: speed,
			})
		}
		if row.Dead && !row.ReportedByPeer && t.trustsLinks() && !t.isIsolated(now) {
			digest.Suspects = append(digest.Suspects, row.ID)
		}
	}
	for _, budget := range t.RetryBudgets.Rows {
		if requests, retries := budget.totals(now, t.Limits.RetryWindow); requests+retries > 0 {
			digest.RetryCounts = append(digest.RetryCounts, lentilmux.RetryCounts{Service: budget.Service, Requests: requests, Retries: retries})
		}
	}
	return digest
}

// aggregate adds the digests of peers to this VM's own: those of its zone, or of
// the entire fleet, where each other zone is represented by the sum that one of
// its relays sent.
func (s *SendDigests) aggregate(t *Tables, own lentilmux.LoadDigest, scope lentilmux.DigestScope, now time.Time) (sum lentilmux.LoadDigest) {
	sum = own
	sum.Scope, sum.Counts = scope, t.summedCounts(scope, s.rounds, now)
	sum.Loads, sum.RetryCounts, sum.Suspects = slices.Clone(own.Loads), slices.Clone(own.RetryCounts), slices.Clone(own.Suspects)
	sum.IsolatedVMs = slices.Clone(own.IsolatedVMs)
	indexByUpstream := make(map[lentilmux.UpstreamHash]int, len(sum.Loads))
	for i, load := range sum.Loads {
		indexByUpstream[load.Upstream] = i
	}
	for _, vm := range t.digestSources(now) {
		if scope == lentilmux.ScopeZone && vm.Zone != t.Self.Zone {
			continue
		}
		sum.VMCount += vm.VMCount
		sum.Rules = max(sum.Rules, vm.Rules)
		sum.IsolatedVMs = append(sum.IsolatedVMs, vm.IsolatedVMs...)
		mergeLoads(&sum, indexByUpstream, vm.Loads)
		mergeRetryCounts(&sum, vm.RetryCounts)
	}
	return sum
}

// mergeLoads adds loads to a digest, by upstream. It keeps indexByUpstream up to
// date, which maps an upstream to its position in digest.Loads.
func mergeLoads(digest *lentilmux.LoadDigest, indexByUpstream map[lentilmux.UpstreamHash]int, loads []lentilmux.UpstreamLoad) {
	for _, load := range loads {
		i, ok := indexByUpstream[load.Upstream]
		if !ok {
			indexByUpstream[load.Upstream] = len(digest.Loads)
			digest.Loads = append(digest.Loads, load)
			continue
		}
		sum := &digest.Loads[i]
		sum.Streams += load.Streams
		sum.PendingPromptTokens += load.PendingPromptTokens
		sum.Reserved += load.Reserved
		sum.Speed = mergeSpeeds(sum.Speed, load.Speed)
		sum.WorkLeft += load.WorkLeft
		sum.WorkKnown = sum.WorkKnown && load.WorkKnown
		sum.Slowdown = max(sum.Slowdown, load.Slowdown)
	}
}

// mergeRetryCounts adds retry counts to a digest, by service.
func mergeRetryCounts(digest *lentilmux.LoadDigest, counts []lentilmux.RetryCounts) {
	for _, count := range counts {
		i := slices.IndexFunc(digest.RetryCounts, func(known lentilmux.RetryCounts) bool { return known.Service == count.Service })
		if i < 0 {
			digest.RetryCounts = append(digest.RetryCounts, count)
			continue
		}
		digest.RetryCounts[i].Requests += count.Requests
		digest.RetryCounts[i].Retries += count.Retries
	}
}
