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
	shared bool
	vms    []netip.AddrPort
}

// Run implements [System].
func (s *SelectReadSource) Run(t *Tables, now time.Time) {
	shared := t.relayed()
	names := s.names(t, now)
	vms := make([]netip.AddrPort, len(names))
	for i, name := range names {
		vms[i] = t.VMs.Find(name).Addr
	}
	if shared == s.shared && slices.Equal(vms, s.vms) {
		return
	}
	s.shared, s.vms = shared, vms
	t.AddEffect(lentilmux.StreamSourceEffect{VMs: vms, Shared: shared})
	chosen := strings.Join(names, " ")
	if chosen == "" {
		chosen = "store"
	}
	t.RecordDecision(lentilmux.Decision{What: "reads_from", Subject: t.Self.Name, Chosen: chosen, Reason: "zone " + t.Self.Zone})
}

// names returns the relays to read at: those that are heard and in touch with
// the store. Half of the VMs begin with each.
func (s *SelectReadSource) names(t *Tables, now time.Time) (names []string) {
	if !t.relayed() || t.isRelay(now) {
		return nil
	}
	for _, name := range t.relays(t.Self.Zone, now) {
		if vm := t.VMs.Find(name); vm != nil && t.heard(vm, now) && !vm.Stale && vm.Addr.IsValid() {
			names = append(names, name)
		}
	}
	if len(names) > 1 && lentilmux.ComputeFingerprint(t.Self.Name)%2 == 1 {
		slices.Reverse(names)
	}
	return names
}
