package lentilmux

import (
	"net/netip"
	"time"
)

// Revision counts the configuration records in force. It is the log offset of
// the last of them plus one. Once the log has lost records,
// [Snapshot.RevisionOffset] is added too, so that revisions never decrease.
type Revision uint64

// UpstreamKind distinguishes model engines and plain services.
type UpstreamKind string

// The kinds of upstream.
const (
	KindEngine  UpstreamKind = "engine"
	KindService UpstreamKind = "service"
)

// UpstreamSpec declares an upstream.
type UpstreamSpec struct {
	Name                string         `json:"name"`
	Revision            Revision       `json:"revision"`
	Kind                UpstreamKind   `json:"kind"`
	Addr                netip.AddrPort `json:"addr"`
	Zone                string         `json:"zone"`
	Accelerator         string         `json:"accelerator,omitempty"`
	MaxLayers           int            `json:"layers,omitempty"`    // maximum number of layers it can hold
	LayerStepsPerSecond int            `json:"rate,omitempty"`      // a layer step runs one layer at one position
	Slots               int            `json:"slots"`               // maximum number of concurrent requests
	Draining            bool           `json:"draining,omitempty"`  // takes no new work
	Excluded            bool           `json:"excluded,omitempty"`  // not considered by placement
	Automatic           bool           `json:"automatic,omitempty"` // excluded by the system, which also includes it again
}

// PipelineSpec declares a pipeline: a model whose layers are spread over
// several engines.
type PipelineSpec struct {
	Name      string   `json:"name"`
	Revision  Revision `json:"revision"`
	Model     string   `json:"model"`
	Layers    int      `json:"layers"` // layers of the model
	Upstreams []string `json:"upstreams"`
}

// ServiceSpec declares a plain service.
type ServiceSpec struct {
	Name       string   `json:"name"`
	Revision   Revision `json:"revision"`
	Upstreams  []string `json:"upstreams"`
	Idempotent []string `json:"idempotent,omitempty"` // methods that are safe to retry after an attempt that may have run
}

// WorkspaceSpec declares a workspace.
type WorkspaceSpec struct {
	Name     string   `json:"name"`
	Revision Revision `json:"revision"`
	Share    float64  `json:"share"`              // fair share of the capacity, 0 to 1
	Priority int      `json:"priority"`           // 0 is the most urgent
	Uses     []string `json:"uses"`               // pipelines and services that it may use
	KeyHash  string   `json:"key_hash,omitempty"` // hash of its API key
}

// Verb is the action of a configuration command.
type Verb string

// The verbs of configuration commands.
const (
	VerbSet     Verb = "set"
	VerbRemove  Verb = "remove"
	VerbDrain   Verb = "drain"
	VerbUndrain Verb = "undrain"
	VerbExclude Verb = "exclude"
	VerbInclude Verb = "include"
)

// Entity is the kind of object that a configuration command applies to.
type Entity string

// The entities of configuration commands.
const (
	EntityUpstream  Entity = "upstream"
	EntityPipeline  Entity = "pipeline"
	EntityService   Entity = "service"
	EntityWorkspace Entity = "workspace"
)

// Command changes the configuration. For [VerbSet] exactly one of the pointers
// is set, the one of its Entity; the other verbs use Name alone.
type Command struct {
	Verb       Verb           `json:"verb"`
	Entity     Entity         `json:"entity"`
	Name       string         `json:"name"`
	Create     bool           `json:"create,omitempty"`      // refused if the name already exists
	IfRevision Revision       `json:"if_revision,omitempty"` // refused if the entity is at another revision; 0 for no check
	Automatic  bool           `json:"automatic,omitempty"`   // issued by the system, not by an operator
	Upstream   *UpstreamSpec  `json:"upstream,omitempty"`
	Pipeline   *PipelineSpec  `json:"pipeline,omitempty"`
	Service    *ServiceSpec   `json:"service,omitempty"`
	Workspace  *WorkspaceSpec `json:"workspace,omitempty"`
}

// ConfigRecord is an entry of [StreamConfig]: exactly one of Command and
// Snapshot is set.
type ConfigRecord struct {
	ID       string    `json:"id"`
	Who      string    `json:"who"`            // operator or entry VM that appended it
	Text     string    `json:"text,omitempty"` // the command as the operator typed it
	Command  *Command  `json:"command,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// Snapshot is the complete configuration at a revision.
type Snapshot struct {
	Revision       Revision         `json:"revision"`
	RevisionOffset uint64           `json:"shift"` // Revision minus the log offset to read next
	Timeline       Timeline         `json:"timeline,omitempty"`
	StartsTimeline bool             `json:"starts_timeline,omitempty"` // whether Timeline's commands begin after it
	Upstreams      []UpstreamSpec   `json:"upstreams"`
	Pipelines      []PipelineSpec   `json:"pipelines"`
	Services       []ServiceSpec    `json:"services"`
	Workspaces     []WorkspaceSpec  `json:"workspaces"`
	AppliedIDs     []string         `json:"applied"`            // IDs of the last records, to ignore duplicates
	Verdicts       []CommandVerdict `json:"verdicts,omitempty"` // of the records in AppliedIDs, in the same order; snapshots of earlier versions have none
}

// CommandVerdict is the result of a configuration record.
type CommandVerdict struct {
	Revision Revision `json:"revision"`
	Accepted bool     `json:"accepted,omitempty"`
}

// CommandMsg submits a command. The answer is a [CommandAnswer]. A dry run only
// checks whether the command would be accepted.
type CommandMsg struct {
	ID       string
	Who      string
	Text     string
	Command  Command
	DryRun   bool
	Deadline time.Time
}

// CommandAnswer is the result of a command.
type CommandAnswer struct {
	Accepted     bool
	OutcomeKnown bool // false if the command may or may not have taken effect
	Revision     Revision
	Detail       string
}

// ConfigAppendEffect appends a record to [StreamConfig].
type ConfigAppendEffect struct {
	Record ConfigRecord
}

// ConfigPageMsg carries a page of entries read from [StreamConfig].
type ConfigPageMsg struct {
	Timeline   Timeline // of the offsets
	RestoredAt uint64   // if Timeline has risen: first offset whose entry differs from the one read before
	Start      uint64   // the oldest offset still kept
	End        uint64   // the offset that the next entry will get
	Entries    []ConfigEntry
}

// ReachesEnd reports whether the page holds all that was new in the log when it was read.
func (m ConfigPageMsg) ReachesEnd() bool {
	return len(m.Entries) == 0 || m.Entries[len(m.Entries)-1].Offset+1 >= m.End
}

// ConfigEntry is an entry of [StreamConfig]. If DecodeError is set, the entry
// could not be decoded and Record is empty; NewerVersion is then set if a newer
// version of the program wrote it.
type ConfigEntry struct {
	Offset       uint64
	At           time.Time
	Record       ConfigRecord
	DecodeError  string
	NewerVersion bool
}

// LogFailedMsg reports that reading from a stream or appending to it failed. A
// failed append may still have taken effect.
type LogFailedMsg struct {
	Stream Stream
	Err    error
}
