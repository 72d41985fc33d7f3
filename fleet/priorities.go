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

// indexPriorities records which priorities the requests to each service can have, and
// whether they are ranked: where all routes to a service have the same priority, its
// requests are served in order of arrival.
func (r *Rules) indexPriorities() {
	r.prioritiesByService, r.rankedServices = make(map[string][]int), make(map[string]bool)
	routePriority := make(map[string]int)
	for i := range r.Routes {
		route := &r.Routes[i]
		for _, target := range route.Targets {
			known := append(r.prioritiesByService[target.Service], r.routePriorities(route)...)
			slices.Sort(known)
			r.prioritiesByService[target.Service] = slices.Compact(known)
			first, seen := routePriority[target.Service]
			r.rankedServices[target.Service] = r.rankedServices[target.Service] || seen && first != route.Priority
			routePriority[target.Service] = route.Priority
		}
	}
}

// routePriorities returns the priorities that the requests of a route can have.
func (r *Rules) routePriorities(route *lentilmux.RouteRule) (priorities []int) {
	if route.Anonymous || len(r.Workspaces) == 0 {
		priorities = append(priorities, requestPriority(route, nil))
	}
	for i := range r.Workspaces {
		priorities = append(priorities, requestPriority(route, &r.Workspaces[i]))
	}
	return priorities
}

// requestPriority returns the priority of the requests of a workspace on a route. That
// of the workspace takes precedence; among requests of equal priority, and without a
// workspace, that of the route decides.
func requestPriority(route *lentilmux.RouteRule, workspace *lentilmux.WorkspaceRule) (priority int) {
	first := route.Priority
	if workspace != nil && workspace.HasPriority {
		first = workspace.Priority
	}
	return first*lentilmux.PriorityLevels + route.Priority
}

// priority returns the priority of a request.
func (r *Rules) priority(route *lentilmux.RouteRule, inbound *lentilmux.InboundRequest) (priority int) {
	if inbound.Forwarded.IsForwarded() {
		return requestPriority(route, r.workspaceNamed(inbound.Forwarded.Workspace))
	}
	return requestPriority(route, r.Workspace(inbound.Key))
}

// upstreamPriority returns the priority that upstreams are told: the rank among those
// that requests to the service can have, in the range that upstreams accept.
func (r *Rules) upstreamPriority(service string, priority int) (told int) {
	inUse := r.prioritiesByService[service]
	rank, _ := slices.BinarySearch(inUse, priority)
	if len(inUse) > lentilmux.PriorityLevels {
		rank = rank * lentilmux.PriorityLevels / len(inUse)
	}
	return lentilmux.ClampPriority(rank)
}

// workspaceNamed returns the workspace with a name, or nil if there is none.
func (r *Rules) workspaceNamed(name string) *lentilmux.WorkspaceRule {
	if i := slices.IndexFunc(r.Workspaces, func(w lentilmux.WorkspaceRule) bool { return w.Name == name }); i >= 0 {
		return &r.Workspaces[i]
	}
	return nil
}

// ranksRequests reports whether routes to a service have different priorities. If not,
// priorities change no decision and upstreams are not told them.
func (r *Rules) ranksRequests(service string) bool { return r.rankedServices[service] }

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
