// Package hollow runs fleets too large for a process a daemon: real control
// machines of many proxies in a few processes, with real frames and sockets
// but no requests, beside real registries and stores. It counts what control
// costs each role, and fits slopes over several sizes.
package scaletest

import (
	"fmt"
	"slices"

	"dunlinwell/internal/base/ids"
)

// Size is how large one fleet is.
type Size struct {
	Proxies  int `json:"proxies"`
	Targets  int `json:"targets"`
	Services int `json:"services"`
	Routes   int `json:"routes"`
	Tenants  int `json:"tenants"`
	Zones    int `json:"cells"`
	Regions  int `json:"regions"`
	// Core is how many machines have a registry and a store.
	Core int `json:"core"`
}

// DesignSize is the size that the users ask to design for.
var DesignSize = Size{Proxies: 1600, Targets: 4300, Services: 260, Routes: 2000, Tenants: 150000, Zones: 36, Regions: 9, Core: 6}

// axes are what a slope can be taken over, the first that varies wins.
var axes = []struct {
	name string
	of   func(*Size) *int
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

// Axis names what varies over sizes; proxies if nothing does.
func Axis(list []Size) string {
	for _, a := range axes {
		for i := range list {
			if *a.of(&list[i]) != *a.of(&list[0]) {
				return a.name
			}
		}
	}
	return axes[0].name
}

// Along gives the size along an axis.
func (s Size) Along(axis string) float64 {
	for _, a := range axes {
		if a.name == axis {
			return float64(*a.of(&s))
		}
	}
	return 0
}

// SizeFlags are sizes as flags give them: one number that holds for all runs, or
// as many as there are runs.
type SizeFlags struct {
	Proxies  []int `help:"Hollow proxies; several sizes, such as 50,100,200, give slopes." default:"50,100,200" name:"proxies"`
	Targets  []int `help:"Targets that announce themselves." default:"200" name:"targets"`
	Services []int `help:"Services." default:"20" name:"services"`
	Routes   []int `help:"Routes." default:"100" name:"routes"`
	Tenants  []int `help:"Tenants, each a route with a host of its own." default:"0" name:"tenants"`
	Zones    []int `help:"Cells." default:"12" name:"cells"`
	Regions  []int `help:"Regions." default:"3" name:"regions"`
	Core     []int `help:"Core machines, each a registry and a store; three of the stores vote." default:"3" name:"core"`
}

// Sizes gives one size a run, or says which list doesn't fit the others.
func (l SizeFlags) Sizes() ([]Size, error) {
	lists := [][]int{l.Proxies, l.Targets, l.Services, l.Routes, l.Tenants, l.Zones, l.Regions, l.Core}
	runs := 1
	for _, list := range lists {
		runs = max(runs, len(list))
	}
	out := make([]Size, runs)
	for i, list := range lists {
		if len(list) != 1 && len(list) != runs {
			return nil, fmt.Errorf("--%s: has %d numbers, where others have %d", axes[i].name, len(list), runs)
		}
		for n := range out {
			*axes[i].of(&out[n]) = list[min(n, len(list)-1)]
		}
	}
	for _, s := range out {
		if err := s.check(); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// check finds sizes that mean nothing, whatever the machine.
func (s Size) check() error {
	for _, a := range axes {
		n, least := *a.of(&s), 1
		switch a.name {
		case "targets", "tenants":
			least = 0
		case "core":
			least = 3
		}
		if n < least {
			return fmt.Errorf("--%s: must be at least %d", a.name, least)
		}
	}
	switch {
	case s.Regions > s.Zones:
		return fmt.Errorf("--regions: there can't be more than the %d cells", s.Zones)
	case s.Services > s.Routes:
		return fmt.Errorf("--services: there can't be more than the %d routes that lead to them", s.Routes)
	case s.Proxies > maxProxies:
		return fmt.Errorf("--proxies: at most %d have addresses of their own", maxProxies)
	case s.Core > 200:
		return fmt.Errorf("--core: at most 200 have addresses of their own")
	}
	return nil
}

// Zone and the others name the parts of a hollow fleet.
func (s Size) Zone(n int) ids.Name { return ids.Name(fmt.Sprintf("cell-%d", n%s.Zones+1)) }

// Region is that of the nth zone.
func (s Size) Region(n int) string { return fmt.Sprintf("region-%d", n%s.Zones%s.Regions+1) }

// Service names the nth service.
func (s Size) Service(n int) ids.Name {
	return ids.Name(fmt.Sprintf("service-%d", n%s.Services+1))
}

// String is the size in a few words.
func (s Size) String() string {
	return fmt.Sprintf("%d proxies, %d targets, %d services, %d routes, %d tenants, %d cells, %d regions, %d core",
		s.Proxies, s.Targets, s.Services, s.Routes, s.Tenants, s.Zones, s.Regions, s.Core)
}

// maximumSize gives the size with the most of each.
func maximumSize(list []Size) Size {
	out := list[0]
	for _, a := range axes {
		for i := range list {
			p := a.of(&out)
			*p = slices.Max([]int{*p, *a.of(&list[i])})
		}
	}
	return out
}
