package fleet

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"lentilmux.example/lentilmux"
)

// SelectReadSource decides where this VM reads the store's streams. In a large fleet the
// relays read the store and the other VMs of their availability zone read at
// them. It reads VMs and Self.
type SelectReadSource struct {
	shared     bool
	relayAddrs []netip.AddrPort
}

// Run implements [System].
func (s *SelectReadSource) Run(t *Tables, now time.Time) {
	shared := t.usesRelays()
	names := s.relayNames(t, now)
	relayAddrs := make([]netip.AddrPort, len(names))
	for i, name := range names {
		relayAddrs[i] = t.VMs.Find(name).Addr
	}
	if shared == s.shared && slices.Equal(relayAddrs, s.relayAddrs) {
		return
	}
	s.shared, s.relayAddrs = shared, relayAddrs
	t.AddEffect(lentilmux.StreamSourceEffect{VMs: relayAddrs, Shared: shared})
	chosen := strings.Join(names, " ")
	if chosen == "" {
		chosen = "store"
	}
	t.RecordDecision(lentilmux.Decision{What: "reads_from", Subject: t.Self.Name, Chosen: chosen, Reason: "zone " + t.Self.Zone})
}

// relayNames returns the relays to read at: those that are heard and in touch with
// the store. Half of the VMs begin with each.
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
