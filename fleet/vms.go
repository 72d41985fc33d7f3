package fleet

import (
	"net/netip"
	"time"

	"lentilmux.example/lentilmux"
)

// VMRow is another entry VM.
type VMRow struct {
	Name        string
	Zone        string
	Addr        netip.AddrPort
	Incarnation uint64
	Sequence    uint64
	Heard       time.Time // of its last digest; zero for one that was never heard
	Draining    bool
	Stale       bool
	Scope       lentilmux.DigestScope // of its last digest
	VMs         int                   // that its last digest sums up
	Loads       []lentilmux.UpstreamLoad
	Sends       []lentilmux.ServiceSends
	Suspects    []string  // upstreams that it holds to be dead
	TriedAt     time.Time // when digests were first sent to it without hearing it; zero if it is heard
}

// VMs is the table of the other entry VMs.
type VMs struct {
	Rows  []*VMRow
	index map[string]int
}

// Find returns a VM's row, or nil.
func (v *VMs) Find(name string) *VMRow {
	if i, ok := v.index[name]; ok {
		return v.Rows[i]
	}
	return nil
}

// Put returns a VM's row, a new one if there is none.
func (v *VMs) Put(name string) *VMRow {
	if row := v.Find(name); row != nil {
		return row
	}
	if v.index == nil {
		v.index = make(map[string]int)
	}
	row := &VMRow{Name: name}
	v.index[name] = len(v.Rows)
	v.Rows = append(v.Rows, row)
	return row
}

// Whole is what a relay last told of all VMs' work.
type Whole struct {
	From  string // the relay
	Heard time.Time
	VMs   int
	Loads []lentilmux.UpstreamLoad
	Sends []lentilmux.ServiceSends
}

// fresh reports whether a relay told of all VMs of late.
func (w *Whole) fresh(now time.Time, limit time.Duration) bool {
	return !w.Heard.IsZero() && now.Sub(w.Heard) <= limit
}

// Live returns how many VMs, with this one, are at work.
func (t *Tables) Live(now time.Time) (count int) {
	if t.Whole.fresh(now, t.Limits.SilentAfter) {
		return max(t.Whole.VMs, 1)
	}
	count = 1
	for _, vm := range t.VMs.Rows {
		if t.heard(vm, now) {
			count++
		}
	}
	return count
}

// heard reports whether a VM's last digest is new enough.
func (t *Tables) heard(vm *VMRow, now time.Time) bool {
	return !vm.Heard.IsZero() && now.Sub(vm.Heard) <= t.Limits.SilentAfter
}

// Leads reports whether this VM gives the orders: the lowest name of all that
// are heard, in touch with the store and not leaving. Two may think so for a
// while; orders name the state that they expect, so the second is refused.
func (t *Tables) Leads(now time.Time) bool {
	if t.Self.Draining || t.Stale(now) {
		return false
	}
	for _, vm := range t.VMs.Rows {
		if vm.Name < t.Self.Name && t.heard(vm, now) && !vm.Draining && !vm.Stale {
			return false
		}
	}
	return true
}
