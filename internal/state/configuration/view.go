package configuration

import (
	"bytes"
	"encoding/json"

	"dunlinwell/internal/base/ids"
)

// View is the configuration as daemons use it: typed, with defaults filled in. It is
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
	// Tier is the priority class, from 0 to 9; 5 by default.
	Tier int `json:"tier"`
	// DefaultCapacity is how many concurrent requests a target takes that doesn't say
	// so itself; 16 by default.
	DefaultCapacity int `json:"capacity"`
	// SlowStartMillis is how long a restarted target takes to reach its full load, in
	// milliseconds; 10000 by default.
	SlowStartMillis int `json:"warm_ms"`
	// RetryBudget is how many retries all proxies together may make beyond a fifth of
	// the first attempts; 10 by default.
	RetryBudget int `json:"allowance"`
	// SlowStartRate is how many requests a second a target in slow start takes from
	// all proxies together; 0 if only its concurrency bounds it.
	SlowStartRate float64 `json:"warm_rate"`
	// Connections is how many connections a target takes from all clients together; 0
	// for no bound.
	Connections int `json:"circuits"`
}

// Service settings that hold where the configuration names none.
const (
	defaultCapacity        = 16
	defaultSlowStartMillis = 10000
	defaultRetryBudget     = 10
)

// Zone is a failure domain. Its load levels are in milliseconds of CPU time a second
// (thousandths of a CPU).
type Zone struct {
	Name   ids.Name `json:"-"`
	Region string   `json:"region"`
	// TargetLoad is the load to aim for; 8500 by default. A zone above MaximumLoad, by
	// default 1.1 of it, spills requests over to zones below their AcceptableLoad, by
	// default 0.8 of it.
	TargetLoad float64 `json:"target"`
	// LoadDefaulted: no operator named a target load.
	LoadDefaulted  bool    `json:"-"`
	AcceptableLoad float64 `json:"acceptable"`
	MaximumLoad    float64 `json:"maximum"`
	// Drained: the zone takes no new requests. Clients are directed to other zones, and
	// nothing more is sent to its targets.
	Drained bool `json:"emptied"`
	// Evacuated: nothing more is sent to the zone's targets, while its proxies go on
	// serving from the targets of other zones.
	Evacuated bool `json:"shut"`
	// Distances to other zones, by name; see View.Distance.
	Distances map[ids.Name]json.Number `json:"distances"`
}

// Load levels that hold where the configuration names none: a target load in
// milliseconds of CPU time a second, and the other levels as parts of the target.
const (
	defaultTargetLoad  = 8500
	acceptableLoadPart = 0.8
	maximumLoadPart    = 1.1
)

// setDefaultLoads fills in the load levels that are 0.
func (z *Zone) setDefaultLoads() {
	if z.TargetLoad == 0 {
		z.TargetLoad, z.LoadDefaulted = defaultTargetLoad, true
	}
	if z.MaximumLoad == 0 {
		z.MaximumLoad = z.TargetLoad * maximumLoadPart
	}
	if z.AcceptableLoad == 0 {
		z.AcceptableLoad = z.TargetLoad * acceptableLoadPart
	}
}

// Limits bound what a client of a proxy may send and how long it may take.
type Limits struct {
	// MaxHeaderBytes bounds the header of a request, MaxBodyBytes its body.
	MaxHeaderBytes int `json:"max_header"`
	MaxBodyBytes   int `json:"max_body"`
	// HeaderTimeoutMillis is how long a client may take to send a header, in
	// milliseconds. IdleTimeoutMillis is how long its connection may be idle.
	HeaderTimeoutMillis int `json:"header_ms"`
	IdleTimeoutMillis   int `json:"idle_ms"`
}

// DefaultLimits hold where the configuration names none.
var DefaultLimits = Limits{MaxHeaderBytes: 64 << 10, MaxBodyBytes: 1 << 30, HeaderTimeoutMillis: 5000, IdleTimeoutMillis: 60000}

// View returns the document's items as types.
func (d *Document) View() *View { return d.ViewReusing(&Document{}, &View{}) }

// ViewReusing is View, but takes over the services and routes from the view of an
// earlier document whose bodies are the same. Bodies were checked before they were
// accepted, so they are taken to be readable.
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

// SetRegions adds the zones that a daemon knows from its start and that the
// configuration doesn't have, and the regions of those that have none.
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

// Distances that hold where the configuration names none.
const (
	distanceWithinRegion   = 1
	distanceBetweenRegions = 1000
)

// Distance returns how far two zones are apart: 0 for the same zone, the configured
// distance of either to the other, or a default by region.
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
