package lentilmux

import "time"

// Query selects rows of a table.
type Query struct {
	Table   string
	Where   []Condition
	OrderBy string
	Desc    bool
	Limit   int // maximum number of rows; 0 for all
}

// Condition keeps the rows for which "Column Op Value" is true.
type Condition struct {
	Column string
	Op     string // =, !=, <, >, <=, >=
	Value  string
}

// QueryMsg runs a query. The answer is a [QueryAnswer].
type QueryMsg struct {
	Query Query
}

// QueryAnswer holds the selected rows as text, or an error if the query names a
// table or column that does not exist.
type QueryAnswer struct {
	Columns     []string
	Rows        [][]string
	Err         string
	UnknownName string // the table or column that does not exist, if Err is set
}

// StopRequestMsg stops a request of this entry VM. The answer is a
// [CommandAnswer].
type StopRequestMsg struct {
	Request RequestID
}

// ReleaseQuarantineMsg ends the quarantine of a fingerprint on all entry VMs.
// The answer is a [CommandAnswer].
type ReleaseQuarantineMsg struct {
	Fingerprint Fingerprint
	Who         string
}

// DrainMsg begins a drain, the planned stop of the node, in package system. The
// answer is a [DrainedAnswer], which is sent when no request is left. Package
// fleet uses [BeginDrainMsg].
type DrainMsg struct{}

// DrainedAnswer answers a [DrainMsg].
type DrainedAnswer struct{}

// StatusMsg asks for the node's status. The answer is a [StatusAnswer].
type StatusMsg struct{}

// StatusAnswer is the status of the node.
type StatusAnswer struct {
	Ready     bool
	Reason    string // why the node is not ready
	Revision  Revision
	Running   int
	Queued    int
	Upstreams int
	Models    []string
	Now       time.Time
}

// Decision is one line of the decision log: what was decided about which
// subject, and why.
type Decision struct {
	What       string // kind of decision, in snake case
	Subject    string // name or ID of what it was about
	Chosen     string // the result
	Reason     string
	Considered []string // the alternatives
}

// DecisionEffect writes a decision to the log.
type DecisionEffect struct {
	Decision Decision
}
