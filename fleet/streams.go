package fleet

import (
	"time"

	"lentilmux.example/lentilmux"
)

// StreamStates holds the age of what this VM has read of the streams of the
// store.
type StreamStates struct {
	Rules     StreamState
	Upstreams StreamState
	VMs       StreamState
}

// StreamState is the read state of one stream of the store.
type StreamState struct {
	AsOf        time.Time             // when the last read was sent that returned all that was new
	Failing     bool                  // whether the last read failed
	RecoveredAt time.Time             // when a read last succeeded after a failure, or showed that the store was restored
	Position    lentilmux.LogPosition // where the next read starts
}

// Find returns the state of a stream, or nil for an unknown stream.
func (s *StreamStates) Find(stream lentilmux.Stream) (state *StreamState) {
	switch stream {
	case lentilmux.StreamRules:
		return &s.Rules
	case lentilmux.StreamUpstreams:
		return &s.Upstreams
	case lentilmux.StreamVMs:
		return &s.VMs
	default:
		return nil
	}
}

// ConfigStale reports whether the configuration is too old to accept API keys: a
// key may have been revoked since the last read.
func (t *Tables) ConfigStale(now time.Time) bool {
	return now.Sub(t.Streams.Rules.AsOf) > t.Limits.MaxConfigAge
}

// storeRecovering reports whether entries of upstreams may be missing although
// the upstreams live: the store does not respond, or did so again for the first
// time or was restored from an earlier copy less than grace ago.
func (t *Tables) storeRecovering(now time.Time, grace time.Duration) bool {
	state := &t.Streams.Upstreams
	return state.Failing || !state.RecoveredAt.IsZero() && now.Before(state.RecoveredAt.Add(grace))
}

// Rules is the configuration in force with its lookup indexes.
type Rules struct {
	lentilmux.Ruleset
	routesByHost        map[string][]*lentilmux.RouteRule // longest prefix first
	workspaceByKey      map[string]*lentilmux.WorkspaceRule
	serviceByName       map[string]*lentilmux.ServiceRule
	prioritiesByService map[string][]int // that requests can have, the most urgent first
	rankedServices      map[string]bool  // services of which requests are ranked by priority
	InstalledAt         time.Time
	Loaded              bool   // whether a configuration has been read
	EngineService       string // name of the service whose upstreams hold layers; empty if there is none
}

// Service returns a service's rule, or nil if the service is unknown.
func (r *Rules) Service(name string) *lentilmux.ServiceRule { return r.serviceByName[name] }

// Workspace returns the workspace that an API key belongs to, or nil if the key
// is unknown.
func (r *Rules) Workspace(key string) *lentilmux.WorkspaceRule { return r.workspaceByKey[key] }
