package settings

import (
	"fmt"
	"io"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"
)

// ErrUnknownFlag reports a flag that is not declared.
const ErrUnknownFlag = errors.ConstError("unknown flag")

// Read sets the values of all settings from the arguments and the environment,
// which lookup reads. A flag overrides its variable, and a variable the
// default. All invalid values are returned as one [ValidationError], and an
// unknown flag as [ErrUnknownFlag]. --help and --version print their text and
// end the program.
func (s *Set) Read(arguments []string, lookup func(name string) (value string, ok bool)) (err error) {
	arguments = s.splitArguments(arguments)
	if err := s.rejectUnknownFlags(arguments); err != nil {
		return err
	}
	parser := flaggy.NewParser(s.program)
	parser.Description = s.description
	parser.Version = s.version
	parser.ShowHelpOnUnexpected = false
	for _, setting := range s.settings {
		setting.value = setting.Default
		if value, ok := lookup(setting.EnvVar); ok {
			setting.value = value
		}
		parser.String(&setting.value, "", setting.Flag, setting.help())
	}
	if err := parser.ParseArgs(arguments); err != nil {
		return err
	}
	return s.parseAll()
}

// help returns the help text of the flag, with the name of the variable.
func (s *Setting) help() string {
	return fmt.Sprintf("%s (%s)", s.Help, s.EnvVar)
}

// splitArguments returns the flags with their values, and adds the value true
// to boolean flags without one. It stores the remaining arguments, which begin
// after -- or at the first argument that is neither a flag nor the value of
// one.
func (s *Set) splitArguments(arguments []string) (flags []string) {
	for i := 0; i < len(arguments); i++ {
		argument := arguments[i]
		if argument == "--" {
			s.args = arguments[i+1:]
			return flags
		}
		if !strings.HasPrefix(argument, "-") {
			s.args = arguments[i:]
			return flags
		}
		flags = append(flags, argument)
		setting := s.find(strings.TrimPrefix(argument, "--"))
		switch {
		case setting == nil:
		case setting.isBool():
			flags[len(flags)-1] += "=true"
		case i+1 < len(arguments):
			i++
			flags = append(flags, arguments[i])
		}
	}
	return flags
}

// isBool reports whether the setting was declared with [Set.Bool].
func (s *Setting) isBool() bool { return s.expected == expectedBool }

// find returns the setting of a flag, or nil if the flag is not declared.
func (s *Set) find(flag string) *Setting {
	for _, setting := range s.settings {
		if setting.Flag == flag {
			return setting
		}
	}
	return nil
}

// rejectUnknownFlags returns [ErrUnknownFlag] for the first flag that is not
// declared.
func (s *Set) rejectUnknownFlags(arguments []string) (err error) {
	for _, argument := range arguments {
		name, _, _ := strings.Cut(strings.TrimPrefix(argument, "--"), "=")
		if !strings.HasPrefix(argument, "--") || name == "help" || name == "version" || s.find(name) != nil {
			continue
		}
		return errors.WithType(fmt.Errorf("unknown flag --%s; --help lists all flags", name), ErrUnknownFlag)
	}
	return nil
}

// parseAll parses the values of all settings and returns all invalid ones as a
// [ValidationError]. An empty value of a setting that is not required is valid if
// the default is empty or the type of the setting allows it.
func (s *Set) parseAll() (err error) {
	var invalid ValidationError
	for _, setting := range s.settings {
		ok := setting.parse(setting.value)
		if setting.value == "" {
			ok = !setting.required && (ok || setting.Default == "")
		}
		if ok {
			continue
		}
		value := setting.value
		if setting.Secret {
			value = "(secret)"
		}
		invalid = append(invalid, InvalidSetting{Flag: setting.Flag, EnvVar: setting.EnvVar, Value: value, Expected: setting.expected})
	}
	if len(invalid) > 0 {
		return invalid
	}
	return nil
}

// Print writes the variable and the value of each setting, one per line, in the
// form NAME=value. For a secret that is set, it writes "(set)".
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

// MarkdownTable returns a table of all settings in Markdown, which is part of
// docs/OPERATIONS.md.
func (s *Set) MarkdownTable() string {
	lines := []string{"| flag | variable | default | meaning | expected |", "|---|---|---|---|---|"}
	for _, setting := range s.Settings() {
		lines = append(lines, fmt.Sprintf("| `--%s` | `%s` | `%s` | %s | %s |", setting.Flag, setting.EnvVar, setting.Default, setting.Help, setting.expected))
	}
	return strings.Join(lines, "\n") + "\n"
}
