package fleet

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"lentilmux.example/lentilmux"
)

// Digests go from each VM to all others in a small fleet. In a large one the
// lowest names of each availability zone are its relays: they sum up what the
// VMs of their zone send them, exchange the sums with the relays of other zones,
// and tell their zone's VMs the sum of all. So what a VM sends and receives does
// not grow with the fleet, and a relay's share grows with its zone only.

// usesRelays reports whether the fleet is large enough to need relays.
func (t *Tables) usesRelays() bool { return len(t.VMs.Rows)+1 > t.Limits.MaxMeshVMs }

// zoneRelays returns the names of a zone's relays: the lowest of those that are
// heard, or not known to be silent.
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

// isUnresponsive reports whether a VM gave no sign of life although it was sent
// digests. It is tried again from time to time.
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

// digestAddrs returns the addresses of VMs that digests are sent to.
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

// otherVMsInZone returns the names of this zone's other VMs.
func (t *Tables) otherVMsInZone() (names []string) {
	for _, vm := range t.VMs.Rows {
		if vm.Zone == t.Self.Zone {
			names = append(names, vm.Name)
		}
	}
	return names
}

// relaysOfOtherZones returns the relays of all other zones.
func (t *Tables) relaysOfOtherZones(now time.Time) (names []string) {
	for _, zone := range t.Zones.names {
		if zone != t.Self.Zone {
			names = append(names, t.zoneRelays(zone, now)...)
		}
	}
	return names
}

// digestSources returns the VMs whose digests together tell of all work but this VM's:
// all others, or for a relay those of its zone and one relay of each other zone.
func (t *Tables) digestSources(now time.Time) (vms []*VMRow) {
	usesRelays := t.usesRelays()
	countedZones := make(map[string]bool) // zones whose sum is counted
	for _, vm := range t.VMs.Rows {
		if !t.isLive(vm, now) {
			continue
		}
		if usesRelays && vm.Zone != t.Self.Zone {
			if vm.Scope != lentilmux.ScopeZone || countedZones[vm.Zone] {
				continue
			}
			countedZones[vm.Zone] = true
		}
		vms = append(vms, vm)
	}
	return vms
}

// proberRank returns this VM's place among those that ask upstreams for their state,
// and their number; false if it is none of them.
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
	slices.SortFunc(names, cmp.Compare)
	rank = slices.Index(names, t.Self.Name)
	return rank, len(names), rank >= 0
}
