package operator_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/operator"
)

// initialSnapshot is the configuration to which the tests apply statements.
var initialSnapshot = lentilmux.Snapshot{
	Revision: 7,
	Upstreams: []lentilmux.UpstreamSpec{
		{Name: "worker-1", Revision: 1, Kind: lentilmux.KindEngine, Addr: netip.MustParseAddrPort("192.0.2.1:9000"), Zone: "kochi", MaxLayers: 16, LayerStepsPerSecond: 1000, Slots: 8},
	},
	Workspaces: []lentilmux.WorkspaceSpec{{Name: "counter", Revision: 5, Share: 0.5, Uses: []string{"desk-llm"}}},
}

// TestStatements guards against changes of the language: statements that are
// parsed or built differently than before, and syntax errors with another position
// or text. It parses and builds each line of testdata/statements.txt and compares
// the results with a golden file.
func TestStatements(t *testing.T) {
	data, err := os.ReadFile("testdata/statements.txt")
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	for _, line := range strings.Split(strings.TrimSpace(string(data)), "\n") {
		fmt.Fprintf(&out, "> %s\n%s\n", line, parseAndBuild(line))
	}
	goldie.New(t).Assert(t, "statements", []byte(out.String()))
}

// parseAndBuild returns the command or the parsed statement of a line as JSON, or
// the text of its error.
func parseAndBuild(line string) string {
	statement, err := operator.Parse(line)
	if err != nil {
		return err.Error()
	}
	if statement.Show != nil || statement.Why != "" || statement.Stop != "" || statement.Release != "" || statement.Export || statement.DrainVM {
		data, err := json.Marshal(statement)
		if err != nil {
			return err.Error()
		}
		return string(data)
	}
	command, err := operator.BuildCommand(line, statement, initialSnapshot)
	if err != nil {
		return err.Error()
	}
	data, err := json.Marshal(command)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// TestExportRoundTrip guards against exports that lose settings or cannot be
// parsed. It builds the exported statements, starting from an empty configuration,
// and expects an equal export of the result.
func TestExportRoundTrip(t *testing.T) {
	var built lentilmux.Snapshot
	for _, line := range operator.Export(initialSnapshot) {
		statement, err := operator.Parse(line)
		if err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		command, err := operator.BuildCommand(line, statement, lentilmux.Snapshot{})
		if err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		if command.Upstream != nil {
			built.Upstreams = append(built.Upstreams, *command.Upstream)
		}
		if command.Workspace != nil {
			built.Workspaces = append(built.Workspaces, *command.Workspace)
		}
	}
	want, got := strings.Join(operator.Export(initialSnapshot), "\n"), strings.Join(operator.Export(built), "\n")
	if got != want {
		t.Errorf("export of the rebuilt configuration: got\n%s\nwant\n%s", got, want)
	}
}

// FuzzParse guards against texts that make the parser panic, and against errors
// that are no [operator.SyntaxError] or have a negative column.
func FuzzParse(f *testing.F) {
	data, err := os.ReadFile("testdata/statements.txt")
	if err != nil {
		f.Fatal(err)
	}
	for _, line := range strings.Split(string(data), "\n") {
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, text string) {
		statement, err := operator.Parse(text)
		if err == nil {
			_, err = operator.BuildCommand(text, statement, initialSnapshot)
		}
		if err == nil {
			return
		}
		var syntaxErr *operator.SyntaxError
		if !errors.As(err, &syntaxErr) {
			t.Fatalf("statement %q: got error %v, want a *SyntaxError", text, err)
		}
		if syntaxErr.Column < 0 {
			t.Fatalf("statement %q: got column %d, want 0 or more", text, syntaxErr.Column)
		}
	})
}
