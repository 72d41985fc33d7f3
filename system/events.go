package system

import (
	"fmt"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

// eventSorter sorts messages into the event lists of the tables.
type eventSorter struct{}

// add appends the message of envelope to the list of its type. It panics on an
// unknown type, which is a programming error.
func (eventSorter) add(e *table.Events, envelope lentilmux.Envelope) {
	correlationID := envelope.CorrelationID
	switch msg := envelope.Msg.(type) {
	case lentilmux.RequestMsg:
		e.Arrivals = append(e.Arrivals, table.RequestEvent{CorrelationID: correlationID, Request: msg.Request})
	case lentilmux.AttemptFailedMsg:
		e.Failures = append(e.Failures, table.AttemptFailedEvent{CorrelationID: correlationID, AttemptFailedMsg: msg})
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
	case lentilmux.SnapshotRequestMsg:
		e.SnapshotRequests = append(e.SnapshotRequests, correlationID)
	case lentilmux.CommandMsg:
		e.Commands = append(e.Commands, table.CommandEvent{CorrelationID: correlationID, CommandMsg: msg})
	case lentilmux.VMListMsg:
		e.VMLists = append(e.VMLists, msg)
	case lentilmux.DigestMsg:
		e.Digests = append(e.Digests, table.DigestEvent{CorrelationID: correlationID, DigestMsg: msg})
	case lentilmux.ExchangeFailedMsg:
		e.FailedExchanges = append(e.FailedExchanges, msg.VM)
	case lentilmux.LoadReportMsg:
		e.LoadReports = append(e.LoadReports, msg)
	case lentilmux.ProbeResultMsg:
		e.ProbeResults = append(e.ProbeResults, msg)
	case lentilmux.OrderResultMsg:
		e.OrderResults = append(e.OrderResults, msg)
	case lentilmux.QueryMsg:
		e.Queries = append(e.Queries, table.QueryEvent{CorrelationID: correlationID, Query: msg.Query})
	case lentilmux.StopRequestMsg:
		e.Stops = append(e.Stops, table.StopEvent{CorrelationID: correlationID, Request: msg.Request})
	case lentilmux.ReleaseQuarantineMsg:
		e.Releases = append(e.Releases, table.ReleaseEvent{CorrelationID: correlationID, ReleaseQuarantineMsg: msg})
	case lentilmux.DrainMsg:
		e.Drains = append(e.Drains, correlationID)
	case lentilmux.StatusMsg:
		e.StatusRequests = append(e.StatusRequests, correlationID)
	default:
		panic(fmt.Sprintf("system: unknown message type %T", msg))
	}
}
