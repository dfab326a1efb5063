// Package blueprint holds the deployments that can be played, by the simulator
// and by real processes alike.
package blueprint

import (
	"encoding/json"
	"fmt"

	"dunlinwell/internal/base/ids"
)

// Plan is the size and kind of a fleet.
type Plan struct {
	Name          string
	Regions       int
	Zones         int
	Proxies       int
	LatencyMillis int // between regions, in milliseconds
	Rate          float64
	// Target is the comfortable level of every zone; zero for the default.
	Target float64
	// Maximum is the default of every zone; zero for 1.1 of its target.
	Maximum float64
	// Allowance is each service's small allowance of retries; zero for the
	// default.
	Allowance int
	Pools     []Pool
	Routes    []Route
	// Far, if set, is the distance between two zones as configuration has it.
	Latency func(a, b ids.Name) int
}

// Pool is a service with its stand-in targets.
type Pool struct {
	Service  ids.Name
	Targets  int
	Capacity int
	Tier     int
}

// Route is a route and its share of the load.
type Route struct {
	Name       ids.Name
	Prefix     string
	Service    ids.Name
	Tier       int
	Repeatable bool
	Share      float64
}

// Plans are the deployments that can be played.
var Plans = map[string]Plan{
	"small": {
		Name: "small", Regions: 3, Zones: 3, Proxies: 3, Rate: 40,
		Pools:  []Pool{{"catalog", 4, 16, 3}, {"ledger", 3, 16, 8}},
		Routes: []Route{{"stock", "/stock", "catalog", 3, true, 0.7}, {"orders", "/orders", "ledger", 8, false, 0.3}},
	},
	"cooperative": {
		Name: "cooperative", Regions: 3, Zones: 6, Proxies: 8, LatencyMillis: 12, Rate: 150,
		Pools: []Pool{{"catalog", 20, 16, 3}, {"ledger", 12, 16, 8}},
		Routes: []Route{
			{"stock", "/stock", "catalog", 3, true, 0.6},
			{"browse", "/browse", "catalog", 1, true, 0.2},
			{"orders", "/orders", "ledger", 8, false, 0.15},
			{"credit", "/credit", "ledger", 9, false, 0.05},
		},
	},
	"library": {
		Name: "library", Regions: 3, Zones: 6, Proxies: 11, LatencyMillis: 35, Rate: 480,
		Pools: []Pool{{"reader", 30, 16, 3}, {"loan", 12, 16, 8}},
		Routes: []Route{
			{"pages", "/pages", "reader", 2, true, 0.85},
			{"holds", "/holds", "loan", 7, false, 0.1},
			{"loans", "/loans", "loan", 8, false, 0.05},
		},
	},
}

// Zone names the nth zone; zones take turns among the regions.
func (p Plan) Zone(n int) ids.Name {
	n %= p.Zones
	return ids.Name(fmt.Sprintf("cell-%c%d", 'a'+n%p.Regions, n/p.Regions+1))
}

// Region names the region of a zone.
func (p Plan) Region(c ids.Name) string { return "region-" + string(c[len("cell-"):len("cell-")+1]) }

// InitialChange is the configuration of the plan as one whole change.
func (p Plan) InitialChange() []byte {
	var parts []any
	put := func(kind string, name any, body map[string]any) {
		parts = append(parts, map[string]any{"kind": kind, "name": name, "put": body})
	}
	for i := range p.Zones {
		a := p.Zone(i)
		far := map[ids.Name]int{}
		for k := range p.Zones {
			b := p.Zone(k)
			if a != b {
				far[b] = int(p.Distance(a, b))
			}
		}
		body := map[string]any{"region": p.Region(a), "target": p.TargetLevel(), "distances": far}
		if p.Maximum > 0 {
			body["maximum"] = p.Maximum
		}
		put("cell", a, body)
	}
	for _, s := range p.Pools {
		put("service", s.Service, map[string]any{"tier": s.Tier, "capacity": s.Capacity, "warm_ms": 3000, "allowance": p.Allowed()})
	}
	for _, w := range p.Routes {
		put("route", w.Name, map[string]any{"prefix": w.Prefix, "service": w.Service, "tier": w.Tier, "repeatable": w.Repeatable, "limit_ms": 5000})
	}
	raw, _ := json.Marshal(map[string]any{"id": "testbed-" + p.Name, "changes": parts})
	return raw
}

// Distance is how far two zones are apart, as configuration has it.
func (p Plan) Distance(a, b ids.Name) float64 {
	switch {
	case a == b:
		return 0
	case p.Latency != nil:
		return float64(p.Latency(a, b))
	case p.Region(a) == p.Region(b):
		return 1
	}
	return float64(max(p.LatencyMillis, 2) + (p.number(a)+p.number(b))%2)
}

func (p Plan) number(zone ids.Name) int {
	for i := range p.Zones {
		if p.Zone(i) == zone {
			return i
		}
	}
	return 0
}

// Allowed is the small allowance of retries of each service.
func (p Plan) Allowed() int {
	if p.Allowance > 0 {
		return p.Allowance
	}
	return 10
}

// Instance names the ith target of a pool.
func (p Pool) Instance(i int) ids.InstanceID {
	return ids.InstanceID(fmt.Sprintf("%s-%d", p.Service, i+1))
}

// TargetLevel is each zone's comfortable level, in ms of CPU a second.
func (p Plan) TargetLevel() float64 {
	if p.Target > 0 {
		return p.Target
	}
	return 8500
}
