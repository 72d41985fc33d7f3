package fleet

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"lentilmux.example/lentilmux"
)

// In a small fleet each VM sends its digests to all others. In a large one the
// VMs with the lowest names in each availability zone are its relays. They add up
// the digests of the VMs of their zone, exchange these sums with the relays of
// the other zones, and send the sum over the fleet to the VMs of their zone. The
// traffic of a VM therefore does not grow with the fleet, and the traffic of a
// relay grows with its zone only.

// usesRelays reports whether the fleet is large enough to need digest relays.
func (t *Tables) usesRelays() bool { return len(t.VMs.Rows)+1 > t.Limits.MaxMeshVMs }

// zoneRelays returns the names of a zone's relays: the lowest names among the
// VMs that are not draining and not unresponsive.
func (t *Tables) zoneRelays(zone string, now time.Time) (names []string) {
	if zone == t.Self.Zone && !t.Self.Draining {
		names = append(names, t.Self.Name)
	}
	for _, vm := range t.VMs.Rows {
		if vm.Zone == zone && !vm.Draining && !t.isUnresponsive(vm, now) {
			names = append(names, vm.Name)
		}
	}
	slices.Sort(names)
	return names[:min(len(names), t.Limits.RelaysPerZone)]
}

// isUnresponsive reports whether a peer sent no digest for longer than
// PeerTimeout although digests were sent to it. After RelayRetryInterval the
// peer counts as responsive again, so that it is tried once more.
func (t *Tables) isUnresponsive(vm *VMRow, now time.Time) bool {
	if t.isLive(vm, now) || vm.UnansweredSince.IsZero() {
		return false
	}
	unansweredFor := now.Sub(vm.UnansweredSince)
	if unansweredFor > t.Limits.RelayRetryInterval {
		vm.UnansweredSince = time.Time{}
		return false
	}
	return unansweredFor > t.Limits.PeerTimeout
}

// isRelay reports whether this VM is a relay of its zone.
func (t *Tables) isRelay(now time.Time) bool {
	return slices.Contains(t.zoneRelays(t.Self.Zone, now), t.Self.Name)
}

// digestAddrs returns the addresses of the named peers for sending digests. It
// starts the timeout of [Tables.isUnresponsive] for those that are not live.
func (t *Tables) digestAddrs(names []string, now time.Time) (addrs []netip.AddrPort) {
	for _, name := range names {
		vm := t.VMs.Find(name)
		if vm == nil || !vm.Addr.IsValid() {
			continue
		}
		if !t.isLive(vm, now) && vm.UnansweredSince.IsZero() {
			vm.UnansweredSince = now
		}
		addrs = append(addrs, vm.Addr)
	}
	return addrs
}

// otherVMsInZone returns the names of the peers in the zone of this VM.
func (t *Tables) otherVMsInZone() (names []string) {
	for _, vm := range t.VMs.Rows {
		if vm.Zone == t.Self.Zone {
			names = append(names, vm.Name)
		}
	}
	return names
}

// relaysOfOtherZones returns the names of the relays of all other zones.
func (t *Tables) relaysOfOtherZones(now time.Time) (names []string) {
	for _, zone := range t.Zones.names {
		if zone != t.Self.Zone {
			names = append(names, t.zoneRelays(zone, now)...)
		}
	}
	return names
}

// digestSources returns the peers whose digests together cover the load of the
// fleet without this VM's own: all live peers or, if relays are used, those in
// this VM's zone and, for each other zone, the relay whose sum arrived last.
func (t *Tables) digestSources(now time.Time) (vms []*VMRow) {
	usesRelays := t.usesRelays()
	sumByZone := make(map[string]int) // index in vms
	for _, vm := range t.VMs.Rows {
		if !t.isLive(vm, now) {
			continue
		}
		if usesRelays && vm.Zone != t.Self.Zone {
			if vm.Scope != lentilmux.ScopeZone {
				continue
			}
			if i, ok := sumByZone[vm.Zone]; ok {
				if vm.LastDigestAt.After(vms[i].LastDigestAt) {
					vms[i] = vm
				}
				continue
			}
			sumByZone[vm.Zone] = len(vms)
		}
		vms = append(vms, vm)
	}
	return vms
}

// proberRank returns this VM's rank among the VMs that probe upstreams and the
// number of these VMs. It returns ok false if this VM is not one of them. If
// relays are used, only the relays probe.
func (t *Tables) proberRank(now time.Time) (rank, count int, ok bool) {
	names := []string{t.Self.Name}
	if t.usesRelays() {
		names = append(t.zoneRelays(t.Self.Zone, now), t.relaysOfOtherZones(now)...)
	} else {
		for _, vm := range t.VMs.Rows {
			if t.isLive(vm, now) && !vm.Draining {
				names = append(names, vm.Name)
			}
		}
	}
	names = slices.DeleteFunc(names, func(name string) bool {
		vm := t.VMs.Find(name)
		return vm != nil && vm.Isolated
	})
	slices.SortFunc(names, cmp.Compare)
	rank = slices.Index(names, t.Self.Name)
	return rank, len(names), rank >= 0
}
