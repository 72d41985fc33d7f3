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

// relayed reports whether the fleet is large enough to need relays.
func (t *Tables) relayed() bool { return len(t.VMs.Rows)+1 > t.Limits.MaxMeshVMs }

// relays returns the names of a zone's relays: the lowest of those that are
// heard, or not known to be silent.
func (t *Tables) relays(zone string, now time.Time) (names []string) {
	if zone == t.Self.Zone && !t.Self.Draining {
		names = append(names, t.Self.Name)
	}
	for _, vm := range t.VMs.Rows {
		if vm.Zone == zone && !vm.Draining && !t.silent(vm, now) {
			names = append(names, vm.Name)
		}
	}
	slices.Sort(names)
	return names[:min(len(names), t.Limits.RelaysPerZone)]
}

// silent reports whether a VM gave no sign of life although it was sent
// digests. It is tried again from time to time.
func (t *Tables) silent(vm *VMRow, now time.Time) bool {
	if t.heard(vm, now) || vm.UnansweredSince.IsZero() {
		return false
	}
	tried := now.Sub(vm.UnansweredSince)
	if tried > t.Limits.RelayRetryInterval {
		vm.UnansweredSince = time.Time{}
		return false
	}
	return tried > t.Limits.PeerTimeout
}

// isRelay reports whether this VM is a relay of its zone.
func (t *Tables) isRelay(now time.Time) bool {
	return slices.Contains(t.relays(t.Self.Zone, now), t.Self.Name)
}

// addrs returns the addresses of VMs that digests are sent to.
func (t *Tables) addrs(names []string, now time.Time) (to []netip.AddrPort) {
	for _, name := range names {
		vm := t.VMs.Find(name)
		if vm == nil || !vm.Addr.IsValid() {
			continue
		}
		if !t.heard(vm, now) && vm.UnansweredSince.IsZero() {
			vm.UnansweredSince = now
		}
		to = append(to, vm.Addr)
	}
	return to
}

// zoneVMs returns the names of this zone's other VMs.
func (t *Tables) zoneVMs() (names []string) {
	for _, vm := range t.VMs.Rows {
		if vm.Zone == t.Self.Zone {
			names = append(names, vm.Name)
		}
	}
	return names
}

// otherRelays returns the relays of all other zones.
func (t *Tables) otherRelays(now time.Time) (names []string) {
	for _, zone := range t.Zones.names {
		if zone != t.Self.Zone {
			names = append(names, t.relays(zone, now)...)
		}
	}
	return names
}

// sources returns the VMs whose digests together tell of all work but this VM's:
// all others, or for a relay those of its zone and one relay of each other zone.
func (t *Tables) sources(now time.Time) (vms []*VMRow) {
	relayed := t.relayed()
	taken := make(map[string]bool) // zones whose sum is counted
	for _, vm := range t.VMs.Rows {
		if !t.heard(vm, now) {
			continue
		}
		if relayed && vm.Zone != t.Self.Zone {
			if vm.Scope != lentilmux.ScopeZone || taken[vm.Zone] {
				continue
			}
			taken[vm.Zone] = true
		}
		vms = append(vms, vm)
	}
	return vms
}

// rank returns this VM's place among those that ask upstreams for their state,
// and their number; false if it is none of them.
func (t *Tables) rank(now time.Time) (place, count int, ok bool) {
	names := []string{t.Self.Name}
	if t.relayed() {
		names = append(t.relays(t.Self.Zone, now), t.otherRelays(now)...)
	} else {
		for _, vm := range t.VMs.Rows {
			if t.heard(vm, now) && !vm.Draining {
				names = append(names, vm.Name)
			}
		}
	}
	slices.SortFunc(names, cmp.Compare)
	place = slices.Index(names, t.Self.Name)
	return place, len(names), place >= 0
}
