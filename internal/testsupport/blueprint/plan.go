package blueprint

import (
	"fmt"

	"dunlinwell/internal/base/ids"
)

// Defaults of a plan.
const (
	// defaultTargetLevel is the target load of a zone, in milliseconds of CPU per second.
	defaultTargetLevel = 8500
	// defaultAllowance is the number of retries per ten seconds that a service may get
	// beyond the retry budget's share of first attempts.
	defaultAllowance = 10
)

// Plan describes the size and shape of a deployment.
type Plan struct {
	Name    string
	Regions int
	Zones   int
	Proxies int
	// LatencyMillis is the round-trip time between regions in milliseconds.
	LatencyMillis int
	// Rate is the load in requests per second.
	Rate float64
	// TargetLoad is the target load of every zone, in milliseconds of CPU per second;
	// zero for the default.
	TargetLoad float64
	// MaximumLoad is the maximum load of every zone; zero for 1.1 times its target.
	MaximumLoad float64
	// Allowance is the number of retries per ten seconds that each service may get
	// beyond the retry budget's share; zero for the default.
	Allowance int
	Pools     []Pool
	Routes    []Route
	// Latency, if set, returns the configured distance between two zones.
	Latency func(a, b ids.Name) int
}

// Pool is a service with its stand-in targets.
type Pool struct {
	Service ids.Name
	Targets int
	// Capacity is the number of concurrent requests that each target can serve.
	Capacity int
	// Tier is the priority of the service. It ranks routes of the same tier.
	Tier int
}

// Route is a route with its share of the load.
type Route struct {
	Name    ids.Name
	Prefix  string
	Service ids.Name
	// Tier is the route's priority from 0 to 9.
	Tier       int
	Repeatable bool
	// Share is the share of all requests that use the route.
	Share float64
}

// Plans holds the available plans by name.
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

// Zone returns the name of the nth zone. Zones are assigned to the regions round-robin.
func (p Plan) Zone(n int) ids.Name {
	n %= p.Zones
	return ids.Name(fmt.Sprintf("cell-%c%d", 'a'+n%p.Regions, n/p.Regions+1))
}

// Region returns the name of a zone's region.
func (p Plan) Region(zone ids.Name) string {
	return "region-" + string(zone[len("cell-"):len("cell-")+1])
}

// Distance returns the configured distance between two zones, in milliseconds.
func (p Plan) Distance(a, b ids.Name) float64 {
	switch {
	case a == b:
		return 0
	case p.Latency != nil:
		return float64(p.Latency(a, b))
	case p.Region(a) == p.Region(b):
		return 1
	}
	return float64(max(p.LatencyMillis, 2) + (p.zoneNumber(a)+p.zoneNumber(b))%2)
}

// zoneNumber is the inverse of Zone. It returns zero for an unknown zone.
func (p Plan) zoneNumber(zone ids.Name) int {
	for i := range p.Zones {
		if p.Zone(i) == zone {
			return i
		}
	}
	return 0
}

// RetryAllowance returns the number of retries per ten seconds that each service may get beyond
// the retry budget's share.
func (p Plan) RetryAllowance() int {
	if p.Allowance > 0 {
		return p.Allowance
	}
	return defaultAllowance
}

// Instance returns the name of the pool's ith target.
func (p Pool) Instance(i int) ids.InstanceID {
	return ids.InstanceID(fmt.Sprintf("%s-%d", p.Service, i+1))
}

// TargetLevel returns the target load of each zone, in milliseconds of CPU per second.
func (p Plan) TargetLevel() float64 {
	if p.TargetLoad > 0 {
		return p.TargetLoad
	}
	return defaultTargetLevel
}
