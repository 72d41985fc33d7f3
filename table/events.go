package table

import "lentilmux.example/lentilmux"

// RequestEvent is the arrival of a new request.
type RequestEvent struct {
	CorrelationID lentilmux.CorrelationID
	Request       lentilmux.Request
}

// AttemptFailedEvent is a failed attempt.
type AttemptFailedEvent struct {
	CorrelationID lentilmux.CorrelationID
	lentilmux.AttemptFailedMsg
}

// DigestEvent is a digest from a peer.
type DigestEvent struct {
	CorrelationID lentilmux.CorrelationID
	lentilmux.DigestMsg
}

// CommandEvent is a command from an operator.
type CommandEvent struct {
	CorrelationID lentilmux.CorrelationID
	lentilmux.CommandMsg
}

// QueryEvent is a query of the tables.
type QueryEvent struct {
	CorrelationID lentilmux.CorrelationID
	Query         lentilmux.Query
}

// StopEvent is an operator's command to stop a request.
type StopEvent struct {
	CorrelationID lentilmux.CorrelationID
	Request       lentilmux.RequestID
}

// ReleaseEvent is an operator's command to end the quarantine of a fingerprint.
type ReleaseEvent struct {
	CorrelationID lentilmux.CorrelationID
	lentilmux.ReleaseQuarantineMsg
}

// Events holds the messages that arrived since the last tick, in one list for
// each kind.
type Events struct {
	Arrivals         []RequestEvent
	Failures         []AttemptFailedEvent
	Progress         []lentilmux.ProgressMsg
	Done             []lentilmux.RequestDoneMsg
	ConfigPages      []lentilmux.ConfigPageMsg
	CallPages        []lentilmux.CallPageMsg
	LogFailures      []lentilmux.LogFailedMsg
	Snapshots        []lentilmux.Snapshot
	SnapshotRequests []lentilmux.CorrelationID
	Commands         []CommandEvent
	VMLists          []lentilmux.VMListMsg
	Digests          []DigestEvent
	FailedExchanges  []string // names of peers
	LoadReports      []lentilmux.LoadReportMsg
	ProbeResults     []lentilmux.ProbeResultMsg
	OrderResults     []lentilmux.OrderResultMsg
	Queries          []QueryEvent
	Stops            []StopEvent
	Releases         []ReleaseEvent
	Drains           []lentilmux.CorrelationID // of the drain messages
	StatusRequests   []lentilmux.CorrelationID
}

// clear empties the lists. It also releases their memory, since messages can
// hold large bodies.
func (e *Events) clear() { *e = Events{} }
