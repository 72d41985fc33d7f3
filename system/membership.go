package system

import (
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

const (
	// peerCheckInterval is the time between two checks for peers that stopped
	// sending digests.
	peerCheckInterval = 200 * time.Millisecond
	// leavingCheckInterval is the time between two checks for leaving marks
	// that have expired.
	leavingCheckInterval = 200 * time.Millisecond
)

// Membership combines the platform's VM list, which lags, with the digests of
// peers. It reads the lists, digests and failed exchanges that arrived and
// writes VMs, Peers, the leaving marks of Upstreams, the peers' counts in
// Upstreams and Workspaces, and the KnownSince time of the calls stream. If the
// log fails it also fetches newer configurations from peers.
type Membership struct{}

// Run implements [System].
func (s *Membership) Run(t *table.Tables, now time.Time) {
	for _, list := range t.Events.VMLists {
		s.recordList(t, now, list.VMs)
	}
	for _, event := range t.Events.Digests {
		s.recordDigest(t, now, event)
	}
	for _, name := range t.Events.FailedExchanges {
		if p := t.Peers.Find(name); p != nil && p.FailingSince.IsZero() {
			p.FailingSince = now
		}
	}
	if t.Due(&t.Timers.Peers, now, peerCheckInterval) {
		s.forgetSilentPeers(t, now)
	}
	newEvidence := len(t.Events.VMLists)+len(t.Events.Digests)+len(t.Events.LoadReports) > 0
	if newEvidence || t.Due(&t.Timers.Leaving, now, leavingCheckInterval) {
		s.markLeaving(t, now)
	}
}

// recordList replaces the listed VMs. An upstream that was listed before and is
// missing now counts as leaving.
func (s *Membership) recordList(t *table.Tables, now time.Time, vms []lentilmux.ListedVM) {
	for _, vm := range vms {
		t.VMs.Put(table.VM{Listed: vm, SeenAt: now})
		switch vm.Role {
		case lentilmux.RoleUpstream:
			if u := t.Upstreams.Find(vm.Name); u != nil {
				u.EverListed = true
			}
		case lentilmux.RoleEntry:
			s.recordListedPeer(t, vm)
		}
	}
	for i := len(t.VMs.Rows) - 1; i >= 0; i-- {
		if !t.VMs.Rows[i].SeenAt.Equal(now) {
			t.VMs.Remove(t.VMs.Rows[i].Listed.Name)
		}
	}
	for i := range t.Upstreams.Rows {
		u := &t.Upstreams.Rows[i]
		vm := t.VMs.Find(u.Spec.Name)
		u.ListedLeaving = (vm == nil && u.EverListed) || (vm != nil && vm.Listed.Leaving)
	}
}

func (s *Membership) recordListedPeer(t *table.Tables, vm lentilmux.ListedVM) {
	if vm.Name == t.Self.Name {
		return
	}
	if p := t.Peers.Find(vm.Name); p != nil {
		p.Leaving = vm.Leaving
		if vm.Addr.IsValid() {
			p.Addr = vm.Addr
		}
		return
	}
	if !vm.Addr.IsValid() {
		return // it has to send a digest first, which names its address
	}
	t.Peers.Put(table.Peer{Name: vm.Name, Addr: vm.Addr, Leaving: vm.Leaving})
}

// recordDigest stores the digest of a peer and answers with the node's own.
func (s *Membership) recordDigest(t *table.Tables, now time.Time, event table.DigestEvent) {
	digest := event.Digest
	t.Answer(event.CorrelationID, lentilmux.DigestAnswer{Digest: ownDigest(t)})
	if digest.VM == t.Self.Name {
		return
	}
	t.Self.LastContactAt = now
	p := t.Peers.Find(digest.VM)
	if p == nil {
		p = t.Peers.Put(table.Peer{Name: digest.VM})
	}
	adjustPeerCounts(t, &p.Digest, -1)
	p.Addr, p.Digest, p.LastDigestAt, p.FailingSince = digest.Addr, digest, now, time.Time{}
	if event.RTT > 0 {
		p.RTT = event.RTT
	}
	adjustPeerCounts(t, &p.Digest, 1)
	for _, name := range digest.Leaving {
		if u := t.Upstreams.Find(name); u != nil {
			u.PeerLeavingAt = now
		}
	}
	if digest.CallsKnownSince.After(t.Streams.Calls.KnownSince) {
		t.Streams.Calls.KnownSince = digest.CallsKnownSince
	}
	if digest.Revision > t.Self.Revision {
		s.fetchNewerConfig(t, now, p)
	}
}

// fetchNewerConfig fetches the configuration from a peer with a higher revision
// if the log is unavailable.
func (s *Membership) fetchNewerConfig(t *table.Tables, now time.Time, p *table.Peer) {
	if t.Streams.Config.Healthy() || now.Sub(t.Backlog.SnapshotRequestedAt) < snapshotFetchInterval {
		return
	}
	t.Backlog.SnapshotRequestedAt = now
	t.AddEffect(lentilmux.FetchSnapshotEffect{VM: p.Name, Addr: p.Addr})
}

// adjustPeerCounts adds the counts of a digest, times sign, to Upstreams and
// Workspaces. A sign of -1 takes them off again.
func adjustPeerCounts(t *table.Tables, digest *lentilmux.Digest, sign int) {
	for _, c := range digest.InFlight {
		if u := t.Upstreams.Find(c.Upstream); u != nil {
			u.PeerInFlight = max(0, u.PeerInFlight+sign*c.Count)
		}
	}
	for _, usage := range digest.Usage {
		if w := t.Workspaces.Find(usage.Workspace); w != nil {
			w.PeerRunning = max(0, w.PeerRunning+sign*usage.Running)
		}
	}
}

// forgetSilentPeers drops the counts of peers that sent no digest for
// Limits.PeerTimeout, and removes those that are not listed and sent none for
// Limits.OwnerTimeout.
func (s *Membership) forgetSilentPeers(t *table.Tables, now time.Time) {
	for i := len(t.Peers.Rows) - 1; i >= 0; i-- {
		p := &t.Peers.Rows[i]
		if now.Sub(p.LastDigestAt) < t.Limits.PeerTimeout {
			continue
		}
		adjustPeerCounts(t, &p.Digest, -1)
		p.Digest.InFlight, p.Digest.Usage = nil, nil
		if t.VMs.Find(p.Name) == nil && now.Sub(p.LastDigestAt) >= t.Limits.OwnerTimeout {
			t.Peers.Remove(p.Name)
		}
	}
}

// markLeaving sets the leaving marks of Upstreams from the VM list, the
// upstreams' own load reports and the recent digests of peers.
func (s *Membership) markLeaving(t *table.Tables, now time.Time) {
	for i := range t.Upstreams.Rows {
		u := &t.Upstreams.Rows[i]
		ownEvidence := u.ListedLeaving || u.ReportedLeaving
		reportedByPeer := !u.PeerLeavingAt.IsZero() && now.Sub(u.PeerLeavingAt) < t.Limits.LeavingTimeout
		leaving := ownEvidence || reportedByPeer
		if leaving == u.Leaving {
			continue
		}
		if leaving {
			reason := "the VM list or its own load report"
			if !ownEvidence {
				reason = "a peer's digest"
			}
			t.RecordDecision(now, lentilmux.Decision{What: "leaving", Subject: u.Spec.Name, Chosen: "no_new_work", Reason: reason})
		}
		u.Leaving = leaving
	}
}

// ownDigest returns the digest of this node. It names only upstreams that the
// node itself found leaving, never those that it knows of from peers, since VMs
// would otherwise keep each other's marks alive.
func ownDigest(t *table.Tables) lentilmux.Digest {
	digest := lentilmux.Digest{
		VM: t.Self.Name, Zone: t.Self.Zone, Addr: t.Self.Addr, Incarnation: t.Self.Incarnation,
		Revision: publicRevision(t), Draining: t.Self.Draining(),
		NextCallOffset: t.Streams.Calls.NextOffset, CallsKnownSince: t.Streams.Calls.KnownSince,
	}
	for i := range t.Upstreams.Rows {
		u := &t.Upstreams.Rows[i]
		if u.ListedLeaving || u.ReportedLeaving {
			digest.Leaving = append(digest.Leaving, u.Spec.Name)
		}
		if u.InFlight > 0 {
			digest.InFlight = append(digest.InFlight, lentilmux.UpstreamCount{Upstream: u.Spec.Name, Count: u.InFlight})
		}
	}
	for i := range t.Workspaces.Rows {
		w := &t.Workspaces.Rows[i]
		if w.Running+w.Queued > 0 {
			digest.Usage = append(digest.Usage, lentilmux.WorkspaceUsage{Workspace: w.Spec.Name, Running: w.Running, Queued: w.Queued})
		}
	}
	return digest
}
