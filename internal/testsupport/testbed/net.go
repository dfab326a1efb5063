package testbed

import (
	"fmt"
	"strings"
	"time"

	"dunlinwell/internal/base/ids"
)

// delay is the time one way between two loopback addresses, by their regions.
func (s *Stage) delay(from, to string) time.Duration {
	region := func(ip string) string {
		var cell, x, y int
		if _, err := fmt.Sscanf(ip, "127.%d.%d.%d", &cell, &x, &y); err != nil || cell < block {
			return ""
		}
		return s.Region(s.Plan.Cell(cell - block))
	}
	if a, b := region(from), region(to); a == "" || b == "" || a == b {
		return 0
	}
	return time.Duration(s.Plan.Delay) * time.Millisecond / 2
}

// trip is what stand-ins wait for themselves: where there is a relay, it does.
func (s *Stage) trip(from, to string) time.Duration {
	if s.relay != nil {
		return 0
	}
	return s.delay(from, to)
}

// routeOf tells a path's route by the plan.
func (s *Stage) routeOf(path string) ids.Name {
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	for _, w := range s.Ways {
		if w.Prefix == "/"+first {
			return w.Route
		}
	}
	return ids.Name(first)
}

// ran tells whoever watches the load of a run.
func (s *Stage) ran(by ids.Name) {
	if w := s.watcher.Load(); w != nil {
		w.ran(by)
	}
}

// cellOf tells where a daemon stands.
func (s *Stage) cellOf(name string) ids.Name {
	if p := s.Get(name); p != nil {
		return p.Cell
	}
	return ""
}

// numbers gives the IP numbers that stand behind a name: of a daemon, a core
// machine, a target, or all of a cell or region, its consumers too.
func (s *Stage) numbers(name string) map[string]bool {
	out := map[string]bool{}
	for _, p := range s.Machine(name) {
		out[host(p.Address)] = true
	}
	if t := s.target(name); t != nil {
		out[host(t.Address)] = true
	}
	for _, c := range cellsOf(s.Plan, name) {
		for _, p := range s.all() {
			if p.Cell == c {
				out[host(p.Address)] = true
			}
		}
		for _, t := range s.Targets {
			if t.Cell == c {
				out[host(t.Address)] = true
			}
		}
		for i := range s.Plan.Cells {
			if s.Plan.Cell(i) == c {
				out[consumerAt(i)] = true
			}
		}
	}
	return out
}
