package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/fleet"
	"lentilmux.example/lentilmux/platform"
)

// limitsSeen writes down the limits that it is given.
type limitsSeen struct{ out *strings.Builder }

func (l limitsSeen) SetLimits(_ context.Context, limits fleet.Limits) error {
	fmt.Fprintf(l.out, "  keys are honoured for %s, retries %.2f\n", limits.MaxConfigAge, limits.RetryRatio)
	return nil
}

func (l limitsSeen) LogDecision(d lentilmux.Decision) {
	fmt.Fprintf(l.out, "  %s %s %s (%s)\n", d.What, d.Subject, d.Chosen, d.Reason)
}

// TestReload compares what becomes of changed settings with the golden file.
func TestReload(t *testing.T) {
	const text = `node_name = "entry-1"
ip = "10.0.0.1"
zone = "kochi"
internal_ports = [7340, 7355]
[listen]
frontend = "10.0.0.1:8227"
ready = "10.0.0.1:8220"
[bounds]
revoke_ms = 5000
retry_ratio = 0.2
retry_slack = 100
retry_window_s = 10
[platform]
address = "10.0.0.9:8223"
`
	var out strings.Builder
	path := filepath.Join(t.TempDir(), "boot.toml")
	write := func(text string) {
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	write(text)
	inForce, err := platform.ReadSettings(path)
	if err != nil {
		t.Fatal(err)
	}
	r := &reload{path: path, inForce: inForce, gateway: limitsSeen{&out}}
	r.changed()
	step := func(what, text string) {
		fmt.Fprintf(&out, "== %s\n", what)
		if text != "" {
			write(text)
		}
		fmt.Fprintf(&out, "  changed=%t\n", r.changed())
		r.read(t.Context(), "test")
	}
	step("nothing changed", "")
	step("another bound", strings.Replace(text, "5000", "2000", 1))
	step("bad values, the last good ones stay", strings.Replace(strings.Replace(text, "5000", "-1", 1), "0.2", "-3", 1))
	step("no TOML", "node_name = ")
	step("another address needs a start", strings.Replace(strings.Replace(text, "8227", "8228", 1), "5000", "3000", 1))
	step("an unknown field is passed over", text+"new_field = 1\n")
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	step("no file", "")
	goldie.New(t).Assert(t, "reload", []byte(strings.ReplaceAll(out.String(), path, "PATH")))
}
