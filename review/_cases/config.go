package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// route is a route of the configuration, as the operator writes it.
type route struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"path_prefix"`
	RouteType  string `json:"route_type"`
	TimeoutMs  int    `json:"timeout_ms"`
	GoalMs     int    `json:"goal_ms"`
	Priority   int    `json:"priority"`
	Service    string `json:"service"`
	Attempts   int    `json:"attempts"`
	Anonymous  bool   `json:"anonymous"`
	Sticky     bool   `json:"sticky"`
	Resumable  bool   `json:"resumable"`
}

type tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"api_keys"`
	Priority int      `json:"priority"`
}

type config struct {
	Version  int              `json:"version"`
	Routes   []route          `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]int   `json:"limits"`
	Tenants  []tenant         `json:"tenants"`
}

func newRoute(name, prefix, routeType string, attempts int) route {
	return route{Name: name, Host: clientHost, PathPrefix: prefix, RouteType: routeType, TimeoutMs: 4000, GoalMs: 300, Priority: 2, Service: "order-desk", Attempts: attempts}
}

// newConfig returns the configuration of a deployment with one plain service.
func newConfig() *config {
	return &config{
		Version: 1,
		Routes: []route{
			newRoute("order-confirm", "/order/", "non_idempotent", 1),
			newRoute("order-status", "/status/", "idempotent", 2),
		},
		Services: []map[string]any{{"name": "order-desk", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false}},
		Limits:   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		Tenants: []tenant{
			{Name: "stitching", APIKeys: []string{"key-stitching-1", "key-stitching-2"}, Priority: 1},
			{Name: "stationers", APIKeys: []string{"key-stationers-1"}, Priority: 1},
		},
	}
}

// put writes the next version and returns when the store has accepted it.
func (d *deployment) put(c *config, what string) (ackedAt time.Time) {
	data, _ := json.Marshal(c)
	d.store.put("keyed.op", "config", data)
	ackedAt = time.Now()
	d.record.add("operator: version %d is accepted, %d bytes, %s", c.Version, len(data), what)
	c.Version += 1 + c.Version%3
	return ackedAt
}

// takeKey removes a key from the tenant that holds it.
func (c *config) takeKey(key string) {
	for i := range c.Tenants {
		var kept []string
		for _, known := range c.Tenants[i].APIKeys {
			if known != key {
				kept = append(kept, known)
			}
		}
		c.Tenants[i].APIKeys = kept
	}
}

// giveKey adds a key to a tenant.
func (c *config) giveKey(tenantName, key string) {
	for i := range c.Tenants {
		if c.Tenants[i].Name == tenantName {
			c.Tenants[i].APIKeys = append(c.Tenants[i].APIKeys, key)
		}
	}
}

// addRoutes adds routes that nobody uses.
func (c *config) addRoutes(count int) {
	for range count {
		name := fmt.Sprintf("added-%05d", len(c.Routes))
		c.Routes = append(c.Routes, newRoute(name, "/"+name+"/", "idempotent", 2))
	}
}
