package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"lentilmux.example/lentilmux"
)

// A VM that does not trust its links to upstreams, or finds no room since it has lost
// some of them, forwards the requests of its callers to a peer, which selects the
// upstream as for its own callers. A request is forwarded once only: a VM that gets
// one from a peer either sends it to an upstream or refuses it.

const (
	// peerAvoidDuration is how long a peer that could not be reached, or that refused
	// a request since it cannot serve any, gets no forwarded ones.
	peerAvoidDuration = 2 * time.Second
	// maxPeerSilence is the time without a digest of a peer after which a stalled
	// request that was forwarded to it is given another attempt.
	maxPeerSilence = 700 * time.Millisecond
	// maxPeerWait is how long a request waits for a peer to apply the newest
	// configuration.
	maxPeerWait = time.Second
	// maxPeerRefusals is the number of peers that may refuse one request since they
	// cannot serve any, without this counting as an attempt.
	maxPeerRefusals = 4
)

// forwards reports whether the next attempt of a request goes to a peer, if one is
// usable.
func (t *Tables) forwards(request *RequestRow) bool {
	return !t.trustsLinks() && !request.Forwarded.IsForwarded()
}

// lacksLinks reports whether some upstream of a request's service is lost to this VM
// while a peer reaches it, so that a peer may have room where this VM has none.
func (t *Tables) lacksLinks(request *RequestRow) bool {
	return !request.Forwarded.IsForwarded() && slices.ContainsFunc(t.Upstreams.Rows, func(row *UpstreamRow) bool {
		return row.Service == request.Service && row.Dead && row.ReachedByPeer
	})
}

// selectPeer returns the peer to forward a request to, or nil if none is usable: the
// best one of this VM's zone, by [betterPeer]. If most VMs of the zone are isolated, or
// a VM of another zone is better, it chooses among those of all zones, so that the few
// do not carry the load of the zone alone.
func (t *Tables) selectPeer(now time.Time) (peer *VMRow) {
	var nearest, any *VMRow
	usable, isolated := 0, 1 // in this VM's zone
	for _, vm := range t.VMs.Rows {
		sameZone := vm.Zone == t.Self.Zone
		if !t.isUsablePeer(vm, now) {
			if sameZone && vm.Isolated {
				isolated++
			}
			continue
		}
		if sameZone {
			usable++
			nearest = betterPeer(nearest, vm)
		}
		any = betterPeer(any, vm)
	}
	if nearest != nil && usable >= isolated && nearest.Rules >= any.Rules && len(nearest.Suspects) <= len(any.Suspects) {
		return nearest
	}
	return any
}

// betterPeer returns the one of two peers that has the newer configuration, or else
// considers fewer upstreams dead, or else to which the last request was forwarded
// earlier. The first may be nil.
func betterPeer(a, b *VMRow) *VMRow {
	if a == nil || cmp.Or(cmp.Compare(b.Rules, a.Rules), cmp.Compare(len(a.Suspects), len(b.Suspects)), a.ForwardedAt.Compare(b.ForwardedAt)) > 0 {
		return b
	}
	return a
}

// isUsablePeer reports whether requests may be forwarded to a peer. In a fleet that
// uses relays a VM gets no digests of most peers, and knows only which are isolated.
func (t *Tables) isUsablePeer(vm *VMRow, now time.Time) bool {
	if !vm.Addr.IsValid() || vm.Isolated || vm.Draining || vm.Stale || vm.isAvoided(now) {
		return false
	}
	return t.isLive(vm, now) || t.usesRelays() && !t.isUnresponsive(vm, now)
}

// waitsForPeer reports whether a request has to wait until the best of its peers applies
// the newest configuration, without which the peer would refuse. A peer whose digests do
// not name its version is asked.
func (t *Tables) waitsForPeer(request *RequestRow, peer *VMRow, now time.Time) bool {
	return t.Reach.State == ReachLost && request.Attempts == 0 && !request.WaitedForPeer && t.isLive(peer, now) && peer.Rules > 0 && peer.Rules < t.newestRules()
}

// isAvoided reports whether no request is forwarded to a peer since it failed. One that
// only lacked a version of the configuration is usable as soon as it names that.
func (v *VMRow) isAvoided(now time.Time) bool {
	return now.Before(v.AvoidUntil) && (v.AwaitedRules == 0 || v.Rules < v.AwaitedRules)
}

// forwardToPeer makes a peer the target of the next attempt of a request and answers
// with it. It returns false if no peer is usable.
func (a *AdmitRequests) forwardToPeer(t *Tables, request *RequestRow, correlationID lentilmux.CorrelationID, now time.Time) (forwarded bool) {
	if request.Confined {
		return false // the peer would select another upstream
	}
	peer := t.selectPeer(now)
	if peer == nil || t.waitsForPeer(request, peer, now) {
		return false
	}
	peer.ForwardedAt = now
	request.Attempts++
	request.AttemptState = AttemptState{Epoch: lentilmux.Epoch(request.Attempts), Peer: peer.Name, PeerUpstreams: t.upstreamsForPeer(request, now), SentAt: now}
	rules := t.newestRules()
	if peer.Rules < rules {
		request.AwaitedRules = rules
	}
	attempt := lentilmux.Attempt{
		Request: request.ID, Epoch: request.Epoch, Kind: request.Route.Kind, Workspace: request.Workspace, Deadline: request.Deadline,
		Peer: peer.Name, Addr: peer.Addr, PossibleRuns: request.PossibleRuns, MaxUpstreams: request.PeerUpstreams, MinRules: rules,
	}
	if request.Route.Kind.Repeatable() {
		attempt.FirstEventTimeout, attempt.EventGapTimeout = t.Limits.MaxStallTimeout, t.Limits.MaxStallTimeout
	}
	t.Answer(correlationID, lentilmux.AttemptAnswer{Attempt: attempt})
	t.RecordDecision(lentilmux.Decision{
		What: "request_forwarded", Subject: string(request.ID), Chosen: peer.Name,
		Reason: fmt.Sprintf("leg=%d %s, peer of zone %s", request.Epoch, t.describeLinks(now), peer.Zone),
	})
	return true
}

// newestRules returns the newest version of the configuration that this VM knows to be
// in force on any VM. Callers of one VM must not be served by an older version after a
// newer one, and peers may apply a version later than others.
func (t *Tables) newestRules() (version lentilmux.Revision) {
	version = max(t.Rules.Version, t.FleetLoads.Rules)
	for _, vm := range t.VMs.Rows {
		version = max(version, vm.Rules)
	}
	return version
}

// describeLinks returns why this VM forwards requests, for the log.
func (t *Tables) describeLinks(now time.Time) (text string) {
	if t.trustsLinks() {
		return "no room, and upstreams that peers reach are lost to this VM"
	}
	return fmt.Sprintf("links=%s for %s", t.Reach.State, now.Sub(t.Reach.Since).Round(time.Millisecond))
}

// unreachableRefusal returns the refusal of a request that neither this VM nor a peer
// can send to an upstream. A confined one may be sent once this VM reaches it again.
func (t *Tables) unreachableRefusal(request *RequestRow, now time.Time) *lentilmux.Refusal {
	if request.Confined {
		return t.noRoomRefusal(request, "no upstream can be reached, and it may run only where it may have run before", now)
	}
	return t.notRunRefusal(lentilmux.ReasonNotReady, "no upstream can be reached, and no usable peer")
}

// recordFailedForward handles the failure of an attempt at a peer. One that cannot
// serve requests at the moment gets no further ones for a while.
func (t *Tables) recordFailedForward(request *RequestRow, failed FailedAttemptRow, now time.Time) {
	peer := t.VMs.Find(request.Peer)
	switch {
	case peer == nil:
	case !failed.Answered && !t.isLive(peer, now):
		peer.AvoidUntil = now.Add(t.Limits.RelayRetryInterval)
	case !failed.Answered, failed.peerCannotServe():
		peer.AvoidUntil = now.Add(peerAvoidDuration)
	}
	if peer != nil {
		peer.AwaitedRules = 0
		if failed.peerCannotServe() {
			peer.AwaitedRules = request.AwaitedRules
		}
	}
	if failed.peerCannotServe() {
		request.PeerRefusals++
	}
}

// peerCannotServe reports whether a peer refused a request for a reason that does not
// concern the request.
func (f *FailedAttemptRow) peerCannotServe() bool {
	return f.PeerRefusal != nil && f.PeerRefusal.Outcome == lentilmux.OutcomeNotRun && (f.PeerRefusal.Reason == lentilmux.ReasonNotReady || f.PeerRefusal.Reason == lentilmux.ReasonDraining)
}

// checkForwardRetry decides whether a request whose attempt at a peer failed may have
// another attempt. decided is false if the rules for all attempts decide.
func (a *AdmitRequests) checkForwardRetry(request *RequestRow, failed FailedAttemptRow) (reason lentilmux.Reason, detail string, decided bool) {
	switch {
	case failed.peerCannotServe():
		if request.PeerRefusals > maxPeerRefusals {
			return failed.PeerRefusal.Reason, "peers cannot serve it: " + failed.PeerRefusal.Detail, true
		}
		return "", "", true
	case failed.PeerRefusal != nil:
		return failed.PeerRefusal.Reason, request.Peer + ": " + failed.PeerRefusal.Detail, true
	case failed.Answered:
		return lentilmux.ReasonUpstreamFailed, request.Peer + " has retried it", true
	default:
		return "", "", false
	}
}
