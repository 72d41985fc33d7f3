package fleet

import (
	"cmp"
	"slices"
	"strings"

	"lentilmux.example/lentilmux"
)

// install replaces the configuration and rebuilds the indexes. It returns the
// priorities that are out of range.
func (r *Rules) install(rules *lentilmux.Ruleset) (invalidPriorities []string) {
	r.Ruleset = *rules
	invalidPriorities = r.clampPriorities()
	r.indexPriorities()
	r.Loaded = true
	r.EngineService = ""
	r.routesByHost = make(map[string][]*lentilmux.RouteRule)
	for i := range r.Routes {
		route := &r.Routes[i]
		r.routesByHost[route.Host] = append(r.routesByHost[route.Host], route)
	}
	for _, routes := range r.routesByHost {
		slices.SortStableFunc(routes, func(a, b *lentilmux.RouteRule) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	r.workspaceByKey = make(map[string]*lentilmux.WorkspaceRule)
	for i := range r.Workspaces {
		for _, key := range r.Workspaces[i].Keys {
			r.workspaceByKey[key] = &r.Workspaces[i]
		}
	}
	r.serviceByName = make(map[string]*lentilmux.ServiceRule)
	for i := range r.Services {
		service := &r.Services[i]
		r.serviceByName[service.Name] = service
		if service.Engine != nil && service.Engine.Layers > 0 {
			r.EngineService = service.Name
		}
	}
	return invalidPriorities
}

// Route returns the route of the host with the longest matching path prefix, or
// nil if none matches.
func (r *Rules) Route(host, path string) *lentilmux.RouteRule {
	for _, route := range r.routesByHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// selectService returns the service that serves a request of a route. Services
// are selected by weight; the same hash always gives the same service.
func selectService(route *lentilmux.RouteRule, hash lentilmux.Fingerprint) string {
	total := 0
	for _, t := range route.Targets {
		total += max(t.Weight, 0)
	}
	if total == 0 {
		if len(route.Targets) == 0 {
			return ""
		}
		return route.Targets[0].Service
	}
	remaining := int(uint64(hash) % uint64(total))
	for _, t := range route.Targets {
		if remaining -= max(t.Weight, 0); remaining < 0 {
			return t.Service
		}
	}
	return route.Targets[len(route.Targets)-1].Service
}
