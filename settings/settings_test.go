package settings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux/settings"
)

// newSet declares settings of all types but a list of strings.
func newSet() *settings.Set {
	s := settings.New("demo", "DEMO", "A program.", "1")
	s.String("name", "", "a name", settings.Required())
	s.AddrPort("addr", "127.0.0.1:1", "an address")
	s.AddrPorts("addrs", "127.0.0.1:1", "addresses")
	s.Int("count", 3, 1, 9, "a count")
	s.Float("share", 0.5, 0, 1, "a share")
	s.Duration("wait", time.Second, 0, time.Minute, "a wait")
	s.Choice("color", "red", "a color", []string{"red", "green"})
	s.String("key", "", "a key", settings.Secret())
	s.Bool("fast", "a switch")
	return s
}

// lookup returns a function that reads from variables instead of the
// environment.
func lookup(variables map[string]string) func(string) (string, bool) {
	return func(name string) (string, bool) {
		value, ok := variables[name]
		return value, ok
	}
}

// TestReadReportsAllInvalidSettings guards against a Read that stops at the
// first invalid value, so that users correct one setting per start.
func TestReadReportsAllInvalidSettings(t *testing.T) {
	s := newSet()
	err := s.Read([]string{"--addr", "localhost:80", "--count=12", "--fast=perhaps"}, lookup(map[string]string{
		"DEMO_SHARE": "2", "DEMO_WAIT": "soon", "DEMO_COLOR": "blue", "DEMO_ADDRS": "127.0.0.1:1,nowhere",
	}))
	if !errors.Is(err, settings.ErrInvalidSettings) {
		t.Fatalf("got error %v, expected ErrInvalidSettings", err)
	}
	goldie.New(t).Assert(t, "mistakes", []byte(err.Error()))
}

// TestFlagsOverrideVariables gives one setting by flag and by variable and
// expects the flag's value. It also checks that boolean flags need no value,
// that the arguments after the flags are kept, flags among them included, and
// that secrets are not printed.
func TestFlagsOverrideVariables(t *testing.T) {
	s := newSet()
	err := s.Read([]string{"--name", "flag", "--fast", "show", "--all", "upstreams"}, lookup(map[string]string{"DEMO_NAME": "variable", "DEMO_KEY": "secret"}))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := s.Print(&out); err != nil {
		t.Fatal(err)
	}
	out.WriteString("trailing " + strings.Join(s.Args(), " ") + "\n\n" + s.MarkdownTable())
	goldie.New(t).Assert(t, "settings", []byte(out.String()))
}

// TestUnknownFlag guards against a misspelled flag that is silently ignored.
func TestUnknownFlag(t *testing.T) {
	err := newSet().Read([]string{"--nam", "x"}, lookup(nil))
	if !errors.Is(err, settings.ErrUnknownFlag) {
		t.Errorf("got error %v, expected ErrUnknownFlag", err)
	}
}

// FuzzRead checks that Read does not panic, whatever the arguments are.
func FuzzRead(f *testing.F) {
	f.Add("--name", "x", "--count=4")
	f.Add("--fast", "--", "--name")
	f.Add("-", "--=", "---")
	f.Fuzz(func(t *testing.T, a, b, c string) {
		for _, argument := range []string{a, b, c} {
			if strings.HasPrefix(argument, "-h") || strings.HasPrefix(argument, "--help") || strings.HasPrefix(argument, "--version") || !strings.HasPrefix(argument, "--") {
				return // not a flag, or one that ends the program
			}
		}
		_ = newSet().Read([]string{a, b, c}, lookup(nil)) // errors are expected; only a panic fails the test
	})
}

// TestRejectArgs guards against a word that is taken for nothing: a program that
// has flags only would otherwise start its work on a misspelled command.
func TestRejectArgs(t *testing.T) {
	set := newSet()
	if err := set.Read([]string{"--name", "x", "nosuch"}, lookup(nil)); err != nil {
		t.Fatal(err)
	}
	if err := set.RejectArgs(); err == nil || !strings.Contains(err.Error(), `"nosuch"`) {
		t.Errorf("got error %v, expected one that names the word", err)
	}
	set = newSet()
	if err := set.Read([]string{"--name", "x"}, lookup(nil)); err != nil {
		t.Fatal(err)
	}
	if err := set.RejectArgs(); err != nil {
		t.Errorf("flags alone: got error %v", err)
	}
}

// TestEmptyValuesOfTypedSettings guards against an empty variable that counts as 0:
// a queue without places, say. Empty is valid only where the default is empty.
func TestEmptyValuesOfTypedSettings(t *testing.T) {
	s := newSet()
	err := s.Read([]string{"--name", "n"}, lookup(map[string]string{
		"DEMO_ADDR": "", "DEMO_COUNT": "", "DEMO_SHARE": "", "DEMO_WAIT": "", "DEMO_COLOR": "", "DEMO_KEY": "",
	}))
	var invalid settings.ValidationError
	if !errors.As(err, &invalid) || len(invalid) != 5 {
		t.Errorf("got %v, want the five settings whose default is not empty", err)
	}
}

// TestInvalidNumberInList guards against a list whose invalid number is noticed late
// and reported without the flag that holds it.
func TestInvalidNumberInList(t *testing.T) {
	for _, text := range []string{"8,x", "8,,9", "0", "8,10000001", "8,9.5"} {
		s := settings.New("demo", "DEMO", "A program.", "1")
		s.Ints("slots", "8", 1, 100, "slots")
		err := s.Read([]string{"--slots", text}, lookup(nil))
		var invalid settings.ValidationError
		if !errors.As(err, &invalid) || len(invalid) != 1 || invalid[0].Flag != "slots" || invalid[0].Value != text {
			t.Errorf("%q: got %v, want an error that names the flag and the value", text, err)
		}
	}
	s := settings.New("demo", "DEMO", "A program.", "1")
	slots := s.Ints("slots", "8", 1, 100, "slots")
	if err := s.Read([]string{"--slots", "1, 100"}, lookup(nil)); err != nil || len(*slots) != 2 || (*slots)[1] != 100 {
		t.Errorf("got %v, %v; want 1 and 100", *slots, err)
	}
}
