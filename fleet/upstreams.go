package fleet

import (
	"net/netip"
	"time"

	"lentilmux.example/lentilmux"
)

// UpstreamRow is the state of one upstream.
type UpstreamRow struct {
	lentilmux.UpstreamRecord
	Position      lentilmux.LogPosition // of its newest entry
	DepartedUntil time.Time             // until then Draining is set since its process had left before the store was restored; zero otherwise
	FirstSeenAt   time.Time             // when its first entry was read
	EntryReadAt   time.Time             // when its newest entry was read
	ExpiresAt     time.Time             // when its missing entry takes effect; zero while the entry exists
	Progress      *lentilmux.Progress   // when one of its response streams last made progress

	OwnLoad   Load // in flight from this VM
	PeerLoad  Load // in flight from peers, by their last digests
	FleetLoad Load // in flight from all VMs, by the relay's last sum that covers the upstream
	Hash      lentilmux.UpstreamHash

	SuspectUntil        time.Time     // suspected until then, takes no new requests; zero if it is not suspected
	SuspectDuration     time.Duration // time between two probes while suspected; doubles with each failure, up to MaxSuspectDuration
	FullUntil           time.Time     // refused a request for lack of capacity, takes no new ones until then
	ConsecutiveFailures int           // attempts in a row that failed before an answer began
	TooLargeAnswers     int           // answers in a row that exceeded a size limit, with no whole one between
	EjectedUntil        time.Time     // ejected until then: not the first hop of a path if there is an alternative
	OverdueAt           time.Time     // when an attempt of this VM was last found overdue here, as first hop
	Trials              int           // trials of this VM that have not begun to answer; no other request starts here if there is an alternative
	MissedProbes        int           // unanswered probes in a row
	ReadLate            bool          // whether the last probe failed, but was read late
	SilentSince         time.Time     // when the first of MissedProbes was sent
	Dead                bool          // whether requests in flight on it have to move
	Ended               bool          // whether its process is known to have ended: its address refuses connections or serves another one
	ReportedByPeer      bool          // whether a peer reported it as dead before this VM found out
	ReachedByPeer       bool          // whether a peer that is not isolated has requests there or got a report, and does not consider it dead

	RequestLimit    RequestLimitState
	BackOffUntil    time.Time // named in an answer to this VM: nothing new starts here until then
	PausedUntil     time.Time // end of the last back-off of any VM: a last choice as first hop until shortly after
	PausedProcess   time.Time // start of the process that PausedUntil concerns
	DrainingProcess time.Time // start of the process that announced its drain in an answer; zero for none

	Slowdown   float64                 // factor against the nominal speed of its accelerator, as last reported by it or a peer; at least 1
	Speed      lentilmux.UpstreamSpeed // learned ratios in use, brought up to date before each digest; without weight if none are used
	ReportedAt time.Time               // when its last report arrived
	ProbedAt   time.Time               // when it was last probed

	SurvivedAt      time.Time // when it was last logged that it lives on after attempts broke off
	ConnectTestedAt time.Time // when a connection was last opened to find out whether it crashed

	Target         lentilmux.LayerRange // layers that it is to load, if HasTarget
	HasTarget      bool
	AcceptedOrders int       // orders accepted since its start
	OrderedAt      time.Time // when the last order was sent; zero if none was sent for this target
	OrderRefusedAt time.Time // when it last refused an order; the next one is delayed by OrderTimeout
	StateUnknown   bool      // whether a report is needed before the next order

	LoggedStep float64    // ratio of the steps that was last logged; 0 for none
	OwnSpeed   SpeedState // as measured by this VM
	PeerSpeed  SpeedState // as measured by peers, by their last digests
	FleetSpeed SpeedState // as measured by all VMs, by the relay's last sum that covers the upstream
}

// Load is the work in flight at one upstream.
type Load struct {
	Streams             int
	PendingPromptTokens int           // prompt tokens whose prefill has not finished
	Reserved            int64         // KV cache, in tokens times layers
	WorkLeft            time.Duration // sum of the times that TimedStreams still run
	TimedStreams        int           // streams whose time left is known
}

// add adds other, or subtracts it if sign is -1. No value goes below 0.
func (l *Load) add(other Load, sign int) {
	l.Streams = max(0, l.Streams+sign*other.Streams)
	l.PendingPromptTokens = max(0, l.PendingPromptTokens+sign*other.PendingPromptTokens)
	l.Reserved = max(0, l.Reserved+int64(sign)*other.Reserved)
	l.WorkLeft = max(0, l.WorkLeft+time.Duration(sign)*other.WorkLeft)
	l.TimedStreams = max(0, l.TimedStreams+sign*other.TimedStreams)
}

// Usable reports whether new requests may be sent to the upstream: it is not
// draining, expired or suspected.
func (u *UpstreamRow) Usable(now time.Time) bool {
	return !u.isDraining() && (u.ExpiresAt.IsZero() || now.Before(u.ExpiresAt)) && u.SuspectUntil.IsZero()
}

// isGone reports whether an upstream is dead for good, as far as this VM knows: its
// process has ended, or it has answered no probe for longer than a sound upstream may
// be silent. Decisions that cannot be taken back when it goes on wait for this.
func (u *UpstreamRow) isGone(now time.Time) bool {
	return u.Dead && (u.Ended || now.Sub(u.SilentSince) > lentilmux.ToleratedSilence)
}

// Upstreams is the table of upstreams.
type Upstreams struct {
	Rows      []*UpstreamRow
	indexByID map[string]int
	idByAddr  map[netip.AddrPort]string
	idByHash  map[lentilmux.UpstreamHash]string
}

// Find returns an upstream's row, or nil if the upstream is unknown.
func (u *Upstreams) Find(id string) *UpstreamRow {
	if i, ok := u.indexByID[id]; ok {
		return u.Rows[i]
	}
	return nil
}

// FindByHash returns the upstream that a digest lists under the hash, or nil if
// it is unknown.
func (u *Upstreams) FindByHash(hash lentilmux.UpstreamHash) *UpstreamRow {
	return u.Find(u.idByHash[hash])
}

// FindByAddr returns the upstream that registered the address last, or nil if
// there is none.
func (u *Upstreams) FindByAddr(addr netip.AddrPort) *UpstreamRow {
	row := u.Find(u.idByAddr[addr])
	if row == nil || row.Addr != addr {
		return nil
	}
	return row
}

// Upsert stores the record of an upstream and returns its row, a new one if the
// upstream was unknown.
func (u *Upstreams) Upsert(record lentilmux.UpstreamRecord) *UpstreamRow {
	if u.indexByID == nil {
		u.indexByID = make(map[string]int)
		u.idByAddr = make(map[netip.AddrPort]string)
		u.idByHash = make(map[lentilmux.UpstreamHash]string)
	}
	u.idByAddr[record.Addr] = record.ID
	if row := u.Find(record.ID); row != nil {
		row.UpstreamRecord = record
		return row
	}
	row := &UpstreamRow{UpstreamRecord: record, Progress: &lentilmux.Progress{}, Slowdown: 1, Hash: lentilmux.HashUpstream(record.ID)}
	u.idByHash[row.Hash] = row.ID
	u.indexByID[record.ID] = len(u.Rows)
	u.Rows = append(u.Rows, row)
	return row
}

// Remove removes an upstream's row.
func (u *Upstreams) Remove(id string) {
	i, ok := u.indexByID[id]
	if !ok {
		return
	}
	row := u.Rows[i]
	if u.idByAddr[row.Addr] == id {
		delete(u.idByAddr, row.Addr)
	}
	if u.idByHash[row.Hash] == id {
		delete(u.idByHash, row.Hash)
	}
	last := len(u.Rows) - 1
	u.Rows[i] = u.Rows[last]
	u.indexByID[u.Rows[i].ID] = i
	u.Rows = u.Rows[:last]
	delete(u.indexByID, id)
}
