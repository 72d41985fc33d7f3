package system

import (
	"fmt"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

// intake turns messages into event rows.
type intake struct{}

// take adds the message of envelope to the list of its kind. A message of a
// kind that it does not know is a fault of the program.
func (intake) take(e *table.Events, envelope lentilmux.Envelope) {
	ticket := envelope.Ticket
	switch msg := envelope.Msg.(type) {
	case lentilmux.RequestMsg:
		e.Arrivals = append(e.Arrivals, table.Arrival{Ticket: ticket, Request: msg.Request})
	case lentilmux.AttemptFailedMsg:
		e.Failures = append(e.Failures, table.Failure{Ticket: ticket, AttemptFailedMsg: msg})
	case lentilmux.ProgressMsg:
		e.Progress = append(e.Progress, msg)
	case lentilmux.RequestDoneMsg:
		e.Done = append(e.Done, msg)
	case lentilmux.ConfigPageMsg:
		e.ConfigPages = append(e.ConfigPages, msg)
	case lentilmux.CallPageMsg:
		e.CallPages = append(e.CallPages, msg)
	case lentilmux.LogFailedMsg:
		e.LogFailures = append(e.LogFailures, msg)
	case lentilmux.SnapshotMsg:
		e.Snapshots = append(e.Snapshots, msg.Snapshot)
	case lentilmux.SnapshotAskMsg:
		e.SnapshotAsks = append(e.SnapshotAsks, ticket)
	case lentilmux.CommandMsg:
		e.Commands = append(e.Commands, table.CommandEvent{Ticket: ticket, CommandMsg: msg})
	case lentilmux.VMListMsg:
		e.Lists = append(e.Lists, msg)
	case lentilmux.DigestMsg:
		e.Digests = append(e.Digests, table.DigestEvent{Ticket: ticket, DigestMsg: msg})
	case lentilmux.PeerSilentMsg:
		e.SilentPeers = append(e.SilentPeers, msg.VM)
	case lentilmux.LoadMsg:
		e.Loads = append(e.Loads, msg)
	case lentilmux.ProbeMsg:
		e.Probes = append(e.Probes, msg)
	case lentilmux.OrderMsg:
		e.Orders = append(e.Orders, msg)
	case lentilmux.QueryMsg:
		e.Queries = append(e.Queries, table.QueryEvent{Ticket: ticket, Query: msg.Query})
	case lentilmux.StopMsg:
		e.Stops = append(e.Stops, table.StopEvent{Ticket: ticket, Request: msg.Request})
	case lentilmux.ReleaseMsg:
		e.Releases = append(e.Releases, table.ReleaseEvent{Ticket: ticket, ReleaseMsg: msg})
	case lentilmux.DrainMsg:
		e.Drains = append(e.Drains, ticket)
	case lentilmux.StatusMsg:
		e.StatusAsks = append(e.StatusAsks, ticket)
	default:
		panic(fmt.Sprintf("system: unknown message %T", msg))
	}
}
