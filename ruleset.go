package lentilmux

import (
	"net/netip"
	"time"
)

// CallKind specifies how often the work of a route may run for one request, and
// whether the answer is a stream.
type CallKind int

// The kinds of call.
const (
	// CallOnce may run at most once.
	CallOnce CallKind = iota
	// CallRepeatable may run any number of times.
	CallRepeatable
	// CallOnceStream answers with a stream of events and may run at most once.
	CallOnceStream
	// CallResumableStream answers with a stream of events that a retry may
	// resume after the last delivered event.
	CallResumableStream
)

// String returns the kind in snake case, as log lines and metrics show it.
func (k CallKind) String() string {
	return [...]string{"once", "repeatable", "stream", "resumable_stream"}[k]
}

// Repeatable reports whether a request may be retried after it may have run.
func (k CallKind) Repeatable() bool { return k == CallRepeatable || k == CallResumableStream }

// Streams reports whether the answer is a response stream of events.
func (k CallKind) Streams() bool { return k == CallOnceStream || k == CallResumableStream }

// RouteTarget is a service that gets a share of a route's requests, in
// proportion to its weight.
type RouteTarget struct {
	Service string
	Weight  int
}

// RouteRule routes the requests for a host and a path prefix to services.
type RouteRule struct {
	Name            string
	Host            string
	Prefix          string
	Kind            CallKind
	Targets         []RouteTarget
	Timeout         time.Duration // maximum duration of a request
	FirstByteTarget time.Duration // target for the time to the first byte
	EventGapTarget  time.Duration // target for the gap between two events
	MaxAttempts     int           // maximum number of upstreams on which a request may have run
	Priority        int           // 0 is the most urgent
	Anonymous       bool          // whether callers need no API key
}

// ServiceRule declares a service. Its upstreams register themselves in the
// platform's store.
type ServiceRule struct {
	Name   string
	Engine *ModelProfile // nil for a plain service
}

// CallerLimits limit the size of callers' requests.
type CallerLimits struct {
	MaxBodyBytes int64
}

// WorkspaceRule declares a workspace and the API keys of its callers.
type WorkspaceRule struct {
	Name        string
	Keys        []string
	Priority    int
	HasPriority bool // whether Priority overrides the route's
}

// Ruleset is one version of the operators' configuration.
type Ruleset struct {
	Version    Revision
	Routes     []RouteRule
	Services   []ServiceRule
	Workspaces []WorkspaceRule // if empty, callers need no API key
	Limits     CallerLimits
}

// UpstreamRecord is the entry with which an upstream registers itself in the
// platform's store.
type UpstreamRecord struct {
	ID          string
	Service     string
	Addr        netip.AddrPort
	Zone        string
	Slots       int        // maximum number of concurrent requests
	Draining    bool       // takes no new work
	Accelerator string     // type of accelerator; empty for a plain service
	Layers      LayerRange // layers that it holds; valid if HasLayers
	HasLayers   bool
	StartedAt   time.Time // start of its process
}
