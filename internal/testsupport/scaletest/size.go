package scaletest

import (
	"fmt"
	"slices"

	"dunlinwell/internal/base/ids"
)

// Size is the size of a fleet.
type Size struct {
	Proxies  int `json:"proxies"`
	Targets  int `json:"targets"`
	Services int `json:"services"`
	Routes   int `json:"routes"`
	Tenants  int `json:"tenants"`
	Zones    int `json:"cells"`
	Regions  int `json:"regions"`
	// Core is the number of core machines, each with a registry and a store.
	Core int `json:"core"`
}

// DesignSize is the largest size that the software is designed for (docs/CAPACITY.md). Fits are
// extrapolated to it.
var DesignSize = Size{Proxies: 1600, Targets: 4300, Services: 260, Routes: 2000, Tenants: 150000, Zones: 36, Regions: 9, Core: 6}

// axes lists the fields of a size with the names of their flags, in the order in which Axis searches
// them.
var axes = []struct {
	name  string
	field func(*Size) *int
}{
	{"proxies", func(s *Size) *int { return &s.Proxies }},
	{"targets", func(s *Size) *int { return &s.Targets }},
	{"services", func(s *Size) *int { return &s.Services }},
	{"routes", func(s *Size) *int { return &s.Routes }},
	{"tenants", func(s *Size) *int { return &s.Tenants }},
	{"cells", func(s *Size) *int { return &s.Zones }},
	{"regions", func(s *Size) *int { return &s.Regions }},
	{"core", func(s *Size) *int { return &s.Core }},
}

// Axis returns the name of the first axis that varies over the sizes, or "proxies" if none does.
func Axis(sizes []Size) string {
	for _, a := range axes {
		for i := range sizes {
			if *a.field(&sizes[i]) != *a.field(&sizes[0]) {
				return a.name
			}
		}
	}
	return axes[0].name
}

// AxisValue returns the value of the field that an axis names, or 0 if the name is unknown.
func (s Size) AxisValue(axis string) float64 {
	for _, a := range axes {
		if a.name == axis {
			return float64(*a.field(&s))
		}
	}
	return 0
}

// check returns an error that begins with the flag of the first invalid field.
func (s Size) check() error {
	for _, a := range axes {
		n, minimum := *a.field(&s), 1
		switch a.name {
		case "targets", "tenants":
			minimum = 0
		case "core":
			minimum = voterCount
		}
		if n < minimum {
			return fmt.Errorf("--%s: must be at least %d", a.name, minimum)
		}
	}
	switch {
	case s.Regions > s.Zones:
		return fmt.Errorf("--regions: must not exceed --cells (%d)", s.Zones)
	case s.Services > s.Routes:
		return fmt.Errorf("--services: must not exceed --routes (%d)", s.Routes)
	case s.Proxies > maxProxies:
		return fmt.Errorf("--proxies: must be at most %d", maxProxies)
	case s.Core > maxCoreMachines:
		return fmt.Errorf("--core: must be at most %d", maxCoreMachines)
	}
	return nil
}

// Zone returns the name of the zone of the nth daemon or target.
func (s Size) Zone(n int) ids.Name { return ids.Name(fmt.Sprintf("cell-%d", n%s.Zones+1)) }

// Region returns the name of the nth zone's region.
func (s Size) Region(n int) string { return fmt.Sprintf("region-%d", n%s.Zones%s.Regions+1) }

// Service returns the name of the nth service.
func (s Size) Service(n int) ids.Name {
	return ids.Name(fmt.Sprintf("service-%d", n%s.Services+1))
}

// String lists all fields.
func (s Size) String() string {
	return fmt.Sprintf("%d proxies, %d targets, %d services, %d routes, %d tenants, %d zones, %d regions, %d core machines",
		s.Proxies, s.Targets, s.Services, s.Routes, s.Tenants, s.Zones, s.Regions, s.Core)
}

// maximumSize returns a size in which each field is the maximum over the sizes.
func maximumSize(sizes []Size) Size {
	out := sizes[0]
	for _, a := range axes {
		for i := range sizes {
			p := a.field(&out)
			*p = slices.Max([]int{*p, *a.field(&sizes[i])})
		}
	}
	return out
}
