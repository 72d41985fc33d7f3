package fleet

import (
	"time"

	"lentilmux.example/lentilmux"
)

// StreamStates tells how old what this node knows is, by stream.
type StreamStates struct {
	Rules     StreamState
	Upstreams StreamState
}

// StreamState is the age of one stream's knowledge.
type StreamState struct {
	AsOf        time.Time // when the last read that was answered was sent
	Failing     bool      // whether the last read failed
	RecoveredAt time.Time // when reads were answered again after a failure
}

// Find returns the row of a stream, or nil for one whose age does not matter.
func (s *StreamStates) Find(stream lentilmux.Stream) (state *StreamState) {
	switch stream {
	case lentilmux.StreamRules:
		return &s.Rules
	case lentilmux.StreamUpstreams:
		return &s.Upstreams
	default:
		return nil
	}
}

// ConfigStale reports whether the configuration is too old to honour keys.
func (t *Tables) ConfigStale(now time.Time) bool {
	return now.Sub(t.Streams.Rules.AsOf) > t.Limits.MaxConfigAge
}

// Rules is the configuration in force with its indexes.
type Rules struct {
	lentilmux.Ruleset
	routesByHost   map[string][]*lentilmux.RouteRule // the longest prefix first
	workspaceByKey map[string]*lentilmux.WorkspaceRule
	serviceByName  map[string]*lentilmux.ServiceRule
	Loaded         bool
	EngineService  string // the service whose upstreams hold layers
}

// Service returns a service's rule, or nil.
func (r *Rules) Service(name string) *lentilmux.ServiceRule { return r.serviceByName[name] }

// Workspace returns the workspace of a key, or nil.
func (r *Rules) Workspace(key string) *lentilmux.WorkspaceRule { return r.workspaceByKey[key] }
