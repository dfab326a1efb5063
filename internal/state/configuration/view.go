package configuration

import (
	"bytes"
	"encoding/json"

	"dunlinwell/internal/base/ids"
)

// View is the decoded configuration that daemons use, with defaults filled in. It is
// read-only.
type View struct {
	Revision ids.Revision
	Services map[ids.Name]Service
	Routes   map[ids.Name]Route
	Zones    map[ids.Name]Zone
	Limits   Limits
}

// Service is a pool of targets that register themselves.
type Service struct {
	Name ids.Name `json:"-"`
	// Tier is the priority class of requests, from 0 to 9; 5 by default.
	Tier int `json:"tier"`
	// DefaultCapacity is the maximum number of concurrent requests of a target that
	// doesn't announce its own; 16 by default.
	DefaultCapacity int `json:"capacity"`
	// SlowStartMillis is the duration of a restarted target's slow start in milliseconds;
	// 10000 by default.
	SlowStartMillis int `json:"warm_ms"`
	// RetryBudget is the number of retries that all proxies together may make in addition
	// to a fifth of the first attempts; 10 by default.
	RetryBudget int `json:"allowance"`
	// SlowStartRate is the maximum number of requests per second that all proxies together
	// send to a target in slow start; 0 if only its concurrency is limited.
	SlowStartRate float64 `json:"warm_rate"`
	// MaxConnections is the maximum number of connections to a target from all of its clients
	// together; 0 for no limit.
	MaxConnections int `json:"circuits"`
}

// Default settings of a service.
const (
	defaultCapacity        = 16
	defaultSlowStartMillis = 10000
	defaultRetryBudget     = 10
)

// Zone is a failure domain. Its load levels are in milliseconds of CPU time per second.
type Zone struct {
	Name   ids.Name `json:"-"`
	Region string   `json:"region"`
	// TargetLoad is the intended load; 8500 by default. A zone above its MaximumLoad (by
	// default 1.1 times TargetLoad) spills requests over to zones below their
	// AcceptableLoad (by default 0.8 times TargetLoad).
	TargetLoad float64 `json:"target"`
	// LoadDefaulted reports whether TargetLoad is the default.
	LoadDefaulted  bool    `json:"-"`
	AcceptableLoad float64 `json:"acceptable"`
	MaximumLoad    float64 `json:"maximum"`
	// Drained reports whether the zone accepts no new requests: clients are directed to
	// other zones, and no more requests are sent to its targets.
	Drained bool `json:"emptied"`
	// Evacuated reports whether no more requests are sent to the zone's targets. Its
	// proxies still accept requests and forward them to targets in other zones.
	Evacuated bool `json:"shut"`
	// Distances to other zones, by name; see View.Distance.
	Distances map[ids.Name]json.Number `json:"distances"`
}

// Default load levels of a zone: the target in milliseconds of CPU time per second, and the
// other levels as fractions of the target.
const (
	defaultTargetLoad      = 8500
	acceptableLoadFraction = 0.8
	maximumLoadFraction    = 1.1
)

// setDefaultLoads sets the load levels that are 0 to their defaults.
func (z *Zone) setDefaultLoads() {
	if z.TargetLoad == 0 {
		z.TargetLoad, z.LoadDefaulted = defaultTargetLoad, true
	}
	if z.MaximumLoad == 0 {
		z.MaximumLoad = z.TargetLoad * maximumLoadFraction
	}
	if z.AcceptableLoad == 0 {
		z.AcceptableLoad = z.TargetLoad * acceptableLoadFraction
	}
}

// Limits are size limits and timeouts for the clients of a proxy.
type Limits struct {
	// MaxHeaderBytes is the maximum size of a request's header, MaxBodyBytes that of its body.
	MaxHeaderBytes int `json:"max_header"`
	MaxBodyBytes   int `json:"max_body"`
	// HeaderTimeoutMillis is the time allowed to send a request's header, and
	// IdleTimeoutMillis the time that a connection may be idle, in milliseconds.
	HeaderTimeoutMillis int `json:"header_ms"`
	IdleTimeoutMillis   int `json:"idle_ms"`
}

// DefaultLimits are the limits used if the configuration sets none.
var DefaultLimits = Limits{MaxHeaderBytes: 64 << 10, MaxBodyBytes: 1 << 30, HeaderTimeoutMillis: 5000, IdleTimeoutMillis: 60000}

// View decodes the document's items.
func (d *Document) View() *View { return d.ViewReusing(&Document{}, &View{}) }

// ViewReusing is like View, but reuses the services and routes of an earlier document's view
// if their bodies are the same. Decoding errors are ignored, since bodies were validated
// when they were accepted.
func (d *Document) ViewReusing(earlier *Document, earlierView *View) *View {
	v := &View{
		Revision: d.Revision,
		Services: make(map[ids.Name]Service, len(d.Services)),
		Routes:   make(map[ids.Name]Route, len(d.Routes)),
		Zones:    make(map[ids.Name]Zone, len(d.Zones)),
		Limits:   DefaultLimits,
	}
	for name, item := range d.Services {
		service, ok := earlierView.Services[name]
		if !ok || !bytes.Equal(earlier.Services[name].Body, item.Body) {
			service = item.service(name)
		}
		v.Services[name] = service
	}
	for name, item := range d.Routes {
		route, ok := earlierView.Routes[name]
		if !ok || !bytes.Equal(earlier.Routes[name].Body, item.Body) {
			route = item.route(name)
		}
		v.Routes[name] = route
	}
	for _, name := range sortedNames(d.Limits) {
		_ = json.Unmarshal(d.Limits[name].Body, &v.Limits)
	}
	for name, item := range d.Zones {
		v.Zones[name] = item.zone(name)
	}
	return v
}

func (i Item) service(name ids.Name) Service {
	service := Service{
		Tier:            defaultTier,
		DefaultCapacity: defaultCapacity,
		SlowStartMillis: defaultSlowStartMillis,
		RetryBudget:     defaultRetryBudget,
	}
	_ = json.Unmarshal(i.Body, &service)
	service.Name = name
	return service
}

func (i Item) route(name ids.Name) Route {
	route := Route{
		Tier:          defaultTier,
		TimeoutMillis: defaultTimeoutMillis,
		MaxBodyBytes:  defaultMaxBodyBytes,
		MaxAttempts:   defaultMaxAttempts,
	}
	_ = json.Unmarshal(i.Body, &route)
	route.Name = name
	return route
}

func (i Item) zone(name ids.Name) Zone {
	var zone Zone
	_ = json.Unmarshal(i.Body, &zone)
	zone.Name = name
	zone.setDefaultLoads()
	return zone
}

// SetRegions adds zones that are missing from the configuration and sets the region of
// zones that have none. The regions by zone come from the daemon's own settings.
func (v *View) SetRegions(regions map[ids.Name]string) {
	for name, region := range regions {
		zone, ok := v.Zones[name]
		if !ok {
			zone.Name = name
			zone.setDefaultLoads()
		}
		if zone.Region == "" {
			zone.Region = region
		}
		v.Zones[name] = zone
	}
}

// Default distances between zones.
const (
	distanceWithinRegion   = 1
	distanceBetweenRegions = 1000
)

// Distance returns the distance between two zones: 0 for the same zone, the distance that
// is configured in either zone, or a default that depends on their regions.
func (v *View) Distance(a, b ids.Name) float64 {
	if a == b {
		return 0
	}
	for _, pair := range [][2]ids.Name{{a, b}, {b, a}} {
		if configured, ok := v.Zones[pair[0]].Distances[pair[1]]; ok {
			if distance, err := configured.Float64(); err == nil {
				return distance
			}
		}
	}
	if region := v.Zones[a].Region; region != "" && region == v.Zones[b].Region {
		return distanceWithinRegion
	}
	return distanceBetweenRegions
}
