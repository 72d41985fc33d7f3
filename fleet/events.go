package fleet

import "lentilmux.example/lentilmux"

// ArrivalRow is a request that asks for its first leg.
type ArrivalRow struct {
	Inbound       lentilmux.InboundRequest
	CorrelationID lentilmux.CorrelationID
}

// FailedAttemptRow is a request that asks for its next leg.
type FailedAttemptRow struct {
	lentilmux.ForwardFailedMsg
	CorrelationID lentilmux.CorrelationID
}

// StalledAttemptRow is a request that asks what to do about its silent leg.
type StalledAttemptRow struct {
	lentilmux.ForwardStalledMsg
	CorrelationID lentilmux.CorrelationID
}

// LimitsMsg puts other limits in force.
type LimitsMsg struct {
	Limits Limits
}

// Events are the messages of one tick.
type Events struct {
	StreamUpdates   []lentilmux.StreamUpdatesMsg
	StreamFailures  []lentilmux.StreamReadFailedMsg
	Digests         []lentilmux.LoadDigest
	Reports         []lentilmux.UpstreamReportMsg
	OrderResults    []lentilmux.RangeOrderResultMsg
	Arrivals        []ArrivalRow
	AnswersStarted  []lentilmux.ForwardStartedMsg
	FailedAttempts  []FailedAttemptRow
	StalledAttempts []StalledAttemptRow
	MoveResults     []lentilmux.MoveResultMsg
	Done            []lentilmux.ForwardDoneMsg
	Limits          *Limits
	BeginDrain      bool
}

// add sorts a message into its list.
func (e *Events) add(envelope lentilmux.Envelope) {
	switch x := envelope.Msg.(type) {
	case lentilmux.StreamUpdatesMsg:
		e.StreamUpdates = append(e.StreamUpdates, x)
	case lentilmux.StreamReadFailedMsg:
		e.StreamFailures = append(e.StreamFailures, x)
	case lentilmux.LoadDigestMsg:
		e.Digests = append(e.Digests, x.Digest)
	case lentilmux.UpstreamReportMsg:
		e.Reports = append(e.Reports, x)
	case lentilmux.RangeOrderResultMsg:
		e.OrderResults = append(e.OrderResults, x)
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
	case LimitsMsg:
		e.Limits = &x.Limits
	case lentilmux.BeginDrainMsg:
		e.BeginDrain = true
	}
}

// reset empties all lists and keeps their room.
func (e *Events) reset() {
	clear(e.StreamUpdates)
	clear(e.Arrivals)
	clear(e.Digests)
	*e = Events{
		StreamUpdates: e.StreamUpdates[:0], StreamFailures: e.StreamFailures[:0], Digests: e.Digests[:0], Reports: e.Reports[:0],
		OrderResults: e.OrderResults[:0], Arrivals: e.Arrivals[:0], AnswersStarted: e.AnswersStarted[:0], FailedAttempts: e.FailedAttempts[:0],
		StalledAttempts: e.StalledAttempts[:0], MoveResults: e.MoveResults[:0], Done: e.Done[:0],
	}
}
