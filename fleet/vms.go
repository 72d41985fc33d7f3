package fleet

import (
	"net/netip"
	"time"

	"lentilmux.example/lentilmux"
)

// VMRow is the state of a peer.
type VMRow struct {
	Name            string
	Zone            string
	Addr            netip.AddrPort
	Incarnation     uint64    // start of its process; higher for later starts
	Sequence        uint64    // of its last digest
	LastDigestAt    time.Time // when its last digest arrived; zero if none did
	RecordedAt      time.Time // when its record in the store was last read; zero if it was not
	Draining        bool
	Stale           bool                  // whether it lost contact with the store
	Rules           lentilmux.Revision    // newest version of the configuration that its last digest names
	Scope           lentilmux.DigestScope // of its last digest
	VMCount         int                   // number of VMs that its last digest covers
	Loads           []lentilmux.UpstreamLoad
	RetryCounts     []lentilmux.RetryCounts
	Counts          []PeerCounts       // answers that the VMs of its digests observed, by key
	Suspects        []string           // IDs of upstreams that it considers dead
	FleetSuspects   []string           // the same by its last fleet-wide sum
	ForwardedAt     time.Time          // when a request was last forwarded to it
	AvoidUntil      time.Time          // until then no request is forwarded to it, since it failed
	AwaitedRules    lentilmux.Revision // version of the configuration that ends AvoidUntil earlier, since the peer failed for the lack of it; 0 for none
	IsolatedVMs     []lentilmux.VMHash // VMs that reach no upstream, by its last digest
	Isolated        bool               // whether the digests of any VM list this one as isolated
	wasIsolated     bool               // the same before the digests of this tick
	UnansweredSince time.Time          // when the first digest was sent to it while it was not live; zero while it is live
}

// VMs is the table of peers.
type VMs struct {
	Rows        []*VMRow
	indexByName map[string]int
	rowByHash   map[lentilmux.VMHash]*VMRow
	forgottenAt time.Time // when gone peers were last looked for
}

// Find returns a peer's row, or nil if the peer is unknown.
func (v *VMs) Find(name string) *VMRow {
	if i, ok := v.indexByName[name]; ok {
		return v.Rows[i]
	}
	return nil
}

// GetOrCreate returns a peer's row and adds one if there is none.
func (v *VMs) GetOrCreate(name string) *VMRow {
	if row := v.Find(name); row != nil {
		return row
	}
	if v.indexByName == nil {
		v.indexByName = make(map[string]int)
		v.rowByHash = make(map[lentilmux.VMHash]*VMRow)
	}
	row := &VMRow{Name: name}
	v.indexByName[name] = len(v.Rows)
	v.rowByHash[lentilmux.HashVM(name)] = row
	v.Rows = append(v.Rows, row)
	return row
}

// markIsolated records which peers are isolated, by the last digests of those that
// are live. It logs changes, in a fleet that uses relays on these only.
func (t *Tables) markIsolated(now time.Time) {
	for _, vm := range t.VMs.Rows {
		vm.wasIsolated, vm.Isolated = vm.Isolated, false
	}
	for _, vm := range t.VMs.Rows {
		if t.isLive(vm, now) {
			t.VMs.markIsolated(vm.IsolatedVMs)
		}
	}
	if t.FleetLoads.isFresh(now, t.Limits.PeerTimeout) {
		t.VMs.markIsolated(t.FleetLoads.IsolatedVMs)
	}
	logs := !t.usesRelays() || t.isRelay(now)
	for _, vm := range t.VMs.Rows {
		if logs && vm.Isolated != vm.wasIsolated {
			what := map[bool]string{true: "peer_isolated", false: "peer_reachable"}[vm.Isolated]
			t.RecordDecision(lentilmux.Decision{What: what, Subject: vm.Name, Reason: "by the digests, zone " + vm.Zone})
		}
	}
}

// markIsolated marks VMs as isolated.
func (v *VMs) markIsolated(hashes []lentilmux.VMHash) {
	for _, hash := range hashes {
		if vm := v.rowByHash[hash]; vm != nil {
			vm.Isolated = true
		}
	}
}

const (
	// peerRetention is how long a peer is kept without a digest or a record of it, in
	// announce intervals. Each VM writes its record once an interval.
	peerRetention = 2.5
	// forgetChecks is how often gone peers are looked for, in an announce interval.
	forgetChecks = 10
)

// forgetPeers removes peers that have gone for good: neither a digest nor a record of
// theirs was read for peerRetention. After an outage of the store all VMs have that
// time to write their records again.
func (t *Tables) forgetPeers(now time.Time) {
	if now.Sub(t.VMs.forgottenAt) < t.Limits.AnnounceInterval/forgetChecks {
		return
	}
	t.VMs.forgottenAt = now
	retention := time.Duration(peerRetention * float64(t.Limits.AnnounceInterval))
	oldest, records := now.Add(-retention), &t.Streams.VMs
	if records.Failing || records.AsOf.Before(oldest) || now.Sub(records.RecoveredAt) < retention {
		return
	}
	t.VMs.removeFunc(func(vm *VMRow) bool {
		gone := vm.LastDigestAt.Before(oldest) && vm.RecordedAt.Before(oldest)
		if gone {
			t.RecordDecision(lentilmux.Decision{What: "peer_forgotten", Subject: vm.Name, Reason: "no digest or record for " + retention.String()})
		}
		return gone
	})
}

// removeFunc removes the rows for which gone returns true.
func (v *VMs) removeFunc(gone func(vm *VMRow) bool) {
	kept := v.Rows[:0]
	for _, vm := range v.Rows {
		if gone(vm) {
			delete(v.indexByName, vm.Name)
			delete(v.rowByHash, lentilmux.HashVM(vm.Name))
			continue
		}
		v.indexByName[vm.Name] = len(kept)
		kept = append(kept, vm)
	}
	clear(v.Rows[len(kept):])
	v.Rows = kept
}

// FleetLoads is what the fleet-wide sum that was last received from a relay says
// of the fleet. The loads of its upstreams are in their rows.
type FleetLoads struct {
	Relay       string // name of the relay that sent it
	ReceivedAt  time.Time
	VMCount     int // number of VMs in the sum
	RetryCounts []lentilmux.RetryCounts
	IsolatedVMs []lentilmux.VMHash // VMs of the fleet that reach no upstream
	Rules       lentilmux.Revision // newest version of the configuration in force on any VM
}

// isFresh reports whether the sum was received at most maxAge ago.
func (f *FleetLoads) isFresh(now time.Time, maxAge time.Duration) bool {
	return !f.ReceivedAt.IsZero() && now.Sub(f.ReceivedAt) <= maxAge
}

// LiveVMs returns the number of live entry VMs, including this one.
func (t *Tables) LiveVMs(now time.Time) (count int) {
	if t.FleetLoads.isFresh(now, t.Limits.PeerTimeout) {
		return max(t.FleetLoads.VMCount, 1)
	}
	count = 1
	for _, vm := range t.VMs.Rows {
		if t.isLive(vm, now) {
			count++
		}
	}
	return count
}

// isLive reports whether the last digest of a peer arrived within PeerTimeout.
func (t *Tables) isLive(vm *VMRow, now time.Time) bool {
	return !vm.LastDigestAt.IsZero() && now.Sub(vm.LastDigestAt) <= t.Limits.PeerTimeout
}

// IsLeader reports whether this VM places layers and sends orders. The leader is
// the VM with the lowest name among those that are live, not draining, in contact
// with the store and not isolated from the upstreams; where relays are used, only they know enough of the
// others to lead. Two VMs may both consider themselves leader for a while. That is
// safe: an order names the number of orders that the upstream has accepted, so
// the upstream refuses the second one.
func (t *Tables) IsLeader(now time.Time) bool {
	if t.Self.Draining || t.ConfigStale(now) || t.isIsolated(now) || t.usesRelays() && !t.isRelay(now) {
		return false
	}
	for _, vm := range t.VMs.Rows {
		if vm.Name < t.Self.Name && t.isLive(vm, now) && !vm.Draining && !vm.Stale && !vm.Isolated {
			return false
		}
	}
	return true
}
