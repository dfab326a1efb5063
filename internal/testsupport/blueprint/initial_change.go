package blueprint

import (
	"encoding/json"

	"dunlinwell/internal/base/ids"
)

// The structs below duplicate the types of package configuration on purpose: an encoding error
// there would otherwise go unnoticed. Fields are in the order of their JSON keys.

type changeRequest struct {
	Changes []itemChange `json:"changes"`
	ID      string       `json:"id"`
}

type itemChange struct {
	Kind string   `json:"kind"`
	Name ids.Name `json:"name"`
	Put  any      `json:"put"`
}

type zoneItem struct {
	Distances map[ids.Name]int `json:"distances"`
	Maximum   float64          `json:"maximum,omitempty"`
	Region    string           `json:"region"`
	Target    float64          `json:"target"`
}

type serviceItem struct {
	Allowance int `json:"allowance"`
	Capacity  int `json:"capacity"`
	Tier      int `json:"tier"`
	// WarmMillis is the length of a new target's slow start.
	WarmMillis int `json:"warm_ms"`
}

type routeItem struct {
	LimitMillis int      `json:"limit_ms"`
	Prefix      string   `json:"prefix"`
	Repeatable  bool     `json:"repeatable"`
	Service     ids.Name `json:"service"`
	Tier        int      `json:"tier"`
}

const (
	// warmMillis is the slow start of every service's targets; it equals that of the stand-in
	// targets.
	warmMillis = 3000
	// limitMillis is the time limit of each route. It exceeds the 4 s deadline of stand-in clients.
	limitMillis = 5000
)

// InitialChange returns the plan's complete configuration as the JSON of one change request.
func (p Plan) InitialChange() []byte {
	change := changeRequest{ID: "testbed-" + p.Name}
	put := func(kind string, name ids.Name, item any) {
		change.Changes = append(change.Changes, itemChange{Kind: kind, Name: name, Put: item})
	}
	for n := range p.Zones {
		zone := p.Zone(n)
		put("cell", zone, zoneItem{Distances: p.distances(zone), Maximum: max(p.MaximumLoad, 0), Region: p.Region(zone), Target: p.TargetLevel()})
	}
	for _, pool := range p.Pools {
		put("service", pool.Service, serviceItem{Allowance: p.RetryAllowance(), Capacity: pool.Capacity, Tier: pool.Tier, WarmMillis: warmMillis})
	}
	for _, route := range p.Routes {
		put("route", route.Name, routeItem{LimitMillis: limitMillis, Prefix: route.Prefix, Repeatable: route.Repeatable, Service: route.Service, Tier: route.Tier})
	}
	raw, err := json.Marshal(change)
	if err != nil {
		panic(err) // all values of these types can be encoded
	}
	return raw
}

// distances returns the distance of a zone to each of the others.
func (p Plan) distances(zone ids.Name) map[ids.Name]int {
	out := map[ids.Name]int{}
	for n := range p.Zones {
		if other := p.Zone(n); other != zone {
			out[other] = int(p.Distance(zone, other))
		}
	}
	return out
}
