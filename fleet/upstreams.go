package fleet

import (
	"net/netip"
	"time"

	"lentilmux.example/lentilmux"
)

// UpstreamRow is one upstream.
type UpstreamRow struct {
	lentilmux.UpstreamRecord
	Offset      uint64    // of its newest entry
	FirstSeenAt time.Time // when it was first met
	EntryReadAt time.Time // when its newest entry was read
	ExpiresAt   time.Time // when its missing entry counts; zero while it has one
	Progress    *lentilmux.Progress

	OwnLoad  Load // of this VM
	PeerLoad Load // of the other VMs, as last heard

	SuspectUntil        time.Time // takes no work before; zero if it is trusted
	SuspectDuration     time.Duration
	FullUntil           time.Time // refused work of late; takes none before
	ConsecutiveFailures int       // sends in a row that broke before an answer began
	EjectedUntil        time.Time // is not the first of a path before, if there is another
	MissedProbes        int       // questions in a row that it did not answer
	Dead                bool      // whether requests on it have to move
	ReportedByPeer      bool      // whether that is another VM's word

	Slowdown   float64 // how many times slower than its card it says it is
	ReportedAt time.Time
	ProbedAt   time.Time

	Target         lentilmux.LayerRange // ordered, valid if Targeted
	HasTarget      bool
	AcceptedOrders int       // orders that it has accepted since its start
	OrderedAt      time.Time // of the last order; zero if none was given
	OrderRefusedAt time.Time // when it last refused an order; no other one follows at once
	StateUnknown   bool      // whether its state has to be asked before the next order
}

// Load is work under way at an upstream.
type Load struct {
	Streams             int
	PendingPromptTokens int
	Reserved            int64
}

// add adds another load, sign times.
func (l *Load) add(other Load, sign int) {
	l.Streams = max(0, l.Streams+sign*other.Streams)
	l.PendingPromptTokens = max(0, l.PendingPromptTokens+sign*other.PendingPromptTokens)
	l.Reserved = max(0, l.Reserved+int64(sign)*other.Reserved)
}

// Usable reports whether the upstream may get new work.
func (m *UpstreamRow) Usable(now time.Time) bool {
	return !m.Draining && (m.ExpiresAt.IsZero() || now.Before(m.ExpiresAt)) && m.SuspectUntil.IsZero()
}

// Upstreams is the table of upstreams.
type Upstreams struct {
	Rows  []*UpstreamRow
	index map[string]int
	addrs map[netip.AddrPort]string
}

// Find returns an upstream's row, or nil.
func (m *Upstreams) Find(id string) *UpstreamRow {
	if i, ok := m.index[id]; ok {
		return m.Rows[i]
	}
	return nil
}

// FindByAddr returns the upstream that registered an address last, or nil.
func (m *Upstreams) FindByAddr(addr netip.AddrPort) *UpstreamRow {
	row := m.Find(m.addrs[addr])
	if row == nil || row.Addr != addr {
		return nil
	}
	return row
}

// Upsert returns an upstream's row, a new one if there is none.
func (m *Upstreams) Upsert(member lentilmux.UpstreamRecord) *UpstreamRow {
	if m.index == nil {
		m.index = make(map[string]int)
		m.addrs = make(map[netip.AddrPort]string)
	}
	m.addrs[member.Addr] = member.ID
	if row := m.Find(member.ID); row != nil {
		row.UpstreamRecord = member
		return row
	}
	row := &UpstreamRow{UpstreamRecord: member, Progress: &lentilmux.Progress{}, Slowdown: 1}
	m.index[member.ID] = len(m.Rows)
	m.Rows = append(m.Rows, row)
	return row
}

// Remove drops an upstream.
func (m *Upstreams) Remove(id string) {
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
