package scaletest

import (
	"encoding/json"
	"fmt"

	"dunlinwell/internal/base/ids"
)

// maxItemsPerChange is the maximum number of items that the configuration API accepts in one change.
const maxItemsPerChange = 1000

// changeRequest is the body of POST /v1/change.
type changeRequest struct {
	Items []itemChange `json:"changes"`
	ID    string       `json:"id"`
}

// itemChange creates or replaces an item (Put) or updates some of its keys (Set).
type itemChange struct {
	Kind string   `json:"kind"`
	Name ids.Name `json:"name"`
	Put  any      `json:"put,omitempty"`
	Set  any      `json:"set,omitempty"`
}

type zoneBody struct {
	Region string `json:"region"`
	// TargetLoad is the target load level in ms of CPU time per second.
	TargetLoad int `json:"target"`
}

type serviceBody struct {
	// RetryBudget is the number of retries allowed per 100 requests.
	RetryBudget  int `json:"allowance"`
	Capacity     int `json:"capacity"`
	Tier         int `json:"tier"`
	WarmUpMillis int `json:"warm_ms"`
}

type routeBody struct {
	Host        string   `json:"host,omitempty"`
	LimitMillis int      `json:"limit_ms"`
	Prefix      string   `json:"prefix"`
	Repeatable  bool     `json:"repeatable"`
	Service     ids.Name `json:"service"`
	Tier        int      `json:"tier"`
}

type routeLimit struct {
	LimitMillis int `json:"limit_ms"`
}

// routeLimitMillis is the request timeout of every route, including those of tenants.
const routeLimitMillis = 5000

// ConfigurationChanges returns the whole configuration of a size as bodies of change requests, in
// the order in which they must be sent: services precede the routes that refer to them.
func (s Size) ConfigurationChanges() [][]byte {
	var requests [][]byte
	var items []itemChange
	flush := func() {
		if len(items) > 0 {
			requests, items = append(requests, encodeChange(fmt.Sprintf("hollow-%d", len(requests)), items)), nil
		}
	}
	add := func(item itemChange) {
		if items = append(items, item); len(items) == maxItemsPerChange {
			flush()
		}
	}
	for n := range s.Zones {
		add(itemChange{Kind: "cell", Name: s.Zone(n), Put: zoneBody{Region: s.Region(n), TargetLoad: 8500}})
	}
	for n := range s.Services {
		add(itemChange{Kind: "service", Name: s.Service(n), Put: serviceBody{RetryBudget: 10, Capacity: 16, Tier: n % 10, WarmUpMillis: 3000}})
	}
	for n := range s.Routes {
		add(s.route(n))
	}
	for n := range s.Tenants {
		add(s.tenant(n))
	}
	flush()
	return requests
}

func (s Size) route(n int) itemChange {
	return itemChange{Kind: "route", Name: routeName(n), Put: routeBody{
		LimitMillis: routeLimitMillis, Prefix: fmt.Sprintf("/r%d", n+1), Repeatable: n%4 != 0, Service: s.Service(n), Tier: n % 10,
	}}
}

// tenant returns the route that represents the nth tenant. It matches the tenant's host name,
// because the configuration has no item kind for tenants.
func (s Size) tenant(n int) itemChange {
	return itemChange{Kind: "route", Name: ids.Name(fmt.Sprintf("tenant-%d", n+1)), Put: routeBody{
		Host: fmt.Sprintf("t%06d.example", n+1), LimitMillis: routeLimitMillis, Prefix: "/", Repeatable: true, Service: s.Service(n), Tier: n % 10,
	}}
}

func routeName(n int) ids.Name { return ids.Name(fmt.Sprintf("route-%d", n+1)) }

// RouteChange returns the body of the nth change request of the change phase, which changes the
// timeout of one route. The name of the run is part of the change ID.
func (s Size) RouteChange(run string, n int) []byte {
	return encodeChange(fmt.Sprintf("hollow-%s-%d", run, n), []itemChange{
		{Kind: "route", Name: routeName(n % s.Routes), Set: routeLimit{LimitMillis: 4000 + n}},
	})
}

func encodeChange(id string, items []itemChange) []byte {
	return mustJSON(changeRequest{Items: items, ID: id})
}

// mustJSON encodes a value of one of this package's types, which never fail to encode.
func mustJSON(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

// ConfigurationBytes estimates the length of the stored configuration: the body, key and version
// of each item.
func (s Size) ConfigurationBytes() int {
	// bytesPerSmallItem is the approximate length of a zone or a service.
	const bytesPerSmallItem = 100
	itemBytes := func(item itemChange) int {
		return len(mustJSON(item.Put)) + len(item.Name) + len(`"":{"version":1000,"body":},`)
	}
	return s.Routes*itemBytes(s.route(s.Routes)) + s.Tenants*itemBytes(s.tenant(s.Tenants)) + bytesPerSmallItem*(s.Zones+s.Services)
}
