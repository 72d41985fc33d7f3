package fleet

import (
	"fmt"
	"slices"
	"strings"

	"lentilmux.example/lentilmux"
)

// clampPriorities replaces the priorities of a configuration that are out of range by
// the nearest valid ones, and returns where they were. It leaves the lists that the
// configuration came with unchanged.
func (r *Rules) clampPriorities() (invalid []string) {
	r.Routes, r.Workspaces = slices.Clone(r.Routes), slices.Clone(r.Workspaces)
	for i := range r.Routes {
		route := &r.Routes[i]
		if clamped := lentilmux.ClampPriority(route.Priority); clamped != route.Priority {
			invalid = append(invalid, fmt.Sprintf("route %s: %d", route.Name, route.Priority))
			route.Priority = clamped
		}
	}
	for i := range r.Workspaces {
		workspace := &r.Workspaces[i]
		if clamped := lentilmux.ClampPriority(workspace.Priority); workspace.HasPriority && clamped != workspace.Priority {
			invalid = append(invalid, fmt.Sprintf("workspace %s: %d", workspace.Name, workspace.Priority))
			workspace.Priority = clamped
		}
	}
	return invalid
}

// indexPriorities records which priorities the requests to each service can have.
func (r *Rules) indexPriorities() {
	r.prioritiesByService = make(map[string][]int)
	for i := range r.Routes {
		route := &r.Routes[i]
		for _, target := range route.Targets {
			known := append(r.prioritiesByService[target.Service], r.routePriorities(route)...)
			slices.Sort(known)
			r.prioritiesByService[target.Service] = slices.Compact(known)
		}
	}
}

// routePriorities returns the priorities that the requests of a route can have. The
// priority of a workspace replaces that of the route.
func (r *Rules) routePriorities(route *lentilmux.RouteRule) (priorities []int) {
	if route.Anonymous || len(r.Workspaces) == 0 {
		priorities = append(priorities, route.Priority)
	}
	for i := range r.Workspaces {
		if workspace := &r.Workspaces[i]; workspace.HasPriority {
			priorities = append(priorities, workspace.Priority)
		} else {
			priorities = append(priorities, route.Priority)
		}
	}
	return priorities
}

// priority returns the priority of a request: that of its workspace if it has one, else
// that of its route.
func (r *Rules) priority(route *lentilmux.RouteRule, inbound *lentilmux.InboundRequest) (priority int) {
	workspace := r.Workspace(inbound.Key)
	if inbound.Forwarded.IsForwarded() {
		workspace = r.workspaceNamed(inbound.Forwarded.Workspace)
	}
	if workspace != nil && workspace.HasPriority {
		return workspace.Priority
	}
	return route.Priority
}

// workspaceNamed returns the workspace with a name, or nil if there is none.
func (r *Rules) workspaceNamed(name string) *lentilmux.WorkspaceRule {
	if i := slices.IndexFunc(r.Workspaces, func(w lentilmux.WorkspaceRule) bool { return w.Name == name }); i >= 0 {
		return &r.Workspaces[i]
	}
	return nil
}

// ranksRequests reports whether the requests to a service can have different
// priorities. If not, priorities change no decision and upstreams are not told them.
func (r *Rules) ranksRequests(service string) bool { return len(r.prioritiesByService[service]) > 1 }

// maxLoggedPriorities bounds the priorities out of range that one log line shows.
const maxLoggedPriorities = 8

// recordInvalidPriorities logs the priorities of a configuration that were out of range.
func (t *Tables) recordInvalidPriorities(invalid []string) {
	if len(invalid) == 0 {
		return
	}
	t.RecordDecision(lentilmux.Decision{
		What: "priority_clamped", Subject: fmt.Sprint(t.Rules.Version),
		Chosen: fmt.Sprintf("%d to %d", lentilmux.MostUrgentPriority, lentilmux.LeastUrgentPriority),
		Reason: fmt.Sprintf("%d out of range: %s", len(invalid), strings.Join(invalid[:min(len(invalid), maxLoggedPriorities)], ", ")),
	})
}
