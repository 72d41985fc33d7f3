package table

import "lentilmux.example/lentilmux"

// Arrival is a new request.
type Arrival struct {
	Ticket  lentilmux.Ticket
	Request lentilmux.Request
}

// Failure is a failed attempt.
type Failure struct {
	Ticket lentilmux.Ticket
	lentilmux.AttemptFailedMsg
}

// DigestEvent is a digest from a peer.
type DigestEvent struct {
	Ticket lentilmux.Ticket
	lentilmux.DigestMsg
}

// CommandEvent is a command from an operator.
type CommandEvent struct {
	Ticket lentilmux.Ticket
	lentilmux.CommandMsg
}

// QueryEvent is a question about the tables.
type QueryEvent struct {
	Ticket lentilmux.Ticket
	Query  lentilmux.Query
}

// StopEvent asks to stop a request.
type StopEvent struct {
	Ticket  lentilmux.Ticket
	Request lentilmux.RequestID
}

// ReleaseEvent asks to end the quarantine of a fingerprint.
type ReleaseEvent struct {
	Ticket lentilmux.Ticket
	lentilmux.ReleaseMsg
}

// Events holds what arrived since the last tick, one list for each kind.
type Events struct {
	Arrivals     []Arrival
	Failures     []Failure
	Progress     []lentilmux.ProgressMsg
	Done         []lentilmux.RequestDoneMsg
	ConfigPages  []lentilmux.ConfigPageMsg
	CallPages    []lentilmux.CallPageMsg
	LogFailures  []lentilmux.LogFailedMsg
	Snapshots    []lentilmux.Snapshot
	SnapshotAsks []lentilmux.Ticket
	Commands     []CommandEvent
	Lists        []lentilmux.VMListMsg
	Digests      []DigestEvent
	SilentPeers  []string
	Loads        []lentilmux.LoadMsg
	Probes       []lentilmux.ProbeMsg
	Orders       []lentilmux.OrderMsg
	Queries      []QueryEvent
	Stops        []StopEvent
	Releases     []ReleaseEvent
	Drains       []lentilmux.Ticket
	StatusAsks   []lentilmux.Ticket
}

// clear empties the lists. It drops their memory, since messages hold bodies.
func (e *Events) clear() { *e = Events{} }
