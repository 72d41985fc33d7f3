package fleet

import "lentilmux.example/lentilmux"

// ArrivalRow is a new request that waits for its first attempt.
type ArrivalRow struct {
	Inbound       lentilmux.InboundRequest
	CorrelationID lentilmux.CorrelationID
}

// FailedAttemptRow is a request whose attempt failed and that waits for a retry
// or a refusal.
type FailedAttemptRow struct {
	lentilmux.ForwardFailedMsg
	CorrelationID lentilmux.CorrelationID
}

// StalledAttemptRow is a request whose attempt made no progress for some time.
// The answer says whether to keep waiting or to replace the attempt.
type StalledAttemptRow struct {
	lentilmux.ForwardStalledMsg
	CorrelationID lentilmux.CorrelationID
}

// PartReleaseRow is an operator's request to end the suspicion of a prompt part.
type PartReleaseRow struct {
	lentilmux.ReleasePartMsg
	CorrelationID lentilmux.CorrelationID
}

// ExplainRow is an operator's question where a request would go.
type ExplainRow struct {
	lentilmux.ExplainMsg
	CorrelationID lentilmux.CorrelationID
}

// LimitsMsg replaces the limits in force.
type LimitsMsg struct {
	Limits Limits
}

// Events holds the messages of one tick, by type.
type Events struct {
	StreamUpdates   []lentilmux.StreamUpdatesMsg
	StreamFailures  []lentilmux.StreamReadFailedMsg
	StreamsBehind   []lentilmux.StreamBehindMsg
	Digests         []lentilmux.LoadDigest
	Reports         []lentilmux.UpstreamReportMsg
	OrderResults    []lentilmux.RangeOrderResultMsg
	Plans           []lentilmux.RangesPlannedMsg
	Arrivals        []ArrivalRow
	AnswersStarted  []lentilmux.ForwardStartedMsg
	FailedAttempts  []FailedAttemptRow
	StalledAttempts []StalledAttemptRow
	MoveResults     []lentilmux.MoveResultMsg
	Done            []lentilmux.ForwardDoneMsg
	PartReleases    []PartReleaseRow
	UpstreamLimits  []lentilmux.UpstreamLimitMsg
	UpstreamDrains  []lentilmux.UpstreamDrainMsg
	BackOffs        []lentilmux.UpstreamBackOffMsg
	ConnectResults  []lentilmux.ConnectResultMsg
	Explains        []ExplainRow
	Limits          *Limits
	BeginDrain      bool
}

// add appends a message to the list of its type. Messages of unknown types are
// ignored.
func (e *Events) add(envelope lentilmux.Envelope) {
	switch x := envelope.Msg.(type) {
	case lentilmux.StreamUpdatesMsg:
		e.StreamUpdates = append(e.StreamUpdates, x)
	case lentilmux.StreamReadFailedMsg:
		e.StreamFailures = append(e.StreamFailures, x)
	case lentilmux.StreamBehindMsg:
		e.StreamsBehind = append(e.StreamsBehind, x)
	case lentilmux.LoadDigestMsg:
		e.Digests = append(e.Digests, x.Digest)
	case lentilmux.UpstreamReportMsg:
		e.Reports = append(e.Reports, x)
	case lentilmux.RangeOrderResultMsg:
		e.OrderResults = append(e.OrderResults, x)
	case lentilmux.RangesPlannedMsg:
		e.Plans = append(e.Plans, x)
	case lentilmux.ForwardMsg:
		e.Arrivals = append(e.Arrivals, ArrivalRow{Inbound: x.Inbound, CorrelationID: envelope.CorrelationID})
	case lentilmux.ForwardStartedMsg:
		e.AnswersStarted = append(e.AnswersStarted, x)
	case lentilmux.ForwardFailedMsg:
		e.FailedAttempts = append(e.FailedAttempts, FailedAttemptRow{ForwardFailedMsg: x, CorrelationID: envelope.CorrelationID})
	case lentilmux.ForwardStalledMsg:
		e.StalledAttempts = append(e.StalledAttempts, StalledAttemptRow{ForwardStalledMsg: x, CorrelationID: envelope.CorrelationID})
	case lentilmux.MoveResultMsg:
		e.MoveResults = append(e.MoveResults, x)
	case lentilmux.ForwardDoneMsg:
		e.Done = append(e.Done, x)
	case lentilmux.ReleasePartMsg:
		e.PartReleases = append(e.PartReleases, PartReleaseRow{ReleasePartMsg: x, CorrelationID: envelope.CorrelationID})
	case lentilmux.UpstreamLimitMsg:
		e.UpstreamLimits = append(e.UpstreamLimits, x)
	case lentilmux.UpstreamDrainMsg:
		e.UpstreamDrains = append(e.UpstreamDrains, x)
	case lentilmux.UpstreamBackOffMsg:
		e.BackOffs = append(e.BackOffs, x)
	case lentilmux.ConnectResultMsg:
		e.ConnectResults = append(e.ConnectResults, x)
	case lentilmux.ExplainMsg:
		e.Explains = append(e.Explains, ExplainRow{ExplainMsg: x, CorrelationID: envelope.CorrelationID})
	case LimitsMsg:
		e.Limits = &x.Limits
	case lentilmux.BeginDrainMsg:
		e.BeginDrain = true
	}
}

// mayFreeRoom reports whether an event of this tick can have freed capacity of
// upstreams or changed what is known of it.
func (e *Events) mayFreeRoom() bool {
	return len(e.Done)+len(e.FailedAttempts)+len(e.Digests)+len(e.StreamUpdates)+len(e.Reports) > 0
}

// reset empties all lists and keeps their capacity.
func (e *Events) reset() {
	clear(e.StreamUpdates)
	clear(e.Arrivals)
	clear(e.Digests)
	clear(e.Plans)
	*e = Events{
		StreamUpdates: e.StreamUpdates[:0], StreamFailures: e.StreamFailures[:0], StreamsBehind: e.StreamsBehind[:0], Digests: e.Digests[:0], Reports: e.Reports[:0],
		OrderResults: e.OrderResults[:0], Plans: e.Plans[:0], Arrivals: e.Arrivals[:0], AnswersStarted: e.AnswersStarted[:0], FailedAttempts: e.FailedAttempts[:0],
		StalledAttempts: e.StalledAttempts[:0], MoveResults: e.MoveResults[:0], Done: e.Done[:0],
		PartReleases: e.PartReleases[:0], UpstreamLimits: e.UpstreamLimits[:0], UpstreamDrains: e.UpstreamDrains[:0],
		BackOffs: e.BackOffs[:0], ConnectResults: e.ConnectResults[:0], Explains: e.Explains[:0],
	}
}
