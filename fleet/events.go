package fleet

import "lentilmux.example/lentilmux"

// ArrivalRow is a request that asks for its first leg.
type ArrivalRow struct {
	Inbound lentilmux.Inbound
	Ticket  lentilmux.Ticket
}

// FailedLegRow is a request that asks for its next leg.
type FailedLegRow struct {
	lentilmux.LegFailedMsg
	Ticket lentilmux.Ticket
}

// SilentLegRow is a request that asks what to do about its silent leg.
type SilentLegRow struct {
	lentilmux.LegSilentMsg
	Ticket lentilmux.Ticket
}

// LimitsMsg puts other limits in force.
type LimitsMsg struct {
	Limits Limits
}

// Events are the messages of one tick.
type Events struct {
	Knowledge []lentilmux.KnowledgeMsg
	Unheard   []lentilmux.KnowledgeFailedMsg
	Digests   []lentilmux.LoadDigest
	Reports   []lentilmux.ReportMsg
	Placed    []lentilmux.PlaceMsg
	Arrivals  []ArrivalRow
	Begun     []lentilmux.LegBegunMsg
	Failed    []FailedLegRow
	Silent    []SilentLegRow
	Moved     []lentilmux.RepathMsg
	Done      []lentilmux.LegDoneMsg
	Limits    *Limits
	Leave     bool
}

// take sorts a message into its list.
func (e *Events) take(envelope lentilmux.Envelope) {
	switch x := envelope.Msg.(type) {
	case lentilmux.KnowledgeMsg:
		e.Knowledge = append(e.Knowledge, x)
	case lentilmux.KnowledgeFailedMsg:
		e.Unheard = append(e.Unheard, x)
	case lentilmux.LoadDigestMsg:
		e.Digests = append(e.Digests, x.Digest)
	case lentilmux.ReportMsg:
		e.Reports = append(e.Reports, x)
	case lentilmux.PlaceMsg:
		e.Placed = append(e.Placed, x)
	case lentilmux.InboundMsg:
		e.Arrivals = append(e.Arrivals, ArrivalRow{Inbound: x.Inbound, Ticket: envelope.Ticket})
	case lentilmux.LegBegunMsg:
		e.Begun = append(e.Begun, x)
	case lentilmux.LegFailedMsg:
		e.Failed = append(e.Failed, FailedLegRow{LegFailedMsg: x, Ticket: envelope.Ticket})
	case lentilmux.LegSilentMsg:
		e.Silent = append(e.Silent, SilentLegRow{LegSilentMsg: x, Ticket: envelope.Ticket})
	case lentilmux.RepathMsg:
		e.Moved = append(e.Moved, x)
	case lentilmux.LegDoneMsg:
		e.Done = append(e.Done, x)
	case LimitsMsg:
		e.Limits = &x.Limits
	case lentilmux.LeaveMsg:
		e.Leave = true
	}
}

// clear empties all lists and keeps their room.
func (e *Events) clear() {
	clear(e.Knowledge)
	clear(e.Arrivals)
	clear(e.Digests)
	*e = Events{
		Knowledge: e.Knowledge[:0], Unheard: e.Unheard[:0], Digests: e.Digests[:0], Reports: e.Reports[:0],
		Placed: e.Placed[:0], Arrivals: e.Arrivals[:0], Begun: e.Begun[:0], Failed: e.Failed[:0],
		Silent: e.Silent[:0], Moved: e.Moved[:0], Done: e.Done[:0],
	}
}
