package fleet_test

import (
	"strings"

	"lentilmux.example/lentilmux"
)

// setPriorities sets the priorities of routes and workspaces from the fields of a rules
// line, such as priorities=llm:2,workspace-k1:0. The routes "bulk" and "rest" also get
// requests for the model, if they are listed.
func setPriorities(rules *lentilmux.Ruleset, fields map[string]string) {
	for _, entry := range strings.FieldsFunc(fields["priorities"], func(r rune) bool { return r == ',' }) {
		name, priority, _ := strings.Cut(entry, ":")
		if name == "bulk" || name == "rest" {
			bulk := rules.Routes[0]
			bulk.Name, bulk.Prefix = name, "/"+name+"/"
			rules.Routes = append(rules.Routes, bulk)
		}
		for i := range rules.Routes {
			if rules.Routes[i].Name == name {
				rules.Routes[i].Priority = parseInt(priority)
			}
		}
		for i := range rules.Workspaces {
			if workspace := &rules.Workspaces[i]; workspace.Name == name {
				workspace.Priority, workspace.HasPriority = parseInt(priority), true
			}
		}
	}
}
