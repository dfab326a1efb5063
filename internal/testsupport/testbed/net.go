package testbed

import (
	"fmt"
	"strings"
	"time"

	"dunlinwell/internal/base/ids"
)

// delay is the time one way between two loopback addresses, by their regions.
func (s *Testbed) delay(from, to string) time.Duration {
	region := func(ip string) string {
		var zone, x, y int
		if _, err := fmt.Sscanf(ip, "127.%d.%d.%d", &zone, &x, &y); err != nil || zone < block {
			return ""
		}
		return s.Region(s.Plan.Zone(zone - block))
	}
	if a, b := region(from), region(to); a == "" || b == "" || a == b {
		return 0
	}
	return time.Duration(s.Plan.LatencyMillis) * time.Millisecond / 2
}

// trip is what stand-ins wait for themselves: where there is a relay, it does.
func (s *Testbed) trip(from, to string) time.Duration {
	if s.relay != nil {
		return 0
	}
	return s.delay(from, to)
}

// routeOf tells a path's route by the plan.
func (s *Testbed) routeOf(path string) ids.Name {
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	for _, w := range s.Routes {
		if w.Prefix == "/"+first {
			return w.Name
		}
	}
	return ids.Name(first)
}

// ran tells whoever watches the load of a run.
func (s *Testbed) ran(by ids.Name) {
	if w := s.watcher.Load(); w != nil {
		w.ran(by)
	}
}

// zoneOf tells where a daemon stands.
func (s *Testbed) zoneOf(name string) ids.Name {
	if p := s.Get(name); p != nil {
		return p.Zone
	}
	return ""
}

// numbers gives the IP numbers that stand behind a name: of a daemon, a core
// machine, a target, or all of a zone or region, its clients too.
func (s *Testbed) numbers(name string) map[string]bool {
	out := map[string]bool{}
	for _, p := range s.Machine(name) {
		out[host(p.Address)] = true
	}
	if t := s.target(name); t != nil {
		out[host(t.Address)] = true
	}
	for _, c := range zonesOf(s.Plan, name) {
		for _, p := range s.all() {
			if p.Zone == c {
				out[host(p.Address)] = true
			}
		}
		for _, t := range s.Targets {
			if t.Zone == c {
				out[host(t.Address)] = true
			}
		}
		for i := range s.Plan.Zones {
			if s.Plan.Zone(i) == c {
				out[clientAt(i)] = true
			}
		}
	}
	return out
}
