package fleet

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"lentilmux.example/lentilmux"
)

// SelectReadSource selects where this VM reads the streams of the store. In a
// large fleet the relays read from the store, and the other VMs of their
// availability zone read from the relays. A VM that has met no large fleet within
// PeerTimeout of its start knows that it is in a small one. It reads VMs and Self.
type SelectReadSource struct {
	decided    bool // whether a source was selected since the start
	usesRelays bool
	relayAddrs []netip.AddrPort
}

// Run implements [System].
func (s *SelectReadSource) Run(t *Tables, now time.Time) {
	usesRelays := t.usesRelays()
	names := s.relayNames(t, now)
	relayAddrs := make([]netip.AddrPort, len(names))
	for i, name := range names {
		relayAddrs[i] = t.VMs.Find(name).Addr
	}
	changed := usesRelays != s.usesRelays || !slices.Equal(relayAddrs, s.relayAddrs)
	settled := !s.decided && now.Sub(t.Self.Started) >= t.Limits.PeerTimeout
	if !changed && !settled {
		return
	}
	s.decided, s.usesRelays, s.relayAddrs = true, usesRelays, relayAddrs
	t.AddEffect(lentilmux.StreamSourceEffect{VMs: relayAddrs, Shared: usesRelays})
	if !changed {
		return
	}
	chosen := strings.Join(names, " ")
	if chosen == "" {
		chosen = "store"
	}
	t.RecordDecision(lentilmux.Decision{What: "read_source_changed", Subject: t.Self.Name, Chosen: chosen, Reason: "zone " + t.Self.Zone})
}

// relayNames returns the relays to read from: those that are live and in contact
// with the store. The order is reversed for about half of the VMs, by a hash of
// their name, to spread the load.
func (s *SelectReadSource) relayNames(t *Tables, now time.Time) (names []string) {
	if !t.usesRelays() || t.isRelay(now) {
		return nil
	}
	for _, name := range t.zoneRelays(t.Self.Zone, now) {
		if vm := t.VMs.Find(name); vm != nil && t.isLive(vm, now) && !vm.Stale && vm.Addr.IsValid() {
			names = append(names, name)
		}
	}
	if len(names) > 1 && lentilmux.ComputeFingerprint(t.Self.Name)%2 == 1 {
		slices.Reverse(names)
	}
	return names
}
