package scaletest

import (
	"encoding/json"
	"fmt"
)

// maxItemsPerChange is how many items go into one change: as many as one may name.
const maxItemsPerChange = 1000

type item map[string]any

// ConfigurationChanges is the configuration of a size, as changes in the order to be made.
func (s Size) ConfigurationChanges() [][]byte {
	var out [][]byte
	var parts []item
	flush := func() {
		if len(parts) > 0 {
			raw, _ := json.Marshal(map[string]any{"id": fmt.Sprintf("hollow-%d", len(out)), "changes": parts})
			out, parts = append(out, raw), nil
		}
	}
	put := func(p item) {
		if parts = append(parts, p); len(parts) == maxItemsPerChange {
			flush()
		}
	}
	for n := range s.Zones {
		put(item{"kind": "cell", "name": s.Zone(n), "put": item{"region": s.Region(n), "target": 8500}})
	}
	for n := range s.Services {
		put(item{"kind": "service", "name": s.Service(n), "put": item{"tier": n % 10, "capacity": 16, "warm_ms": 3000, "allowance": 10}})
	}
	for n := range s.Routes {
		put(s.route(n))
	}
	for n := range s.Tenants {
		put(s.tenant(n))
	}
	flush()
	return out
}

func (s Size) route(n int) item {
	return item{"kind": "route", "name": fmt.Sprintf("route-%d", n+1), "put": item{
		"prefix":  fmt.Sprintf("/r%d", n+1),
		"service": s.Service(n), "tier": n % 10, "repeatable": n%4 != 0, "limit_ms": 5000,
	}}
}

// tenant is the only form that configuration has today for what is a tenant's own.
func (s Size) tenant(n int) item {
	return item{"kind": "route", "name": fmt.Sprintf("tenant-%d", n+1), "put": item{
		"host":   fmt.Sprintf("t%06d.example", n+1),
		"prefix": "/", "service": s.Service(n), "tier": n % 10, "repeatable": true, "limit_ms": 5000,
	}}
}

// RouteChange is the nth change of one route, for the phase of changes.
func (s Size) RouteChange(run string, n int) []byte {
	raw, _ := json.Marshal(map[string]any{"id": fmt.Sprintf("hollow-%s-%d", run, n), "changes": []item{
		{"kind": "route", "name": fmt.Sprintf("route-%d", n%s.Routes+1), "set": item{"limit_ms": 4000 + n}},
	}})
	return raw
}

// ConfigurationBytes is about how long the register is once all is in it: each item's
// body, and its key and version around it.
func (s Size) ConfigurationBytes() int {
	around := func(p item) int {
		body, _ := json.Marshal(p["put"])
		return len(body) + len(fmt.Sprint(p["name"])) + len(`"":{"version":1000,"body":},`)
	}
	return s.Routes*around(s.route(s.Routes)) + s.Tenants*around(s.tenant(s.Tenants)) + 100*(s.Zones+s.Services)
}
