package table

import (
	"slices"
	"time"

	"lentilmux.example/lentilmux"
)

// Pipeline is a configured pipeline. Its stages are the StageCount rows of
// [Stages] from FirstStage on.
type Pipeline struct {
	Spec          lentilmux.PipelineSpec
	FirstStage    int
	StageCount    int
	MaxThroughput float64 // tokens per second that its engines can generate
	Throughput    Throughput
	PlacedAt      time.Time // when the system last excluded or included an engine
	BlockedSince  time.Time // since when engines have to change their layer ranges and none can; zero otherwise
}

// Throughput is the speed of a pipeline as measured on this node's requests.
type Throughput struct {
	TokenTime  time.Duration // moving average of the time per token of one response stream; 0 if unknown
	Rate       float64       // moving average over all response streams of this node, in tokens per second
	TokenCount int           // tokens since CountedAt
	CountedAt  time.Time     // when Rate was last updated
	SeenAt     time.Time     // of the last progress report
}

// Stage is a layer range of a pipeline that one or more engines hold. Replicas
// are row numbers of [Upstreams].
type Stage struct {
	Pipeline   string
	Layers     lentilmux.LayerRange
	ReachesEnd bool // whether further stages connect it to the last layer
	Replicas   []int
}

// Stages is the table of [Stage] rows. It is rebuilt whenever the configuration
// or an engine's layer range changes, so it needs no index.
type Stages struct {
	Rows []Stage
	// Stale is true if the configuration or the state of an engine has changed
	// since the rows were built.
	Stale bool
	// DesiredRevision is the revision from which the orders to upstreams were
	// computed.
	DesiredRevision lentilmux.Revision
}

// Service is a configured plain service. Replicas are row numbers of
// [Upstreams].
type Service struct {
	Spec     lentilmux.ServiceSpec
	Replicas []int
}

// Workspace is a configured workspace and its usage.
type Workspace struct {
	Spec        lentilmux.WorkspaceSpec
	Running     int // requests of this node
	Queued      int // requests of this node
	PeerRunning int // requests of peers, as last reported
	Refused     int // requests refused since the start of the process
}

// HistoryRow is a configuration record that was read from the log, and whether
// it was accepted.
type HistoryRow struct {
	Revision lentilmux.Revision
	At       time.Time
	ID       string
	Who      string
	Text     string
	Accepted bool
	Detail   string             // why it was refused, or that it came with a snapshot
	Command  *lentilmux.Command // nil if the record has none or came with a snapshot
	// VerdictUnknown is set if the record came with a snapshot that does not say
	// whether it was accepted.
	VerdictUnknown bool
}

// History is the table of the last configuration records, the oldest first.
type History struct {
	Rows          []HistoryRow
	appliedIDs    Index     // IDs of Rows; the row numbers are not used
	SinceSnapshot int       // records since the last snapshot in the log
	SnapshotAt    time.Time // when a snapshot was last read or appended
}

// maxHistoryRows is the number of records that [History] keeps.
const maxHistoryRows = 1024

// Add appends a row. If the table is full, it drops the oldest row.
func (h *History) Add(row HistoryRow) {
	if len(h.Rows) == maxHistoryRows {
		delete(h.appliedIDs.rows, h.Rows[0].ID)
		h.Rows = append(h.Rows[:0], h.Rows[1:]...)
	}
	h.appliedIDs.put(row.ID, 0)
	h.Rows = append(h.Rows, row)
}

// Applied reports whether the table has a record with the ID.
func (h *History) Applied(id string) bool {
	_, ok := h.appliedIDs.Find(id)
	return ok
}

// DropAfter drops and returns the rows that follow the newest one whose ID is among
// ids.
func (h *History) DropAfter(ids []string) (dropped []HistoryRow) {
	kept := len(h.Rows)
	for kept > 0 && !slices.Contains(ids, h.Rows[kept-1].ID) {
		kept--
		delete(h.appliedIDs.rows, h.Rows[kept].ID)
	}
	dropped = slices.Clone(h.Rows[kept:])
	h.Rows = h.Rows[:kept]
	return dropped
}

// Find returns the row with the ID, or nil.
func (h *History) Find(id string) *HistoryRow {
	for i := range h.Rows {
		if h.Rows[i].ID == id {
			return &h.Rows[i]
		}
	}
	return nil
}

// PendingCommand is an operator's command that this node appended and has not
// read back from the log yet.
type PendingCommand struct {
	Record        lentilmux.ConfigRecord
	CorrelationID lentilmux.CorrelationID
	Deadline      time.Time // after which the answer to the operator is that the outcome is unknown
	AppendedAt    time.Time // of the last try
}

// Pipelines is the table of [Pipeline] rows.
type Pipelines struct {
	Rows  []Pipeline
	index Index
}

// Find returns the row with the name, or nil.
func (t *Pipelines) Find(name string) *Pipeline {
	row, ok := t.index.Find(name)
	if !ok {
		return nil
	}
	return &t.Rows[row]
}

// Put adds row, or replaces the row with the same key.
func (t *Pipelines) Put(row Pipeline) *Pipeline {
	if old := t.Find(row.Spec.Name); old != nil {
		*old = row
		return old
	}
	t.index.put(row.Spec.Name, len(t.Rows))
	t.Rows = append(t.Rows, row)
	return &t.Rows[len(t.Rows)-1]
}

// Remove removes the row with the name, if there is one.
func (t *Pipelines) Remove(name string) {
	row, ok := t.index.Find(name)
	if !ok {
		return
	}
	last := len(t.Rows) - 1
	moved := t.Rows[last]
	t.Rows[row] = moved
	t.Rows[last] = Pipeline{}
	t.Rows = t.Rows[:last]
	t.index.remove(name, moved.Spec.Name)
}

// Services is the table of [Service] rows.
type Services struct {
	Rows  []Service
	index Index
}

// Find returns the row with the name, or nil.
func (t *Services) Find(name string) *Service {
	row, ok := t.index.Find(name)
	if !ok {
		return nil
	}
	return &t.Rows[row]
}

// Put adds row, or replaces the row with the same key.
func (t *Services) Put(row Service) *Service {
	if old := t.Find(row.Spec.Name); old != nil {
		*old = row
		return old
	}
	t.index.put(row.Spec.Name, len(t.Rows))
	t.Rows = append(t.Rows, row)
	return &t.Rows[len(t.Rows)-1]
}

// Remove removes the row with the name, if there is one.
func (t *Services) Remove(name string) {
	row, ok := t.index.Find(name)
	if !ok {
		return
	}
	last := len(t.Rows) - 1
	moved := t.Rows[last]
	t.Rows[row] = moved
	t.Rows[last] = Service{}
	t.Rows = t.Rows[:last]
	t.index.remove(name, moved.Spec.Name)
}

// Workspaces is the table of [Workspace] rows.
type Workspaces struct {
	Rows  []Workspace
	index Index
}

// Find returns the row with the name, or nil.
func (t *Workspaces) Find(name string) *Workspace {
	row, ok := t.index.Find(name)
	if !ok {
		return nil
	}
	return &t.Rows[row]
}

// Put adds row, or replaces the row with the same key.
func (t *Workspaces) Put(row Workspace) *Workspace {
	if old := t.Find(row.Spec.Name); old != nil {
		*old = row
		return old
	}
	t.index.put(row.Spec.Name, len(t.Rows))
	t.Rows = append(t.Rows, row)
	return &t.Rows[len(t.Rows)-1]
}

// Remove removes the row with the name, if there is one.
func (t *Workspaces) Remove(name string) {
	row, ok := t.index.Find(name)
	if !ok {
		return
	}
	last := len(t.Rows) - 1
	moved := t.Rows[last]
	t.Rows[row] = moved
	t.Rows[last] = Workspace{}
	t.Rows = t.Rows[:last]
	t.index.remove(name, moved.Spec.Name)
}

// PendingCommands is the table of [PendingCommand] rows.
type PendingCommands struct {
	Rows  []PendingCommand
	index Index
}

// Find returns the row with the ID, or nil.
func (t *PendingCommands) Find(id string) *PendingCommand {
	row, ok := t.index.Find(id)
	if !ok {
		return nil
	}
	return &t.Rows[row]
}

// Put adds row, or replaces the row with the same key.
func (t *PendingCommands) Put(row PendingCommand) *PendingCommand {
	if old := t.Find(row.Record.ID); old != nil {
		*old = row
		return old
	}
	t.index.put(row.Record.ID, len(t.Rows))
	t.Rows = append(t.Rows, row)
	return &t.Rows[len(t.Rows)-1]
}

// Remove removes the row with the ID, if there is one.
func (t *PendingCommands) Remove(id string) {
	row, ok := t.index.Find(id)
	if !ok {
		return
	}
	last := len(t.Rows) - 1
	moved := t.Rows[last]
	t.Rows[row] = moved
	t.Rows[last] = PendingCommand{}
	t.Rows = t.Rows[:last]
	t.index.remove(id, moved.Record.ID)
}

// Backlog holds entries of the configuration stream that cannot be applied yet,
// because earlier entries are missing and a snapshot has to replace them.
type Backlog struct {
	Entries             []lentilmux.ConfigEntry
	SnapshotRequestedAt time.Time // when a peer was last asked for a snapshot
}
