package operator

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/system"
)

// closestName returns the element of names with the smallest edit distance to
// name.
func closestName(name string, names []string) string { return system.ClosestName(name, names) }

// settingNames lists the settings of each entity, in the order in which [Export]
// writes them.
var settingNames = map[lentilmux.Entity][]string{
	lentilmux.EntityUpstream:  {"kind", "addr", "zone", "accelerator", "layers", "rate", "slots"},
	lentilmux.EntityPipeline:  {"model", "layers", "on"},
	lentilmux.EntityService:   {"on", "idempotent"},
	lentilmux.EntityWorkspace: {"share", "priority", "uses", "key_hash"},
}

// settingParser converts the values of one setting.
type settingParser struct {
	statement string // source of the statement, for errors
	setting   *Setting
}

// syntaxErrorf returns a [*SyntaxError] at the position of the setting.
func (p *settingParser) syntaxErrorf(format string, args ...any) error {
	return &SyntaxError{Statement: p.statement, Column: p.setting.Pos.Column, Detail: fmt.Sprintf(format, args...)}
}

func (p *settingParser) text() (value string, err error) {
	if len(p.setting.Values) != 1 {
		return "", p.syntaxErrorf("%s takes one value, not %d", p.setting.Name, len(p.setting.Values))
	}
	return p.setting.Values[0], nil
}

func (p *settingParser) number() (value int, err error) {
	text, err := p.text()
	if err != nil {
		return 0, err
	}
	value, err = strconv.Atoi(text)
	if err != nil || value < 0 {
		return 0, p.syntaxErrorf("%s takes a whole number, not %q", p.setting.Name, text)
	}
	return value, nil
}

func (p *settingParser) fraction() (value float64, err error) {
	text, err := p.text()
	if err != nil {
		return 0, err
	}
	value, err = strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, p.syntaxErrorf("%s takes a number such as 0.25, not %q", p.setting.Name, text)
	}
	return value, nil
}

func (p *settingParser) addr() (value netip.AddrPort, err error) {
	text, err := p.text()
	if err != nil {
		return netip.AddrPort{}, err
	}
	value, err = netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, p.syntaxErrorf("%s takes an IP address and port such as 192.0.2.1:9000, not %q", p.setting.Name, text)
	}
	return value, nil
}

// unknownSetting returns the error for a setting that the entity does not have.
func (p *settingParser) unknownSetting(entity lentilmux.Entity) error {
	return p.syntaxErrorf("%s has no setting %q; the nearest is %q", entity, p.setting.Name, closestName(p.setting.Name, settingNames[entity]))
}

// BuildCommand converts a statement that changes the configuration into a command.
// A change of an existing entity starts from its settings in current and replaces
// those that the statement names. It applies only to the entity's revision in
// current unless the statement gives another one. text is the source of the
// statement; an error is a [*SyntaxError] with a position in it.
func BuildCommand(text string, statement *Statement, current lentilmux.Snapshot) (command lentilmux.Command, err error) {
	command.IfRevision = lentilmux.Revision(statement.IfRevision)
	switch {
	case statement.Mark != nil:
		command.Verb = lentilmux.Verb(statement.Mark.Verb)
		command.Entity = lentilmux.EntityUpstream
		command.Name = statement.Mark.Name
		return command, nil
	case statement.Remove != nil:
		command.Verb = lentilmux.VerbRemove
		command.Entity = lentilmux.Entity(statement.Remove.Entity)
		command.Name = statement.Remove.Name
		return command, nil
	case statement.Set != nil:
		return buildSetCommand(strings.TrimSpace(text), statement.Set, command, current)
	default:
		return command, &SyntaxError{Statement: text, Column: 1, Detail: "the statement changes no configuration"}
	}
}

// buildSetCommand completes command for a create, change or set statement.
func buildSetCommand(text string, set *Set, command lentilmux.Command, current lentilmux.Snapshot) (built lentilmux.Command, err error) {
	command.Verb = lentilmux.VerbSet
	command.Entity = lentilmux.Entity(set.Entity)
	command.Name = set.Name
	if set.Verb != "create" {
		loadCurrent(&command, current)
	}
	command.Create = set.Verb == "create" || (set.Verb == "set" && !hasSpec(&command))
	switch command.Entity {
	case lentilmux.EntityUpstream:
		err = applyUpstreamSettings(text, set, &command)
	case lentilmux.EntityPipeline:
		err = applyPipelineSettings(text, set, &command)
	case lentilmux.EntityService:
		err = applyServiceSettings(text, set, &command)
	case lentilmux.EntityWorkspace:
		err = applyWorkspaceSettings(text, set, &command)
	}
	return command, err
}

// loadCurrent copies the entity that the command names from current into the
// command, and makes the command apply only to that revision unless it names one.
// It does nothing if there is no such entity; the node then rejects a change.
func loadCurrent(command *lentilmux.Command, current lentilmux.Snapshot) {
	defaultIfRevision := func(revision lentilmux.Revision) {
		if command.IfRevision == 0 {
			command.IfRevision = revision
		}
	}
	for _, spec := range current.Upstreams {
		if command.Entity == lentilmux.EntityUpstream && spec.Name == command.Name {
			command.Upstream = &spec
			defaultIfRevision(spec.Revision)
		}
	}
	for _, spec := range current.Pipelines {
		if command.Entity == lentilmux.EntityPipeline && spec.Name == command.Name {
			command.Pipeline = &spec
			defaultIfRevision(spec.Revision)
		}
	}
	for _, spec := range current.Services {
		if command.Entity == lentilmux.EntityService && spec.Name == command.Name {
			command.Service = &spec
			defaultIfRevision(spec.Revision)
		}
	}
	for _, spec := range current.Workspaces {
		if command.Entity == lentilmux.EntityWorkspace && spec.Name == command.Name {
			command.Workspace = &spec
			defaultIfRevision(spec.Revision)
		}
	}
}

// hasSpec reports whether the command holds a specification, which means that
// loadCurrent has found the entity.
func hasSpec(command *lentilmux.Command) bool {
	return command.Upstream != nil || command.Pipeline != nil || command.Service != nil || command.Workspace != nil
}

func applyUpstreamSettings(text string, set *Set, command *lentilmux.Command) (err error) {
	if command.Upstream == nil {
		command.Upstream = &lentilmux.UpstreamSpec{Name: set.Name, Slots: 1}
	}
	spec := command.Upstream
	for _, setting := range set.Settings {
		p := &settingParser{statement: text, setting: setting}
		switch setting.Name {
		case "kind":
			var kind string
			kind, err = p.text()
			spec.Kind = lentilmux.UpstreamKind(kind)
		case "addr":
			spec.Addr, err = p.addr()
		case "zone":
			spec.Zone, err = p.text()
		case "accelerator":
			spec.Accelerator, err = p.text()
		case "layers":
			spec.MaxLayers, err = p.number()
		case "rate":
			spec.LayerStepsPerSecond, err = p.number()
		case "slots":
			spec.Slots, err = p.number()
		default:
			err = p.unknownSetting(command.Entity)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func applyPipelineSettings(text string, set *Set, command *lentilmux.Command) (err error) {
	if command.Pipeline == nil {
		command.Pipeline = &lentilmux.PipelineSpec{Name: set.Name}
	}
	spec := command.Pipeline
	for _, setting := range set.Settings {
		p := &settingParser{statement: text, setting: setting}
		switch setting.Name {
		case "model":
			spec.Model, err = p.text()
		case "layers":
			spec.Layers, err = p.number()
		case "on":
			spec.Upstreams = setting.Values
		default:
			err = p.unknownSetting(command.Entity)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func applyServiceSettings(text string, set *Set, command *lentilmux.Command) (err error) {
	if command.Service == nil {
		command.Service = &lentilmux.ServiceSpec{Name: set.Name}
	}
	spec := command.Service
	for _, setting := range set.Settings {
		p := &settingParser{statement: text, setting: setting}
		switch setting.Name {
		case "on":
			spec.Upstreams = setting.Values
		case "idempotent":
			spec.Idempotent = setting.Values
		default:
			err = p.unknownSetting(command.Entity)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func applyWorkspaceSettings(text string, set *Set, command *lentilmux.Command) (err error) {
	if command.Workspace == nil {
		command.Workspace = &lentilmux.WorkspaceSpec{Name: set.Name}
	}
	spec := command.Workspace
	for _, setting := range set.Settings {
		p := &settingParser{statement: text, setting: setting}
		switch setting.Name {
		case "share":
			spec.Share, err = p.fraction()
		case "priority":
			spec.Priority, err = p.number()
		case "uses":
			spec.Uses = setting.Values
		case "key_hash":
			spec.KeyHash, err = p.text()
		default:
			err = p.unknownSetting(command.Entity)
		}
		if err != nil {
			return err
		}
	}
	return nil
}
