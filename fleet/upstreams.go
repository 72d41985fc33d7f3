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
func (u *UpstreamRow) Usable(now time.Time) bool {
	return !u.Draining && (u.ExpiresAt.IsZero() || now.Before(u.ExpiresAt)) && u.SuspectUntil.IsZero()
}

// Upstreams is the table of upstreams.
type Upstreams struct {
	Rows      []*UpstreamRow
	indexByID map[string]int
	idByAddr  map[netip.AddrPort]string
}

// Find returns an upstream's row, or nil.
func (u *Upstreams) Find(id string) *UpstreamRow {
	if i, ok := u.indexByID[id]; ok {
		return u.Rows[i]
	}
	return nil
}

// FindByAddr returns the upstream that registered an address last, or nil.
func (u *Upstreams) FindByAddr(addr netip.AddrPort) *UpstreamRow {
	row := u.Find(u.idByAddr[addr])
	if row == nil || row.Addr != addr {
		return nil
	}
	return row
}

// Upsert returns an upstream's row, a new one if there is none.
func (u *Upstreams) Upsert(record lentilmux.UpstreamRecord) *UpstreamRow {
	if u.indexByID == nil {
		u.indexByID = make(map[string]int)
		u.idByAddr = make(map[netip.AddrPort]string)
	}
	u.idByAddr[record.Addr] = record.ID
	if row := u.Find(record.ID); row != nil {
		row.UpstreamRecord = record
		return row
	}
	row := &UpstreamRow{UpstreamRecord: record, Progress: &lentilmux.Progress{}, Slowdown: 1}
	u.indexByID[record.ID] = len(u.Rows)
	u.Rows = append(u.Rows, row)
	return row
}

// Remove drops an upstream.
func (u *Upstreams) Remove(id string) {
	i, ok := u.indexByID[id]
	if !ok {
		return
	}
	if row := u.Rows[i]; u.idByAddr[row.Addr] == id {
		delete(u.idByAddr, row.Addr)
	}
	last := len(u.Rows) - 1
	u.Rows[i] = u.Rows[last]
	u.indexByID[u.Rows[i].ID] = i
	u.Rows = u.Rows[:last]
	delete(u.indexByID, id)
}
