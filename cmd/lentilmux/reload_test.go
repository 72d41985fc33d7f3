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

// recordingTarget is a reloadTarget that writes the limits and decisions that
// it receives to out.
type recordingTarget struct{ out *strings.Builder }

func (r recordingTarget) SetLimits(_ context.Context, limits fleet.Limits) error {
	fmt.Fprintf(r.out, "  maximum configuration age %s, retry ratio %.2f\n", limits.MaxConfigAge, limits.RetryRatio)
	return nil
}

func (r recordingTarget) SetMemoryBudget(bytes int64) {
	fmt.Fprintf(r.out, "  %d KiB for requests in flight\n", bytes>>10)
}

func (r recordingTarget) LogDecision(d lentilmux.Decision) {
	fmt.Fprintf(r.out, "  %s %s %s (%s)\n", d.What, d.Subject, d.Chosen, d.Reason)
}

// TestReload changes the settings file and compares the limits and decisions
// that the target receives with the golden file. It guards against reloads that
// apply an invalid file, apply a file in part, or miss a change.
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
	current, err := platform.ReadSettings(path)
	if err != nil {
		t.Fatal(err)
	}
	r := &reloader{path: path, current: current, target: recordingTarget{&out}}
	r.fileChanged()
	step := func(name, text string) {
		fmt.Fprintf(&out, "== %s\n", name)
		if text != "" {
			write(text)
		}
		fmt.Fprintf(&out, "  changed=%t\n", r.fileChanged())
		r.apply(t.Context(), "test")
	}
	step("file unchanged", "")
	step("changed bound", strings.Replace(text, "5000", "2000", 1))
	step("invalid values, the previous settings stay", strings.Replace(strings.Replace(text, "5000", "-1", 1), "0.2", "-3", 1))
	step("invalid TOML", "node_name = ")
	step("a changed address requires a restart", strings.Replace(strings.Replace(text, "8227", "8228", 1), "5000", "3000", 1))
	step("the memory of the VM", text+"[limits]\nmemory_mb = 184\n")
	step("an unknown field is ignored", text+"new_field = 1\n")
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	step("missing file", "")
	goldie.New(t).Assert(t, "reload", []byte(strings.ReplaceAll(out.String(), path, "PATH")))
}
