package system

import (
	"fmt"
	"slices"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

// CommandError says why a command cannot be applied to an entity.
type CommandError struct {
	Entity lentilmux.Entity
	Name   string
	Detail string
}

// Error implements error. It returns the entity, its name and the detail.
func (e *CommandError) Error() string {
	return fmt.Sprintf("%s %q: %s", e.Entity, e.Name, e.Detail)
}

// commandError returns a [CommandError] for the command c.
func commandError(c lentilmux.Command, format string, args ...any) error {
	return &CommandError{Entity: c.Entity, Name: c.Name, Detail: fmt.Sprintf(format, args...)}
}

// checkCommand returns an error if the command cannot be applied to the
// configuration in t. It depends on the configuration only, so every VM comes
// to the same result.
func checkCommand(t *table.Tables, c lentilmux.Command) (err error) {
	revision, exists := entityRevision(t, c.Entity, c.Name)
	switch {
	case c.Name == "":
		return commandError(c, "a name is expected")
	case c.Create && exists:
		return commandError(c, "exists already; use change")
	case !c.Create && !exists:
		return commandError(c, "does not exist")
	case c.IfRevision != 0 && c.IfRevision != revision:
		return commandError(c, "is at revision %d, not %d", revision, c.IfRevision)
	}
	switch c.Verb {
	case lentilmux.VerbSet:
		return checkSet(t, c)
	case lentilmux.VerbRemove:
		return checkRemove(t, c)
	case lentilmux.VerbDrain, lentilmux.VerbUndrain, lentilmux.VerbExclude, lentilmux.VerbInclude:
		return checkUpstreamFlag(t, c)
	default:
		return commandError(c, "unknown verb %q", c.Verb)
	}
}

// entityRevision returns the revision of the last change to the named entity.
func entityRevision(t *table.Tables, entity lentilmux.Entity, name string) (revision lentilmux.Revision, exists bool) {
	switch entity {
	case lentilmux.EntityUpstream:
		if u := t.Upstreams.Find(name); u != nil {
			return u.Spec.Revision, true
		}
	case lentilmux.EntityPipeline:
		if p := t.Pipelines.Find(name); p != nil {
			return p.Spec.Revision, true
		}
	case lentilmux.EntityService:
		if s := t.Services.Find(name); s != nil {
			return s.Spec.Revision, true
		}
	case lentilmux.EntityWorkspace:
		if w := t.Workspaces.Find(name); w != nil {
			return w.Spec.Revision, true
		}
	}
	return 0, false
}

func checkSet(t *table.Tables, c lentilmux.Command) (err error) {
	switch {
	case c.Entity == lentilmux.EntityUpstream && c.Upstream != nil:
		return checkUpstream(c, c.Upstream)
	case c.Entity == lentilmux.EntityPipeline && c.Pipeline != nil:
		return checkPipeline(t, c, c.Pipeline)
	case c.Entity == lentilmux.EntityService && c.Service != nil:
		return checkService(t, c, c.Service)
	case c.Entity == lentilmux.EntityWorkspace && c.Workspace != nil:
		return checkWorkspace(t, c, c.Workspace)
	default:
		return commandError(c, "the command lacks its settings")
	}
}

func checkUpstream(c lentilmux.Command, s *lentilmux.UpstreamSpec) (err error) {
	switch {
	case s.Kind != lentilmux.KindEngine && s.Kind != lentilmux.KindService:
		return commandError(c, "kind %q is neither engine nor service", s.Kind)
	case !s.Addr.IsValid():
		return commandError(c, "an address is expected, such as 192.0.2.1:9000")
	case s.Slots < 1:
		return commandError(c, "slots must be 1 or more")
	case s.Kind == lentilmux.KindEngine && s.MaxLayers < 1:
		return commandError(c, "an engine needs layers, the most it can hold")
	case s.Kind == lentilmux.KindEngine && s.LayerStepsPerSecond < 1:
		return commandError(c, "an engine needs a rate, in layer steps a second")
	}
	return nil
}

func checkPipeline(t *table.Tables, c lentilmux.Command, s *lentilmux.PipelineSpec) (err error) {
	if s.Model == "" || s.Layers < 1 {
		return commandError(c, "a model and its number of layers are expected")
	}
	for i := range t.Pipelines.Rows {
		other := &t.Pipelines.Rows[i].Spec
		if other.Name != s.Name && other.Model == s.Model {
			return commandError(c, "model %q is served by pipeline %q", s.Model, other.Name)
		}
	}
	capacity := 0
	for _, name := range s.Upstreams {
		u := t.Upstreams.Find(name)
		if u == nil {
			return commandError(c, "upstream %q does not exist", name)
		}
		if u.Spec.Kind != lentilmux.KindEngine {
			return commandError(c, "upstream %q is no engine", name)
		}
		if target := targetUsing(t, name); target != "" && target != s.Name {
			return commandError(c, "upstream %q is used by %q", name, target)
		}
		capacity += u.Spec.MaxLayers
	}
	if capacity < s.Layers {
		return commandError(c, "its upstreams hold %d layers, the model has %d", capacity, s.Layers)
	}
	return nil
}

func checkService(t *table.Tables, c lentilmux.Command, s *lentilmux.ServiceSpec) (err error) {
	if len(s.Upstreams) == 0 {
		return commandError(c, "at least one upstream is expected")
	}
	for _, name := range s.Upstreams {
		u := t.Upstreams.Find(name)
		if u == nil {
			return commandError(c, "upstream %q does not exist", name)
		}
		if u.Spec.Kind != lentilmux.KindService {
			return commandError(c, "upstream %q is no service", name)
		}
	}
	return nil
}

func checkWorkspace(t *table.Tables, c lentilmux.Command, s *lentilmux.WorkspaceSpec) (err error) {
	if s.Share <= 0 || s.Share > 1 {
		return commandError(c, "share must be above 0 and at most 1")
	}
	sum := s.Share
	for i := range t.Workspaces.Rows {
		other := &t.Workspaces.Rows[i].Spec
		if other.Name != s.Name {
			sum += other.Share
		}
	}
	const rounding = 1e-9
	if sum > 1+rounding {
		return commandError(c, "all shares together would be %.3f, above 1", sum)
	}
	for _, name := range s.Uses {
		if t.Pipelines.Find(name) == nil && t.Services.Find(name) == nil {
			return commandError(c, "uses %q, which is neither a pipeline nor a service", name)
		}
	}
	return nil
}

func checkRemove(t *table.Tables, c lentilmux.Command) (err error) {
	switch c.Entity {
	case lentilmux.EntityUpstream:
		if target := targetUsing(t, c.Name); target != "" {
			return commandError(c, "is used by %q", target)
		}
	case lentilmux.EntityPipeline, lentilmux.EntityService:
		for i := range t.Workspaces.Rows {
			w := &t.Workspaces.Rows[i].Spec
			if slices.Contains(w.Uses, c.Name) {
				return commandError(c, "is used by workspace %q", w.Name)
			}
		}
	}
	return nil
}

// targetUsing returns the name of the pipeline or service that lists the
// upstream, or an empty string.
func targetUsing(t *table.Tables, upstream string) string {
	for i := range t.Pipelines.Rows {
		if slices.Contains(t.Pipelines.Rows[i].Spec.Upstreams, upstream) {
			return t.Pipelines.Rows[i].Spec.Name
		}
	}
	for i := range t.Services.Rows {
		if slices.Contains(t.Services.Rows[i].Spec.Upstreams, upstream) {
			return t.Services.Rows[i].Spec.Name
		}
	}
	return ""
}

func checkUpstreamFlag(t *table.Tables, c lentilmux.Command) (err error) {
	if c.Entity != lentilmux.EntityUpstream {
		return commandError(c, "%s applies to upstreams only", c.Verb)
	}
	if c.Verb != lentilmux.VerbExclude {
		return nil
	}
	for i := range t.Pipelines.Rows {
		p := &t.Pipelines.Rows[i].Spec
		if !slices.Contains(p.Upstreams, c.Name) {
			continue
		}
		if left := capacityWithout(t, p, c.Name); left < p.Layers {
			return commandError(c, "without it pipeline %q could hold %d of %d layers", p.Name, left, p.Layers)
		}
	}
	return nil
}

// capacityWithout returns how many layers the upstreams of a pipeline can hold
// without the named one and without excluded ones.
func capacityWithout(t *table.Tables, p *lentilmux.PipelineSpec, without string) int {
	layers := 0
	for _, name := range p.Upstreams {
		u := t.Upstreams.Find(name)
		if u != nil && name != without && !u.Spec.Excluded {
			layers += u.Spec.MaxLayers
		}
	}
	return layers
}

// applyCommand applies to the configuration in t a command that passed
// [checkCommand].
func applyCommand(t *table.Tables, c lentilmux.Command, revision lentilmux.Revision) {
	if c.Entity != lentilmux.EntityWorkspace {
		t.Stages.Stale = true
	}
	switch c.Verb {
	case lentilmux.VerbSet:
		applySet(t, c, revision)
	case lentilmux.VerbRemove:
		applyRemove(t, c)
	default:
		applyUpstreamFlag(t, c, revision)
	}
}

func applySet(t *table.Tables, c lentilmux.Command, revision lentilmux.Revision) {
	switch c.Entity {
	case lentilmux.EntityUpstream:
		spec := *c.Upstream
		spec.Revision = revision
		putUpstream(t, spec)
	case lentilmux.EntityPipeline:
		spec := *c.Pipeline
		spec.Revision = revision
		t.Pipelines.Put(table.Pipeline{Spec: spec})
	case lentilmux.EntityService:
		spec := *c.Service
		spec.Revision = revision
		t.Services.Put(table.Service{Spec: spec})
	case lentilmux.EntityWorkspace:
		spec := *c.Workspace
		spec.Revision = revision
		putWorkspace(t, spec)
	}
}

// putUpstream sets the settings of an upstream. The state of an existing row is
// kept.
func putUpstream(t *table.Tables, spec lentilmux.UpstreamSpec) {
	if u := t.Upstreams.Find(spec.Name); u != nil {
		u.Spec = spec
		return
	}
	t.Upstreams.Put(table.Upstream{Spec: spec})
}

// putWorkspace sets the settings of a workspace. The counts of an existing row
// are kept.
func putWorkspace(t *table.Tables, spec lentilmux.WorkspaceSpec) {
	if w := t.Workspaces.Find(spec.Name); w != nil {
		w.Spec = spec
		return
	}
	t.Workspaces.Put(table.Workspace{Spec: spec})
}

func applyRemove(t *table.Tables, c lentilmux.Command) {
	switch c.Entity {
	case lentilmux.EntityUpstream:
		t.Upstreams.Remove(c.Name)
	case lentilmux.EntityPipeline:
		t.Pipelines.Remove(c.Name)
	case lentilmux.EntityService:
		t.Services.Remove(c.Name)
	case lentilmux.EntityWorkspace:
		t.Workspaces.Remove(c.Name)
	}
}

func applyUpstreamFlag(t *table.Tables, c lentilmux.Command, revision lentilmux.Revision) {
	u := t.Upstreams.Find(c.Name)
	u.Spec.Revision = revision
	switch c.Verb {
	case lentilmux.VerbDrain:
		u.Spec.Draining = true
	case lentilmux.VerbUndrain:
		u.Spec.Draining = false
	case lentilmux.VerbExclude:
		u.Spec.Excluded = true
		u.Spec.Automatic = c.Automatic
	case lentilmux.VerbInclude:
		u.Spec.Excluded = false
		u.Spec.Automatic = false
	}
}
