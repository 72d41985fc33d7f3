// Package settings reads the settings of the programs from flags and
// environment variables, flags first, and reports all mistakes at once.
//
// Every setting has a flag in kebab case, and a variable that is the flag in
// upper snake case behind the program's prefix. The table in
// docs/OPERATIONS.md is made from the same declarations.
//
// The package speaks to the command line and the environment.
//
// # Usage
//
//	set := settings.New("lentilmux", "LENTILMUX", "router of one entry VM", version)
//	name := set.String("name", "", "name of this entry VM", settings.Required())
//	addr := set.AddrPort("caller-addr", "127.0.0.1:8080", "where callers connect")
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

// ErrInvalidSettings is the sentinel behind every [ValidationError].
const ErrInvalidSettings = errors.ConstError("settings are wrong")

// InvalidSetting is one setting that cannot be used.
type InvalidSetting struct {
	Flag     string
	EnvVar   string
	Value    string
	Expected string
}

// ValidationError holds every mistake of the settings.
type ValidationError []InvalidSetting

// Error returns a line for each mistake.
func (m ValidationError) Error() string {
	lines := []string{ErrInvalidSettings.Error()}
	for _, mistake := range m {
		lines = append(lines, fmt.Sprintf("  --%s (or %s) is %q; expected %s", mistake.Flag, mistake.EnvVar, mistake.Value, mistake.Expected))
	}
	return strings.Join(lines, "\n")
}

// Unwrap makes errors.Is(err, ErrSettings) hold.
func (m ValidationError) Unwrap() error { return ErrInvalidSettings }

// Setting is one declared setting.
type Setting struct {
	Flag    string
	EnvVar  string
	Default string
	Help    string
	Secret  bool // not printed

	value    string
	required bool
	expected string
	parse    func(text string) (ok bool)
}

// Option changes a [Setting] while it is declared.
type Option func(*Setting)

// Required makes the empty value a mistake.
func Required() Option {
	return func(s *Setting) { s.required = true }
}

// Secret keeps the value from being printed.
func Secret() Option {
	return func(s *Setting) { s.Secret = true }
}

// Set is the settings of one program.
type Set struct {
	program  string
	prefix   string
	purpose  string
	version  string
	settings []*Setting
	trailing []string
}

// New returns an empty set for a program.
func New(program, prefix, purpose, version string) *Set {
	return &Set{program: program, prefix: prefix, purpose: purpose, version: version}
}

// declare adds a setting.
func (s *Set) declare(flag, value, help, expected string, parse func(string) bool, options []Option) {
	setting := &Setting{
		Flag: flag, Default: value, Help: help, expected: expected, parse: parse,
		EnvVar: s.prefix + "_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_")),
	}
	for _, option := range options {
		option(setting)
	}
	s.settings = append(s.settings, setting)
}

// String declares a text.
func (s *Set) String(flag, value, help string, options ...Option) *string {
	result := new(string)
	s.declare(flag, value, help, "a text", func(text string) bool {
		*result = text
		return true
	}, options)
	return result
}

// Choice declares one of several words.
func (s *Set) Choice(flag, value, help string, words []string, options ...Option) *string {
	result := new(string)
	s.declare(flag, value, help, "one of "+strings.Join(words, ", "), func(text string) bool {
		*result = text
		for _, word := range words {
			if text == word {
				return true
			}
		}
		return false
	}, options)
	return result
}

// Int declares a whole number from low to high.
func (s *Set) Int(flag string, value, low, high int, help string, options ...Option) *int {
	result := new(int)
	expected := fmt.Sprintf("a whole number from %d to %d", low, high)
	s.declare(flag, strconv.Itoa(value), help, expected, func(text string) bool {
		number, err := strconv.Atoi(text)
		*result = number
		return err == nil && number >= low && number <= high
	}, options)
	return result
}

// Float declares a number from low to high.
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

// Duration declares a time span from low to high.
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

// AddrPort declares an IP address and port.
func (s *Set) AddrPort(flag, value, help string, options ...Option) *netip.AddrPort {
	result := new(netip.AddrPort)
	s.declare(flag, value, help, "an IP address and port, such as 127.0.0.1:8080", func(text string) bool {
		addr, err := netip.ParseAddrPort(text)
		*result = addr
		return err == nil
	}, options)
	return result
}

// AddrPorts declares a list of IP addresses and ports.
func (s *Set) AddrPorts(flag, value, help string, options ...Option) *[]netip.AddrPort {
	result := new([]netip.AddrPort)
	s.declare(flag, value, help, "IP addresses and ports with commas between", func(text string) bool {
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

// Strings declares a list of texts.
func (s *Set) Strings(flag, value, help string, options ...Option) *[]string {
	result := new([]string)
	s.declare(flag, value, help, "texts with commas between", func(text string) bool {
		*result = nil
		for _, part := range strings.Split(text, ",") {
			*result = append(*result, strings.TrimSpace(part))
		}
		return true
	}, options)
	return result
}

// switchExpected is what a switch takes.
const switchExpected = "true or false"

// Bool declares a switch.
func (s *Set) Bool(flag, help string, options ...Option) *bool {
	result := new(bool)
	s.declare(flag, "false", help, switchExpected, func(text string) bool {
		value, err := strconv.ParseBool(text)
		*result = value
		return err == nil
	}, options)
	return result
}

// Args returns the words after the flags.
func (s *Set) Args() []string { return s.trailing }

// Settings returns the declared settings, by flag.
func (s *Set) Settings() (settings []Setting) {
	for _, setting := range s.settings {
		settings = append(settings, *setting)
	}
	sort.Slice(settings, func(i, j int) bool { return settings[i].Flag < settings[j].Flag })
	return settings
}
