package settings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux/settings"
)

// newSet declares one setting of each kind.
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

func lookup(variables map[string]string) func(string) (string, bool) {
	return func(name string) (string, bool) {
		value, ok := variables[name]
		return value, ok
	}
}

func TestAllMistakesAtOnce(t *testing.T) {
	s := newSet()
	err := s.Read([]string{"--addr", "localhost:80", "--count=12", "--fast=perhaps"}, lookup(map[string]string{
		"DEMO_SHARE": "2", "DEMO_WAIT": "soon", "DEMO_COLOR": "blue", "DEMO_ADDRS": "127.0.0.1:1,nowhere",
	}))
	if !errors.Is(err, settings.ErrInvalidSettings) {
		t.Fatalf("got %v", err)
	}
	goldie.New(t).Assert(t, "mistakes", []byte(err.Error()))
}

func TestFlagsGoBeforeVariables(t *testing.T) {
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

func TestUnknownFlag(t *testing.T) {
	err := newSet().Read([]string{"--nam", "x"}, lookup(nil))
	if !errors.Is(err, settings.ErrUnknownFlag) {
		t.Errorf("got %v", err)
	}
}

// FuzzRead checks that no arguments make the settings panic.
func FuzzRead(f *testing.F) {
	f.Add("--name", "x", "--count=4")
	f.Add("--fast", "--", "--name")
	f.Add("-", "--=", "---")
	f.Fuzz(func(t *testing.T, a, b, c string) {
		for _, argument := range []string{a, b, c} {
			if strings.HasPrefix(argument, "-h") || strings.HasPrefix(argument, "--help") || strings.HasPrefix(argument, "--version") || !strings.HasPrefix(argument, "--") {
				return // these end the program or are no flags
			}
		}
		_ = newSet().Read([]string{a, b, c}, lookup(nil)) // only a panic fails
	})
}
