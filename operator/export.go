package operator

import (
	"fmt"
	"strconv"
	"strings"

	"lentilmux.example/lentilmux"
)

// Export returns the statements that produce the configuration of a snapshot, in
// an order in which they can be applied to an empty or to an older configuration.
func Export(snapshot lentilmux.Snapshot) (statements []string) {
	for _, u := range snapshot.Upstreams {
		statements = append(statements, exportUpstream(u))
		if u.Draining {
			statements = append(statements, "drain upstream "+quote(u.Name))
		}
	}
	for _, p := range snapshot.Pipelines {
		statements = append(statements, fmt.Sprintf("set pipeline %s model %s layers %d on %s", quote(p.Name), quote(p.Model), p.Layers, quoteList(p.Upstreams)))
	}
	for _, u := range snapshot.Upstreams {
		if u.Excluded {
			statements = append(statements, "exclude upstream "+quote(u.Name))
		}
	}
	for _, service := range snapshot.Services {
		line := fmt.Sprintf("set service %s on %s", quote(service.Name), quoteList(service.Upstreams))
		if len(service.Idempotent) > 0 {
			line += " idempotent " + quoteList(service.Idempotent)
		}
		statements = append(statements, line)
	}
	for _, w := range snapshot.Workspaces {
		line := fmt.Sprintf("set workspace %s share %s priority %d", quote(w.Name), strconv.FormatFloat(w.Share, 'f', -1, 64), w.Priority)
		if len(w.Uses) > 0 {
			line += " uses " + quoteList(w.Uses)
		}
		if w.KeyHash != "" {
			line += " key_hash " + w.KeyHash
		}
		statements = append(statements, line)
	}
	return statements
}

// exportUpstream returns the statement that sets u. The settings layers and rate
// apply only to engines.
func exportUpstream(u lentilmux.UpstreamSpec) string {
	line := fmt.Sprintf("set upstream %s kind %s addr %s", quote(u.Name), u.Kind, u.Addr)
	if u.Zone != "" {
		line += " zone " + quote(u.Zone)
	}
	if u.Accelerator != "" {
		line += " accelerator " + quote(u.Accelerator)
	}
	if u.Kind == lentilmux.KindEngine {
		line += fmt.Sprintf(" layers %d rate %d", u.MaxLayers, u.LayerStepsPerSecond)
	}
	return line + fmt.Sprintf(" slots %d", u.Slots)
}

// quote returns the name, in quotes if it is not a single word of the language.
func quote(name string) string {
	if name == "" || strings.ContainsAny(name, " \t\n\",=<>!#") {
		return strconv.Quote(name)
	}
	return name
}

// quoteList returns the names as a list of values.
func quoteList(names []string) string {
	quoted := make([]string, len(names))
	for i, name := range names {
		quoted[i] = quote(name)
	}
	return strings.Join(quoted, ", ")
}
