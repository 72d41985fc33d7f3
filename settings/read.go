package settings

import (
	"fmt"
	"io"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"
)

// ErrUnknownFlag reports a flag that the program does not have.
const ErrUnknownFlag = errors.ConstError("unknown flag")

// Read fills the settings from arguments and environment. Mistakes come
// together as one [ValidationError]; an unknown flag is [ErrUnknownFlag].
func (s *Set) Read(arguments []string, lookup func(name string) (value string, ok bool)) (err error) {
	arguments = s.split(arguments)
	if err := s.checkFlags(arguments); err != nil {
		return err
	}
	p := flaggy.NewParser(s.program)
	p.Description = s.purpose
	p.Version = s.version
	p.ShowHelpOnUnexpected = false
	for _, setting := range s.settings {
		setting.value = setting.Default
		if value, ok := lookup(setting.EnvVar); ok {
			setting.value = value
		}
		p.String(&setting.value, "", setting.Flag, setting.help())
	}
	if err := p.ParseArgs(arguments); err != nil {
		return err
	}
	return s.parse()
}

// help returns the help line of a setting.
func (t *Setting) help() string {
	return fmt.Sprintf("%s (%s)", t.Help, t.EnvVar)
}

// split gives a switch without a value the value true and keeps the words from
// the first that is neither a flag nor a flag's value on as trailing ones.
func (s *Set) split(arguments []string) (flags []string) {
	for i := 0; i < len(arguments); i++ {
		argument := arguments[i]
		if argument == "--" {
			s.trailing = arguments[i+1:]
			return flags
		}
		if !strings.HasPrefix(argument, "-") {
			s.trailing = arguments[i:]
			return flags
		}
		flags = append(flags, argument)
		setting := s.find(strings.TrimPrefix(argument, "--"))
		switch {
		case setting == nil:
		case setting.isSwitch():
			flags[len(flags)-1] += "=true"
		case i+1 < len(arguments):
			i++
			flags = append(flags, arguments[i])
		}
	}
	return flags
}

// isSwitch reports whether the setting was declared by [Set.Bool].
func (t *Setting) isSwitch() bool { return t.expected == switchExpected }

// find returns the setting of a flag, or nil.
func (s *Set) find(flag string) *Setting {
	for _, setting := range s.settings {
		if setting.Flag == flag {
			return setting
		}
	}
	return nil
}

// checkFlags refuses flags that do not exist.
func (s *Set) checkFlags(arguments []string) (err error) {
	for _, argument := range arguments {
		name, _, _ := strings.Cut(strings.TrimPrefix(argument, "--"), "=")
		if !strings.HasPrefix(argument, "--") || name == "help" || name == "version" || s.find(name) != nil {
			continue
		}
		return errors.WithType(fmt.Errorf("there is no flag --%s; --help lists them", name), ErrUnknownFlag)
	}
	return nil
}

// parse checks every value and gathers the mistakes.
func (s *Set) parse() (err error) {
	var mistakes ValidationError
	for _, setting := range s.settings {
		ok := setting.parse(setting.value)
		if setting.value == "" {
			ok = !setting.required
		}
		if ok {
			continue
		}
		value := setting.value
		if setting.Secret {
			value = "(secret)"
		}
		mistakes = append(mistakes, InvalidSetting{Flag: setting.Flag, EnvVar: setting.EnvVar, Value: value, Expected: setting.expected})
	}
	if len(mistakes) > 0 {
		return mistakes
	}
	return nil
}

// Print writes the values in force, one a line; secrets are left out.
func (s *Set) Print(w io.Writer) (err error) {
	for _, setting := range s.Settings() {
		value := setting.value
		if setting.Secret && value != "" {
			value = "(set)"
		}
		if _, err := fmt.Fprintf(w, "%s=%s\n", setting.EnvVar, value); err != nil {
			return err
		}
	}
	return nil
}

// MarkdownTable returns the settings as a table in Markdown, for the operators' page.
func (s *Set) MarkdownTable() string {
	lines := []string{"| flag | variable | default | meaning | expected |", "|---|---|---|---|---|"}
	for _, t := range s.Settings() {
		lines = append(lines, fmt.Sprintf("| `--%s` | `%s` | `%s` | %s | %s |", t.Flag, t.EnvVar, t.Default, t.Help, t.expected))
	}
	return strings.Join(lines, "\n") + "\n"
}
