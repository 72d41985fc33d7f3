package lentilmux

import (
	"net/netip"
	"time"
)

// Revision counts the configuration records in force. It is the offset of the
// last of them plus one, and plus what the log has lost, so that it only rises.
type Revision uint64

// UpstreamKind says what an upstream serves.
type UpstreamKind string

// The kinds of upstream.
const (
	KindEngine  UpstreamKind = "engine"
	KindService UpstreamKind = "service"
)

// UpstreamSpec declares an upstream.
type UpstreamSpec struct {
	Name        string         `json:"name"`
	Revision    Revision       `json:"revision"`
	Kind        UpstreamKind   `json:"kind"`
	Addr        netip.AddrPort `json:"addr"`
	Zone        string         `json:"zone"`
	Accelerator string         `json:"accelerator,omitempty"`
	MaxLayers   int            `json:"layers,omitempty"` // the most layers it can hold
	Rate        int            `json:"rate,omitempty"`   // layer steps a second
	Slots       int            `json:"slots"`            // requests at once
	Draining    bool           `json:"draining,omitempty"`
	Excluded    bool           `json:"excluded,omitempty"`  // left out of placement
	Automatic   bool           `json:"automatic,omitempty"` // excluded by the system, which takes it back too
}

// PipelineSpec declares a pipeline: a model spread over engines.
type PipelineSpec struct {
	Name      string   `json:"name"`
	Revision  Revision `json:"revision"`
	Model     string   `json:"model"`
	Layers    int      `json:"layers"`
	Upstreams []string `json:"upstreams"`
}

// ServiceSpec declares a plain service.
type ServiceSpec struct {
	Name       string   `json:"name"`
	Revision   Revision `json:"revision"`
	Upstreams  []string `json:"upstreams"`
	Idempotent []string `json:"idempotent,omitempty"` // methods that may run again
}

// WorkspaceSpec declares a workspace.
type WorkspaceSpec struct {
	Name     string   `json:"name"`
	Revision Revision `json:"revision"`
	Share    float64  `json:"share"`    // of the budget, 0 to 1
	Priority int      `json:"priority"` // 0 is the most urgent
	Uses     []string `json:"uses"`     // pipelines and services
	KeyHash  string   `json:"key_hash,omitempty"`
}

// Verb says what a command does.
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

// Entity names a kind of configured thing.
type Entity string

// The entities of configuration commands.
const (
	EntityUpstream  Entity = "upstream"
	EntityPipeline  Entity = "pipeline"
	EntityService   Entity = "service"
	EntityWorkspace Entity = "workspace"
)

// Command changes the configuration. For [VerbSet] exactly the field of its
// entity is set; the other verbs use Name alone.
type Command struct {
	Verb       Verb           `json:"verb"`
	Entity     Entity         `json:"entity"`
	Name       string         `json:"name"`
	Create     bool           `json:"create,omitempty"` // refused if the name is taken
	IfRevision Revision       `json:"if_revision,omitempty"`
	Automatic  bool           `json:"automatic,omitempty"` // decided by the system
	Upstream   *UpstreamSpec  `json:"upstream,omitempty"`
	Pipeline   *PipelineSpec  `json:"pipeline,omitempty"`
	Service    *ServiceSpec   `json:"service,omitempty"`
	Workspace  *WorkspaceSpec `json:"workspace,omitempty"`
}

// ConfigRecord is an entry of [StreamConfig]: a command or a snapshot.
type ConfigRecord struct {
	ID       string    `json:"id"`
	Who      string    `json:"who"`
	Text     string    `json:"text,omitempty"`
	Command  *Command  `json:"command,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// Snapshot is the whole configuration at a revision.
type Snapshot struct {
	Revision       Revision        `json:"revision"`
	RevisionOffset uint64          `json:"shift"` // revision less the offset read next
	Upstreams      []UpstreamSpec  `json:"upstreams"`
	Pipelines      []PipelineSpec  `json:"pipelines"`
	Services       []ServiceSpec   `json:"services"`
	Workspaces     []WorkspaceSpec `json:"workspaces"`
	AppliedIDs     []string        `json:"applied"` // IDs of recent records
}

// CommandMsg submits a command. The answer is a [CommandAnswer].
type CommandMsg struct {
	ID       string
	Who      string
	Text     string
	Command  Command
	DryRun   bool
	Deadline time.Time
}

// CommandAnswer tells what became of a command.
type CommandAnswer struct {
	Accepted     bool
	OutcomeKnown bool // whether the outcome is known
	Revision     Revision
	Detail       string
}

// ConfigAppendEffect appends a record to [StreamConfig].
type ConfigAppendEffect struct {
	Record ConfigRecord
}

// ConfigPageMsg brings what was read from [StreamConfig].
type ConfigPageMsg struct {
	Start   uint64
	End     uint64
	Entries []ConfigEntry
}

// ConfigEntry is a decoded entry. Bad tells why it could not be decoded, and
// Newer whether a newer program could.
type ConfigEntry struct {
	Offset       uint64
	At           time.Time
	Record       ConfigRecord
	DecodeError  string
	NewerVersion bool
}

// LogFailedMsg reports that a stream could not be read or appended to. An
// append that failed may still have taken effect.
type LogFailedMsg struct {
	Stream Stream
	Err    error
}
