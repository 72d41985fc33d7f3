package fleet

import (
	"net/netip"
	"time"

	"lentilmux.example/lentilmux"
)

// VMRow is another entry VM.
type VMRow struct {
	Name            string
	Zone            string
	Addr            netip.AddrPort
	Incarnation     uint64
	Sequence        uint64
	LastDigestAt    time.Time // of its last digest; zero for one that was never heard
	Draining        bool
	Stale           bool
	Scope           lentilmux.DigestScope // of its last digest
	VMCount         int                   // that its last digest sums up
	Loads           []lentilmux.UpstreamLoad
	RetryCounts     []lentilmux.RetryCounts
	Suspects        []string  // upstreams that it holds to be dead
	UnansweredSince time.Time // when digests were first sent to it without hearing it; zero if it is heard
}

// VMs is the table of the other entry VMs.
type VMs struct {
	Rows        []*VMRow
	indexByName map[string]int
}

// Find returns a VM's row, or nil.
func (v *VMs) Find(name string) *VMRow {
	if i, ok := v.indexByName[name]; ok {
		return v.Rows[i]
	}
	return nil
}

// GetOrCreate returns a VM's row, a new one if there is none.
func (v *VMs) GetOrCreate(name string) *VMRow {
	if row := v.Find(name); row != nil {
		return row
	}
	if v.indexByName == nil {
		v.indexByName = make(map[string]int)
	}
	row := &VMRow{Name: name}
	v.indexByName[name] = len(v.Rows)
	v.Rows = append(v.Rows, row)
	return row
}

// FleetLoads is what a relay last told of all VMs' work.
type FleetLoads struct {
	Relay       string // the relay
	ReceivedAt  time.Time
	VMCount     int
	Loads       []lentilmux.UpstreamLoad
	RetryCounts []lentilmux.RetryCounts
}

// isFresh reports whether a relay told of all VMs of late.
func (f *FleetLoads) isFresh(now time.Time, maxAge time.Duration) bool {
	return !f.ReceivedAt.IsZero() && now.Sub(f.ReceivedAt) <= maxAge
}

// LiveVMs returns how many VMs, with this one, are at work.
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

// isLive reports whether a VM's last digest is new enough.
func (t *Tables) isLive(vm *VMRow, now time.Time) bool {
	return !vm.LastDigestAt.IsZero() && now.Sub(vm.LastDigestAt) <= t.Limits.PeerTimeout
}

// IsLeader reports whether this VM gives the orders: the lowest name of all that
// are heard, in touch with the store and not leaving. Two may think so for a
// while; orders name the state that they expect, so the second is refused.
func (t *Tables) IsLeader(now time.Time) bool {
	if t.Self.Draining || t.ConfigStale(now) {
		return false
	}
	for _, vm := range t.VMs.Rows {
		if vm.Name < t.Self.Name && t.isLive(vm, now) && !vm.Draining && !vm.Stale {
			return false
		}
	}
	return true
}
