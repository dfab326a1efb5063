package configuration

import (
	"bytes"
	"encoding/json"

	"dunlinwell/internal/base/ids"
)

// defaultTargetLoad is a zone's comfortable level where nobody names one, in ms of
// CPU a second.
const defaultTargetLoad = 8500

// View is the configuration as daemons use it: typed, with defaults filled in.
type View struct {
	Revision ids.Revision
	Services map[ids.Name]Service
	Routes   map[ids.Name]Route
	Zones    map[ids.Name]Zone
	// Limits bound what clients may send.
	Limits Limits
}

// View reads the items. They were checked when they were accepted.
func (d *Document) View() *View { return d.ViewReusing(&Document{}, &View{}) }

// ViewReusing reads the items, and takes over from the view of an earlier configuration the
// routes and services whose bodies are the same.
func (d *Document) ViewReusing(earlier *Document, had *View) *View {
	v := &View{
		Revision: d.Revision, Services: map[ids.Name]Service{},
		Routes: map[ids.Name]Route{}, Zones: map[ids.Name]Zone{}, Limits: DefaultLimits,
	}
	for n, it := range d.Services {
		if s, ok := had.Services[n]; ok && bytes.Equal(earlier.Services[n].Body, it.Body) {
			v.Services[n] = s
			continue
		}
		s := Service{Tier: 5, DefaultCapacity: 16, SlowStartMillis: 10000, RetryBudget: 10}
		_ = json.Unmarshal(it.Body, &s)
		s.Name = n
		v.Services[n] = s
	}
	for n, it := range d.Routes {
		if r, ok := had.Routes[n]; ok && bytes.Equal(earlier.Routes[n].Body, it.Body) {
			v.Routes[n] = r
			continue
		}
		r := Route{Tier: 5, TimeoutMillis: 5000, MaxBodyBytes: 1 << 20, MaxAttempts: 3}
		_ = json.Unmarshal(it.Body, &r)
		r.Name = n
		v.Routes[n] = r
	}
	for _, n := range sortedNames(d.Limits) {
		_ = json.Unmarshal(d.Limits[n].Body, &v.Limits)
	}
	for n, it := range d.Zones {
		c := Zone{}
		_ = json.Unmarshal(it.Body, &c)
		c.Name = n
		if c.TargetLoad == 0 {
			c.TargetLoad, c.LoadDefaulted = defaultTargetLoad, true
		}
		if c.MaximumLoad == 0 {
			c.MaximumLoad = c.TargetLoad * 1.1
		}
		if c.AcceptableLoad == 0 {
			c.AcceptableLoad = c.TargetLoad * 0.8
		}
		v.Zones[n] = c
	}
	return v
}

// SetRegions adds what a daemon was told of zones at its start, where configuration says
// nothing of them: that they are there, and their regions.
func (v *View) SetRegions(regions map[ids.Name]string) {
	for n, region := range regions {
		c, ok := v.Zones[n]
		if !ok {
			c = Zone{Name: n, LoadDefaulted: true, TargetLoad: defaultTargetLoad, AcceptableLoad: defaultTargetLoad * 0.8, MaximumLoad: defaultTargetLoad * 1.1}
		}
		if c.Region == "" {
			c.Region = region
		}
		v.Zones[n] = c
	}
}

// Distance tells how far two zones are apart, as configuration says; far if it
// doesn't, nearer within a region.
func (v *View) Distance(a, b ids.Name) float64 {
	if a == b {
		return 0
	}
	for _, p := range [][2]ids.Name{{a, b}, {b, a}} {
		if d, ok := v.Zones[p[0]].Distances[p[1]]; ok {
			if f, err := d.Float64(); err == nil {
				return f
			}
		}
	}
	if r := v.Zones[a].Region; r != "" && r == v.Zones[b].Region {
		return 1
	}
	return 1000
}

// overlayFields lays the fields of set over a body.
func overlayFields(body, set json.RawMessage) json.RawMessage {
	m := map[string]json.RawMessage{}
	_ = json.Unmarshal(body, &m)
	_ = json.Unmarshal(set, &m)
	raw, _ := json.Marshal(m)
	return raw
}
