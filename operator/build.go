package operator

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/system"
)

// nearest returns the name that is most like word.
func nearest(word string, names []string) string { return system.ClosestName(word, names) }

// fields lists the settings of each entity, in the order of an export.
var fields = map[lentilmux.Entity][]string{
	lentilmux.EntityUpstream:  {"kind", "addr", "zone", "accelerator", "layers", "rate", "slots"},
	lentilmux.EntityPipeline:  {"model", "layers", "on"},
	lentilmux.EntityService:   {"on", "idempotent"},
	lentilmux.EntityWorkspace: {"share", "priority", "uses", "key_hash"},
}

// builder turns settings into one kind of entity.
type builder struct {
	statement string
	setting   *Setting
}

// wrong returns a mistake at the setting's place.
func (b *builder) wrong(format string, args ...any) error {
	return &SyntaxError{Statement: b.statement, Column: b.setting.Pos.Column, Detail: fmt.Sprintf(format, args...)}
}

func (b *builder) text() (value string, err error) {
	if len(b.setting.Values) != 1 {
		return "", b.wrong("%s takes one value, not %d", b.setting.Name, len(b.setting.Values))
	}
	return b.setting.Values[0], nil
}

func (b *builder) number() (value int, err error) {
	text, err := b.text()
	if err != nil {
		return 0, err
	}
	value, err = strconv.Atoi(text)
	if err != nil || value < 0 {
		return 0, b.wrong("%s takes a whole number, not %q", b.setting.Name, text)
	}
	return value, nil
}

func (b *builder) fraction() (value float64, err error) {
	text, err := b.text()
	if err != nil {
		return 0, err
	}
	value, err = strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, b.wrong("%s takes a number such as 0.25, not %q", b.setting.Name, text)
	}
	return value, nil
}

func (b *builder) addr() (value netip.AddrPort, err error) {
	text, err := b.text()
	if err != nil {
		return netip.AddrPort{}, err
	}
	value, err = netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, b.wrong("%s takes an IP address and port such as 192.0.2.1:9000, not %q", b.setting.Name, text)
	}
	return value, nil
}

// unknown returns a mistake for a setting that the entity does not have.
func (b *builder) unknown(entity lentilmux.Entity) error {
	return b.wrong("%s has no setting %q; the nearest is %q", entity, b.setting.Name, nearest(b.setting.Name, fields[entity]))
}

// BuildCommand returns the command of a statement that changes the configuration. A
// change starts from the entity in current and applies only to that revision,
// unless the statement names another.
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
		return buildSet(strings.TrimSpace(text), statement.Set, command, current)
	default:
		return command, &SyntaxError{Statement: text, Column: 1, Detail: "the statement changes no configuration"}
	}
}

func buildSet(text string, set *Set, command lentilmux.Command, current lentilmux.Snapshot) (built lentilmux.Command, err error) {
	command.Verb = lentilmux.VerbSet
	command.Entity = lentilmux.Entity(set.Entity)
	command.Name = set.Name
	if set.Verb != "create" {
		load(&command, current)
	}
	command.Create = set.Verb == "create" || (set.Verb == "set" && !loaded(&command))
	switch command.Entity {
	case lentilmux.EntityUpstream:
		err = setUpstream(text, set, &command)
	case lentilmux.EntityPipeline:
		err = setPipeline(text, set, &command)
	case lentilmux.EntityService:
		err = setService(text, set, &command)
	case lentilmux.EntityWorkspace:
		err = setWorkspace(text, set, &command)
	}
	return command, err
}

// load copies the entity that the command names into it. A missing one is left
// for the node to refuse.
func load(command *lentilmux.Command, current lentilmux.Snapshot) {
	expect := func(revision lentilmux.Revision) {
		if command.IfRevision == 0 {
			command.IfRevision = revision
		}
	}
	for _, spec := range current.Upstreams {
		if command.Entity == lentilmux.EntityUpstream && spec.Name == command.Name {
			command.Upstream = &spec
			expect(spec.Revision)
		}
	}
	for _, spec := range current.Pipelines {
		if command.Entity == lentilmux.EntityPipeline && spec.Name == command.Name {
			command.Pipeline = &spec
			expect(spec.Revision)
		}
	}
	for _, spec := range current.Services {
		if command.Entity == lentilmux.EntityService && spec.Name == command.Name {
			command.Service = &spec
			expect(spec.Revision)
		}
	}
	for _, spec := range current.Workspaces {
		if command.Entity == lentilmux.EntityWorkspace && spec.Name == command.Name {
			command.Workspace = &spec
			expect(spec.Revision)
		}
	}
}

// loaded reports whether the command holds an entity that exists.
func loaded(command *lentilmux.Command) bool {
	return command.Upstream != nil || command.Pipeline != nil || command.Service != nil || command.Workspace != nil
}

func setUpstream(text string, set *Set, command *lentilmux.Command) (err error) {
	if command.Upstream == nil {
		command.Upstream = &lentilmux.UpstreamSpec{Name: set.Name, Slots: 1}
	}
	spec := command.Upstream
	for _, setting := range set.Settings {
		b := &builder{statement: text, setting: setting}
		switch setting.Name {
		case "kind":
			var kind string
			kind, err = b.text()
			spec.Kind = lentilmux.UpstreamKind(kind)
		case "addr":
			spec.Addr, err = b.addr()
		case "zone":
			spec.Zone, err = b.text()
		case "accelerator":
			spec.Accelerator, err = b.text()
		case "layers":
			spec.MaxLayers, err = b.number()
		case "rate":
			spec.Rate, err = b.number()
		case "slots":
			spec.Slots, err = b.number()
		default:
			err = b.unknown(command.Entity)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func setPipeline(text string, set *Set, command *lentilmux.Command) (err error) {
	if command.Pipeline == nil {
		command.Pipeline = &lentilmux.PipelineSpec{Name: set.Name}
	}
	spec := command.Pipeline
	for _, setting := range set.Settings {
		b := &builder{statement: text, setting: setting}
		switch setting.Name {
		case "model":
			spec.Model, err = b.text()
		case "layers":
			spec.Layers, err = b.number()
		case "on":
			spec.Upstreams = setting.Values
		default:
			err = b.unknown(command.Entity)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func setService(text string, set *Set, command *lentilmux.Command) (err error) {
	if command.Service == nil {
		command.Service = &lentilmux.ServiceSpec{Name: set.Name}
	}
	spec := command.Service
	for _, setting := range set.Settings {
		b := &builder{statement: text, setting: setting}
		switch setting.Name {
		case "on":
			spec.Upstreams = setting.Values
		case "idempotent":
			spec.Idempotent = setting.Values
		default:
			err = b.unknown(command.Entity)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func setWorkspace(text string, set *Set, command *lentilmux.Command) (err error) {
	if command.Workspace == nil {
		command.Workspace = &lentilmux.WorkspaceSpec{Name: set.Name}
	}
	spec := command.Workspace
	for _, setting := range set.Settings {
		b := &builder{statement: text, setting: setting}
		switch setting.Name {
		case "share":
			spec.Share, err = b.fraction()
		case "priority":
			spec.Priority, err = b.number()
		case "uses":
			spec.Uses = setting.Values
		case "key_hash":
			spec.KeyHash, err = b.text()
		default:
			err = b.unknown(command.Entity)
		}
		if err != nil {
			return err
		}
	}
	return nil
}
