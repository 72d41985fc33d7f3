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

// configuration is what statements of the golden file start from.
var configuration = lentilmux.Snapshot{
	Revision: 7,
	Upstreams: []lentilmux.UpstreamSpec{
		{Name: "worker-1", Revision: 1, Kind: lentilmux.KindEngine, Addr: netip.MustParseAddrPort("192.0.2.1:9000"), Zone: "kochi", MaxLayers: 16, Rate: 1000, Slots: 8},
	},
	Workspaces: []lentilmux.WorkspaceSpec{{Name: "counter", Revision: 5, Share: 0.5, Uses: []string{"desk-llm"}}},
}

// TestStatements parses and builds each line of testdata/statements.txt and
// compares the commands or mistakes with the golden file.
func TestStatements(t *testing.T) {
	data, err := os.ReadFile("testdata/statements.txt")
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	for _, line := range strings.Split(strings.TrimSpace(string(data)), "\n") {
		fmt.Fprintf(&out, "> %s\n%s\n", line, describe(line))
	}
	goldie.New(t).Assert(t, "statements", []byte(out.String()))
}

// describe returns what a statement means.
func describe(line string) string {
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
	command, err := operator.BuildCommand(line, statement, configuration)
	if err != nil {
		return err.Error()
	}
	data, err := json.Marshal(command)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// TestExportBuildsTheSame applies an export's statements to nothing and expects
// the same configuration.
func TestExportBuildsTheSame(t *testing.T) {
	var built lentilmux.Snapshot
	for _, line := range operator.Export(configuration) {
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
	want, got := strings.Join(operator.Export(configuration), "\n"), strings.Join(operator.Export(built), "\n")
	if got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

// FuzzParse checks that no text makes the parser panic and that every mistake
// is a syntax error with a place inside the text.
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
			_, err = operator.BuildCommand(text, statement, configuration)
		}
		if err == nil {
			return
		}
		var mistake *operator.SyntaxError
		if !errors.As(err, &mistake) {
			t.Fatalf("%q: %v is no syntax error", text, err)
		}
		if mistake.Column < 0 {
			t.Fatalf("%q: column %d", text, mistake.Column)
		}
	})
}
