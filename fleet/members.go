package fleet

import (
	"net/netip"
	"time"

	"lentilmux.example/lentilmux"
)

// MemberRow is one upstream.
type MemberRow struct {
	lentilmux.Member
	Offset  uint64    // of its newest entry
	Seen    time.Time // when it was first met
	EntryAt time.Time // when its newest entry was read
	GoneAt  time.Time // when its missing entry counts; zero while it has one
	Pulse   *lentilmux.Pulse

	Own   Load // of this VM
	Peers Load // of the other VMs, as last heard

	SuspectUntil time.Time // takes no work before; zero if it is trusted
	SuspectFor   time.Duration
	FullUntil    time.Time // refused work of late; takes none before
	Breaks       int       // sends in a row that broke before an answer began
	ShunUntil    time.Time // is not the first of a path before, if there is another
	Misses       int       // questions in a row that it did not answer
	Dead         bool      // whether requests on it have to move
	Hearsay      bool      // whether that is another VM's word

	Slow       float64 // how many times slower than its card it says it is
	ReportedAt time.Time
	AskedAt    time.Time

	Target    lentilmux.LayerRange // ordered, valid if Targeted
	Targeted  bool
	Orders    int       // orders that it has accepted since its start
	OrderedAt time.Time // of the last order; zero if none was given
	RefusedAt time.Time // when it last refused an order; no other one follows at once
	Unclear   bool      // whether its state has to be asked before the next order
}

// Load is work under way at an upstream.
type Load struct {
	Streams  int
	Waiting  int
	Reserved int64
}

// add adds another load, sign times.
func (l *Load) add(other Load, sign int) {
	l.Streams = max(0, l.Streams+sign*other.Streams)
	l.Waiting = max(0, l.Waiting+sign*other.Waiting)
	l.Reserved = max(0, l.Reserved+int64(sign)*other.Reserved)
}

// Usable reports whether the upstream may get new work.
func (m *MemberRow) Usable(now time.Time) bool {
	return !m.Draining && (m.GoneAt.IsZero() || now.Before(m.GoneAt)) && m.SuspectUntil.IsZero()
}

// Members is the table of upstreams.
type Members struct {
	Rows  []*MemberRow
	index map[string]int
	addrs map[netip.AddrPort]string
}

// Find returns an upstream's row, or nil.
func (m *Members) Find(id string) *MemberRow {
	if i, ok := m.index[id]; ok {
		return m.Rows[i]
	}
	return nil
}

// At returns the upstream that registered an address last, or nil.
func (m *Members) At(addr netip.AddrPort) *MemberRow {
	row := m.Find(m.addrs[addr])
	if row == nil || row.Addr != addr {
		return nil
	}
	return row
}

// Put returns an upstream's row, a new one if there is none.
func (m *Members) Put(member lentilmux.Member) *MemberRow {
	if m.index == nil {
		m.index = make(map[string]int)
		m.addrs = make(map[netip.AddrPort]string)
	}
	m.addrs[member.Addr] = member.ID
	if row := m.Find(member.ID); row != nil {
		row.Member = member
		return row
	}
	row := &MemberRow{Member: member, Pulse: &lentilmux.Pulse{}, Slow: 1}
	m.index[member.ID] = len(m.Rows)
	m.Rows = append(m.Rows, row)
	return row
}

// Remove drops an upstream.
func (m *Members) Remove(id string) {
	i, ok := m.index[id]
	if !ok {
		return
	}
	if row := m.Rows[i]; m.addrs[row.Addr] == id {
		delete(m.addrs, row.Addr)
	}
	last := len(m.Rows) - 1
	m.Rows[i] = m.Rows[last]
	m.index[m.Rows[i].ID] = i
	m.Rows = m.Rows[:last]
	delete(m.index, id)
}
