package lentilmux

import "time"

// Query asks for rows of a table.
type Query struct {
	Table   string
	Where   []Condition
	OrderBy string
	Desc    bool
	Limit   int // 0 for all
}

// Condition keeps the rows whose column compares with the value.
type Condition struct {
	Column string
	Op     string // =, !=, <, >, <=, >=
	Value  string
}

// QueryMsg asks for a query's rows. The answer is a [QueryAnswer].
type QueryMsg struct {
	Query Query
}

// QueryAnswer holds rows as text, or the error of a query that names a column
// or table that does not exist.
type QueryAnswer struct {
	Columns     []string
	Rows        [][]string
	Err         string
	UnknownName string // the name that is wrong, if Err is set
}

// StopRequestMsg stops a request that runs. The answer is a [CommandAnswer].
type StopRequestMsg struct {
	Request RequestID
}

// ReleaseQuarantineMsg ends the quarantine of a fingerprint on all entry VMs. The answer
// is a [CommandAnswer].
type ReleaseQuarantineMsg struct {
	Fingerprint Fingerprint
	Who         string
}

// DrainMsg begins the node's own planned stop. The answer is a
// [DrainedAnswer], given when no request is left.
type DrainMsg struct{}

// DrainedAnswer answers a [DrainMsg].
type DrainedAnswer struct{}

// StatusMsg asks how the node is. The answer is a [StatusAnswer].
type StatusMsg struct{}

// StatusAnswer tells how the node is.
type StatusAnswer struct {
	Ready     bool
	Reason    string
	Revision  Revision
	Running   int
	Queued    int
	Upstreams int
	Models    []string
	Now       time.Time
}

// Decision is one line of the decision log.
type Decision struct {
	What       string
	Subject    string
	Chosen     string
	Reason     string
	Considered []string
}

// DecisionEffect writes a decision to the log.
type DecisionEffect struct {
	Decision Decision
}
