package lentilmux

import (
	"net/netip"
	"time"
)

// CallKind says how often the work behind a route may run for one request.
type CallKind int

// The kinds of call.
const (
	// CallOnce may run at most once.
	CallOnce CallKind = iota
	// CallRepeatable may run any number of times.
	CallRepeatable
	// CallStream answers with a stream of events and may run at most once.
	CallStream
	// CallResumableStream is a stream that another run may continue behind the
	// last event that was delivered.
	CallResumableStream
)

// String returns the kind in the snake case of the logs.
func (k CallKind) String() string {
	return [...]string{"once", "repeatable", "stream", "resumable_stream"}[k]
}

// Repeatable reports whether work that may have run can be sent again.
func (k CallKind) Repeatable() bool { return k == CallRepeatable || k == CallResumableStream }

// Streams reports whether the answer is a stream of events.
func (k CallKind) Streams() bool { return k == CallStream || k == CallResumableStream }

// RouteTarget is a service that takes a share of a route's requests.
type RouteTarget struct {
	Service string
	Weight  int
}

// RouteRule sends the requests of a host below a path prefix to services.
type RouteRule struct {
	Name            string
	Host            string
	Prefix          string
	Kind            CallKind
	Targets         []RouteTarget
	Timeout         time.Duration // the longest time that a request may wait for its answer
	FirstByteTarget time.Duration // the time to the first byte that is aimed at
	EventGapTarget  time.Duration // the pause between events that is aimed at
	MaxAttempts     int           // upstreams that one request may run on
	Priority        int           // 0 is the most urgent
	Anonymous       bool          // whether callers need no key
}

// ServiceRule declares a service. Its upstreams register themselves.
type ServiceRule struct {
	Name   string
	Engine *ModelProfile // nil for a plain service
}

// CallerLimits bound what a caller may send.
type CallerLimits struct {
	MaxBodyBytes int64 // bytes
}

// WorkspaceRule is a workspace and the keys of its callers.
type WorkspaceRule struct {
	Name        string
	Keys        []string
	Priority    int
	HasPriority bool // whether Priority goes before the route's
}

// Ruleset is one version of what the operators have configured.
type Ruleset struct {
	Version    Revision
	Routes     []RouteRule
	Services   []ServiceRule
	Workspaces []WorkspaceRule // without any, callers need no key
	Limits     CallerLimits
}

// UpstreamRecord is what an upstream says of itself in the platform's store.
type UpstreamRecord struct {
	ID          string
	Service     string
	Addr        netip.AddrPort
	Zone        string
	Slots       int
	Draining    bool
	Accelerator string     // kind of accelerator, of an upstream that holds layers
	Layers      LayerRange // the layers that it can run; valid if Held
	HasLayers   bool
	StartedAt   time.Time // start of its process
}
