// Package settings declares the settings of a program and reads them from flags
// and environment variables. A flag overrides its variable, and all invalid
// settings are reported together.
//
// Every setting has a flag in kebab case. Its environment variable is the
// program's prefix followed by the flag in upper snake case: the flag log-level
// of lentilmux has the variable LENTILMUX_LOG_LEVEL. The table of settings in
// docs/OPERATIONS.md is generated from the same declarations.
//
// Reads the command line and the environment.
//
// # Usage
//
//	set := settings.New("lentilmux", "LENTILMUX", "Router of one entry VM.", version)
//	name := set.String("name", "", "name of this entry VM", settings.Required())
//	addr := set.AddrPort("caller-addr", "127.0.0.1:8080", "listen address for callers")
//	if err := set.Read(os.Args[1:], os.LookupEnv); err != nil {
//		...
//	}
package settings

import (
	"fmt"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// ErrInvalidSettings is the error that every [ValidationError] wraps.
const ErrInvalidSettings = errors.ConstError("invalid settings")

// InvalidSetting describes one setting with an invalid value.
type InvalidSetting struct {
	Flag     string // without the leading --
	EnvVar   string
	Value    string // as given; "(secret)" for a secret
	Expected string // description of valid values
}

// ValidationError holds all invalid settings.
type ValidationError []InvalidSetting

// Error returns a heading and one line for each invalid setting.
func (e ValidationError) Error() string {
	lines := []string{ErrInvalidSettings.Error()}
	for _, setting := range e {
		lines = append(lines, fmt.Sprintf("  --%s (or %s) is %q; expected %s", setting.Flag, setting.EnvVar, setting.Value, setting.Expected))
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns [ErrInvalidSettings].
func (e ValidationError) Unwrap() error { return ErrInvalidSettings }

// Setting is one declared setting.
type Setting struct {
	Flag    string // without the leading --
	EnvVar  string
	Default string
	Help    string
	Secret  bool // the value is never printed

	value    string // text from the flag, the variable or the default
	required bool
	expected string                      // description of valid values
	parse    func(text string) (ok bool) // stores the parsed value; false if it is invalid
}

// Option sets an attribute of a [Setting] when it is declared.
type Option func(*Setting)

// Required makes an empty value invalid.
func Required() Option {
	return func(s *Setting) { s.required = true }
}

// Secret prevents the value from being printed.
func Secret() Option {
	return func(s *Setting) { s.Secret = true }
}

// Set holds the settings of one program. The methods that declare a setting
// return a pointer to its value, which is valid after [Set.Read].
type Set struct {
	program     string
	prefix      string // of the environment variables
	description string
	version     string
	settings    []*Setting // in the order of declaration
	args        []string   // arguments after the flags
}

// New returns an empty set for a program. prefix begins the names of its
// environment variables; description and version are printed by --help and
// --version.
func New(program, prefix, description, version string) *Set {
	return &Set{program: program, prefix: prefix, description: description, version: version}
}

// declare adds a setting. expected describes valid values, and parse stores a
// value and reports whether it is valid.
func (s *Set) declare(flag, defaultValue, help, expected string, parse func(string) bool, options []Option) {
	setting := &Setting{
		Flag: flag, Default: defaultValue, Help: help, expected: expected, parse: parse,
		EnvVar: s.prefix + "_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_")),
	}
	for _, option := range options {
		option(setting)
	}
	s.settings = append(s.settings, setting)
}

// String declares a string.
func (s *Set) String(flag, value, help string, options ...Option) *string {
	result := new(string)
	s.declare(flag, value, help, "a string", func(text string) bool {
		*result = text
		return true
	}, options)
	return result
}

// Choice declares a string that is one of the choices.
func (s *Set) Choice(flag, value, help string, choices []string, options ...Option) *string {
	result := new(string)
	s.declare(flag, value, help, "one of "+strings.Join(choices, ", "), func(text string) bool {
		*result = text
		for _, choice := range choices {
			if text == choice {
				return true
			}
		}
		return false
	}, options)
	return result
}

// Int declares an integer from low to high, both included.
func (s *Set) Int(flag string, value, low, high int, help string, options ...Option) *int {
	result := new(int)
	expected := fmt.Sprintf("an integer from %d to %d", low, high)
	s.declare(flag, strconv.Itoa(value), help, expected, func(text string) bool {
		number, err := strconv.Atoi(text)
		*result = number
		return err == nil && number >= low && number <= high
	}, options)
	return result
}

// Float declares a number from low to high, both included.
func (s *Set) Float(flag string, value, low, high float64, help string, options ...Option) *float64 {
	result := new(float64)
	expected := fmt.Sprintf("a number from %g to %g", low, high)
	s.declare(flag, strconv.FormatFloat(value, 'g', -1, 64), help, expected, func(text string) bool {
		number, err := strconv.ParseFloat(text, 64)
		*result = number
		return err == nil && number >= low && number <= high
	}, options)
	return result
}

// Duration declares a duration from low to high, both included, in the format
// of [time.ParseDuration].
func (s *Set) Duration(flag string, value, low, high time.Duration, help string, options ...Option) *time.Duration {
	result := new(time.Duration)
	expected := fmt.Sprintf("a duration from %s to %s", low, high)
	s.declare(flag, value.String(), help, expected, func(text string) bool {
		duration, err := time.ParseDuration(text)
		*result = duration
		return err == nil && duration >= low && duration <= high
	}, options)
	return result
}

// AddrPort declares an IP address with a port.
func (s *Set) AddrPort(flag, value, help string, options ...Option) *netip.AddrPort {
	result := new(netip.AddrPort)
	s.declare(flag, value, help, "an IP address and port, such as 127.0.0.1:8080", func(text string) bool {
		addr, err := netip.ParseAddrPort(text)
		*result = addr
		return err == nil
	}, options)
	return result
}

// AddrPorts declares a comma-separated list of IP addresses with ports.
func (s *Set) AddrPorts(flag, value, help string, options ...Option) *[]netip.AddrPort {
	result := new([]netip.AddrPort)
	s.declare(flag, value, help, "a comma-separated list of IP addresses and ports", func(text string) bool {
		*result = nil
		for _, part := range strings.Split(text, ",") {
			addr, err := netip.ParseAddrPort(strings.TrimSpace(part))
			if err != nil {
				return false
			}
			*result = append(*result, addr)
		}
		return true
	}, options)
	return result
}

// Strings declares a comma-separated list of strings. Spaces around a string
// are removed. An empty value gives a list of one empty string.
func (s *Set) Strings(flag, value, help string, options ...Option) *[]string {
	result := new([]string)
	s.declare(flag, value, help, "a comma-separated list of strings", func(text string) bool {
		*result = nil
		for _, part := range strings.Split(text, ",") {
			*result = append(*result, strings.TrimSpace(part))
		}
		return true
	}, options)
	return result
}

// Ints declares a comma-separated list of integers from low to high, both included.
func (s *Set) Ints(flag, value string, low, high int, help string, options ...Option) *[]int {
	result := new([]int)
	expected := fmt.Sprintf("a comma-separated list of integers from %d to %d", low, high)
	s.declare(flag, value, help, expected, func(text string) bool {
		*result = nil
		for _, part := range strings.Split(text, ",") {
			number, err := strconv.Atoi(strings.TrimSpace(part))
			if err != nil || number < low || number > high {
				return false
			}
			*result = append(*result, number)
		}
		return true
	}, options)
	return result
}

// expectedBool describes the valid values of a boolean setting.
// [Setting.isBool] recognizes boolean settings by it.
const expectedBool = "true or false"

// Bool declares a boolean setting that is false by default. Its flag needs no
// value.
func (s *Set) Bool(flag, help string, options ...Option) *bool {
	result := new(bool)
	s.declare(flag, "false", help, expectedBool, func(text string) bool {
		value, err := strconv.ParseBool(text)
		*result = value
		return err == nil
	}, options)
	return result
}

// Args returns the arguments after the flags.
func (s *Set) Args() []string { return s.args }

// RejectArgs returns an error that names the first argument after the flags. It
// is for programs that have flags only, where such an argument is a mistake.
func (s *Set) RejectArgs() (err error) {
	if len(s.args) == 0 {
		return nil
	}
	return errors.Errorf("unknown argument %q; expected flags only, see --help", s.args[0])
}

// Settings returns the declared settings, sorted by flag.
func (s *Set) Settings() (settings []Setting) {
	for _, setting := range s.settings {
		settings = append(settings, *setting)
	}
	sort.Slice(settings, func(i, j int) bool { return settings[i].Flag < settings[j].Flag })
	return settings
}
