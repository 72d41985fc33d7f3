package table

import (
	"time"

	"lentilmux.example/lentilmux"
)

// Pipeline is a configured pipeline. First and Count say which rows of
// [Stages] are its own.
type Pipeline struct {
	Spec          lentilmux.PipelineSpec
	FirstStage    int
	StageCount    int
	MaxThroughput float64 // tokens a second that its engines can make
	Throughput    Throughput
	PlacedAt      time.Time // when the system last asked for another placement
	BlockedSince  time.Time // since when no engine could change its range
}

// Throughput is how fast a pipeline's answers come, as this node sees it.
type Throughput struct {
	TokenTime time.Duration // for one token of one answer, averaged
	Rate      float64       // tokens a second of all own answers, averaged
	Count     int           // tokens since CountedAt
	CountedAt time.Time
	SeenAt    time.Time // of the last report
}

// Stage is one range of layers of a pipeline. Replicas are row numbers of
// [Upstreams].
type Stage struct {
	Pipeline   string
	Layers     lentilmux.LayerRange
	ReachesEnd bool // whether the last layer can be reached from it
	Replicas   []int
}

// Stages is the table of [Stage] rows. It is made anew whenever the
// configuration or a held range changes, so it needs no index.
type Stages struct {
	Rows []Stage
	// Stale reports that the configuration or a held range changed since.
	Stale bool
	// Desired is the revision from which the orders of upstreams were made.
	DesiredRevision lentilmux.Revision
}

// Service is a configured plain service. Replicas are row numbers of
// [Upstreams].
type Service struct {
	Spec     lentilmux.ServiceSpec
	Replicas []int
}

// Workspace is a configured workspace and its use.
type Workspace struct {
	Spec        lentilmux.WorkspaceSpec
	Running     int // own
	Queued      int // own
	PeerRunning int // at other VMs, as last heard
	Refused     int // since the start
}

// HistoryRow is a configuration record that was read from the log.
type HistoryRow struct {
	Revision lentilmux.Revision
	At       time.Time
	ID       string
	Who      string
	Text     string
	Accepted bool
	Detail   string
}

// History is the table of the last records, the oldest first.
type History struct {
	Rows          []HistoryRow
	appliedIDs    Index
	SinceSnapshot int // records since the last snapshot in the log
	SnapshotAt    time.Time
}

// maxHistoryRows is how many records [History] keeps.
const maxHistoryRows = 1024

// Add adds a row and forgets the oldest beyond the table's size.
func (h *History) Add(row HistoryRow) {
	if len(h.Rows) == maxHistoryRows {
		delete(h.appliedIDs.rows, h.Rows[0].ID)
		h.Rows = append(h.Rows[:0], h.Rows[1:]...)
	}
	h.appliedIDs.put(row.ID, 0)
	h.Rows = append(h.Rows, row)
}

// Applied reports whether the record with the ID was read before.
func (h *History) Applied(id string) bool {
	_, ok := h.appliedIDs.Find(id)
	return ok
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

// PendingCommand is an operator's command that waits to be read back from the log.
type PendingCommand struct {
	Record        lentilmux.ConfigRecord
	CorrelationID lentilmux.CorrelationID
	Deadline      time.Time
	AppendedAt    time.Time
}

// Pipelines is the table of [Pipeline] rows.
type Pipelines struct {
	Rows  []Pipeline
	index Index
}

// Find returns the row of name, or nil.
func (t *Pipelines) Find(name string) *Pipeline {
	row, ok := t.index.Find(name)
	if !ok {
		return nil
	}
	return &t.Rows[row]
}

// Put adds the row, or replaces the one with the same key.
func (t *Pipelines) Put(row Pipeline) *Pipeline {
	if old := t.Find(row.Spec.Name); old != nil {
		*old = row
		return old
	}
	t.index.put(row.Spec.Name, len(t.Rows))
	t.Rows = append(t.Rows, row)
	return &t.Rows[len(t.Rows)-1]
}

// Remove removes the row of name, if there is one.
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

// Find returns the row of name, or nil.
func (t *Services) Find(name string) *Service {
	row, ok := t.index.Find(name)
	if !ok {
		return nil
	}
	return &t.Rows[row]
}

// Put adds the row, or replaces the one with the same key.
func (t *Services) Put(row Service) *Service {
	if old := t.Find(row.Spec.Name); old != nil {
		*old = row
		return old
	}
	t.index.put(row.Spec.Name, len(t.Rows))
	t.Rows = append(t.Rows, row)
	return &t.Rows[len(t.Rows)-1]
}

// Remove removes the row of name, if there is one.
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

// Find returns the row of name, or nil.
func (t *Workspaces) Find(name string) *Workspace {
	row, ok := t.index.Find(name)
	if !ok {
		return nil
	}
	return &t.Rows[row]
}

// Put adds the row, or replaces the one with the same key.
func (t *Workspaces) Put(row Workspace) *Workspace {
	if old := t.Find(row.Spec.Name); old != nil {
		*old = row
		return old
	}
	t.index.put(row.Spec.Name, len(t.Rows))
	t.Rows = append(t.Rows, row)
	return &t.Rows[len(t.Rows)-1]
}

// Remove removes the row of name, if there is one.
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

// Find returns the row of id, or nil.
func (t *PendingCommands) Find(id string) *PendingCommand {
	row, ok := t.index.Find(id)
	if !ok {
		return nil
	}
	return &t.Rows[row]
}

// Put adds the row, or replaces the one with the same key.
func (t *PendingCommands) Put(row PendingCommand) *PendingCommand {
	if old := t.Find(row.Record.ID); old != nil {
		*old = row
		return old
	}
	t.index.put(row.Record.ID, len(t.Rows))
	t.Rows = append(t.Rows, row)
	return &t.Rows[len(t.Rows)-1]
}

// Remove removes the row of id, if there is one.
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

// Backlog holds entries of the configuration stream that wait for a snapshot
// because earlier ones are missing.
type Backlog struct {
	Entries             []lentilmux.ConfigEntry
	SnapshotRequestedAt time.Time // when a peer was last asked for a snapshot
}
