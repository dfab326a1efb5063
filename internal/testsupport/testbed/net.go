package testbed

import (
	"fmt"
	"strings"
	"time"

	"dunlinwell/internal/base/ids"
)

// latency is the time one way between two loopback addresses, by their regions.
func (tb *Testbed) latency(from, to string) time.Duration {
	region := func(ip string) string {
		var zone, x, y int
		if _, err := fmt.Sscanf(ip, "127.%d.%d.%d", &zone, &x, &y); err != nil || zone < loopbackBlock {
			return ""
		}
		return tb.Region(tb.Plan.Zone(zone - loopbackBlock))
	}
	if a, b := region(from), region(to); a == "" || b == "" || a == b {
		return 0
	}
	return time.Duration(tb.Plan.LatencyMillis) * time.Millisecond / 2
}

// standInLatency is what stand-ins wait for themselves: where there is a relay, it does.
func (tb *Testbed) standInLatency(from, to string) time.Duration {
	if tb.relay != nil {
		return 0
	}
	return tb.latency(from, to)
}

// routeOf tells a path's route by the plan.
func (tb *Testbed) routeOf(path string) ids.Name {
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	for _, w := range tb.Routes {
		if w.Prefix == "/"+first {
			return w.Name
		}
	}
	return ids.Name(first)
}

// countExecution tells whoever watches the load of a run.
func (tb *Testbed) countExecution(by ids.Name) {
	if w := tb.watcher.Load(); w != nil {
		w.countExecution(by)
	}
}

// zoneOf tells where a daemon stands.
func (tb *Testbed) zoneOf(name string) ids.Name {
	if p := tb.Find(name); p != nil {
		return p.Zone
	}
	return ""
}

// ipsOf gives the IP numbers that stand behind a name: of a daemon, a core
// machine, a target, or all of a zone or region, its clients too.
func (tb *Testbed) ipsOf(name string) map[string]bool {
	out := map[string]bool{}
	for _, p := range tb.MachineProcesses(name) {
		out[ipOf(p.Address)] = true
	}
	if t := tb.findTarget(name); t != nil {
		out[ipOf(t.Address)] = true
	}
	for _, c := range zonesOf(tb.Plan, name) {
		for _, p := range tb.snapshot() {
			if p.Zone == c {
				out[ipOf(p.Address)] = true
			}
		}
		for _, t := range tb.Targets {
			if t.Zone == c {
				out[ipOf(t.Address)] = true
			}
		}
		for i := range tb.Plan.Zones {
			if tb.Plan.Zone(i) == c {
				out[clientAddress(i)] = true
			}
		}
	}
	return out
}
