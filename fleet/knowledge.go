package fleet

import (
	"time"

	"lentilmux.example/lentilmux"
)

// Knowledge tells how old what this node knows is, by stream.
type Knowledge struct {
	Rules   Freshness
	Members Freshness
}

// Freshness is the age of one stream's knowledge.
type Freshness struct {
	AsOf      time.Time // when the last read that was answered was sent
	Failing   bool      // whether the last read failed
	Recovered time.Time // when reads were answered again after a failure
}

// Of returns the row of a stream, or nil for one whose age does not matter.
func (k *Knowledge) Of(stream lentilmux.Stream) (f *Freshness) {
	switch stream {
	case lentilmux.StreamRules:
		return &k.Rules
	case lentilmux.StreamMembers:
		return &k.Members
	default:
		return nil
	}
}

// Stale reports whether the configuration is too old to honour keys.
func (t *Tables) Stale(now time.Time) bool {
	return now.Sub(t.Knowledge.Rules.AsOf) > t.Limits.KnowledgeMost
}

// Rules is the configuration in force with its indexes.
type Rules struct {
	lentilmux.Ruleset
	byHost     map[string][]*lentilmux.RouteRule // the longest prefix first
	byKey      map[string]*lentilmux.WorkspaceRule
	byService  map[string]*lentilmux.ServiceRule
	Known      bool
	EngineName string // the service whose upstreams hold layers
}

// Service returns a service's rule, or nil.
func (r *Rules) Service(name string) *lentilmux.ServiceRule { return r.byService[name] }

// Workspace returns the workspace of a key, or nil.
func (r *Rules) Workspace(key string) *lentilmux.WorkspaceRule { return r.byKey[key] }
