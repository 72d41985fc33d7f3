package operator

import (
	"fmt"
	"strconv"
	"strings"

	"lentilmux.example/lentilmux"
)

// Export returns the statements that make the configuration of a snapshot, in
// an order in which they can be applied, from nothing or over an older one.
func Export(s lentilmux.Snapshot) (statements []string) {
	for _, u := range s.Upstreams {
		statements = append(statements, exportUpstream(u))
		if u.Draining {
			statements = append(statements, "drain upstream "+quote(u.Name))
		}
	}
	for _, p := range s.Pipelines {
		statements = append(statements, fmt.Sprintf("set pipeline %s model %s layers %d on %s", quote(p.Name), quote(p.Model), p.Layers, list(p.Upstreams)))
	}
	for _, u := range s.Upstreams {
		if u.Excluded {
			statements = append(statements, "exclude upstream "+quote(u.Name))
		}
	}
	for _, service := range s.Services {
		line := fmt.Sprintf("set service %s on %s", quote(service.Name), list(service.Upstreams))
		if len(service.Idempotent) > 0 {
			line += " idempotent " + list(service.Idempotent)
		}
		statements = append(statements, line)
	}
	for _, w := range s.Workspaces {
		line := fmt.Sprintf("set workspace %s share %s priority %d", quote(w.Name), strconv.FormatFloat(w.Share, 'f', -1, 64), w.Priority)
		if len(w.Uses) > 0 {
			line += " uses " + list(w.Uses)
		}
		if w.KeyHash != "" {
			line += " key_hash " + w.KeyHash
		}
		statements = append(statements, line)
	}
	return statements
}

func exportUpstream(u lentilmux.UpstreamSpec) string {
	line := fmt.Sprintf("set upstream %s kind %s addr %s", quote(u.Name), u.Kind, u.Addr)
	if u.Zone != "" {
		line += " zone " + quote(u.Zone)
	}
	if u.Accelerator != "" {
		line += " accelerator " + quote(u.Accelerator)
	}
	if u.Kind == lentilmux.KindEngine {
		line += fmt.Sprintf(" layers %d rate %d", u.MaxLayers, u.Rate)
	}
	return line + fmt.Sprintf(" slots %d", u.Slots)
}

// quote returns the name, in quotes if it is no plain word.
func quote(name string) string {
	if name == "" || strings.ContainsAny(name, " \t\n\",=<>!#") {
		return strconv.Quote(name)
	}
	return name
}

func list(names []string) string {
	quoted := make([]string, len(names))
	for i, name := range names {
		quoted[i] = quote(name)
	}
	return strings.Join(quoted, ", ")
}
