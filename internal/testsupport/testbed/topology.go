package testbed

import (
	"fmt"
	"strings"
	"time"

	"dunlinwell/internal/base/ids"
)

// regionOf returns the region of a loopback IP address; empty for an address that isn't
// the fleet's.
func (tb *Testbed) regionOf(ip string) string {
	var second, third, fourth int
	if _, err := fmt.Sscanf(ip, "127.%d.%d.%d", &second, &third, &fourth); err != nil || second < firstZoneOctet {
		return ""
	}
	return tb.Region(tb.Plan.Zone(second - firstZoneOctet))
}

// latency returns the one-way latency between two IP addresses: half of the plan's
// round-trip time between regions, zero within a region.
func (tb *Testbed) latency(from, to string) time.Duration {
	if a, b := tb.regionOf(from), tb.regionOf(to); a == "" || b == "" || a == b {
		return 0
	}
	return time.Duration(tb.Plan.LatencyMillis) * time.Millisecond / 2
}

// standInLatency returns the one-way latency that stand-ins add themselves: zero if
// the relay adds it.
func (tb *Testbed) standInLatency(from, to string) time.Duration {
	if tb.relay != nil {
		return 0
	}
	return tb.latency(from, to)
}

// routeOf returns the name of the plan's route for a path. Without one it returns the path's
// first segment, such as blueprint.ReassignedRoute, which isn't in the plan.
func (tb *Testbed) routeOf(path string) ids.Name {
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	for _, route := range tb.Routes {
		if route.Prefix == "/"+first {
			return route.Name
		}
	}
	return ids.Name(first)
}

// zoneOf returns the zone of a daemon; empty for an unknown name.
func (tb *Testbed) zoneOf(daemon string) ids.Name {
	if p := tb.Find(daemon); p != nil {
		return p.Zone
	}
	return ""
}

// findTarget returns the target with the given instance name; nil if there is none.
func (tb *Testbed) findTarget(name string) *Target {
	for _, t := range tb.Targets {
		if string(t.Instance) == name {
			return t
		}
	}
	return nil
}

// ipsOf returns the IP addresses of a daemon, core machine or target, or of all daemons,
// targets and clients of a zone or region.
func (tb *Testbed) ipsOf(name string) map[string]bool {
	ips := map[string]bool{}
	for _, p := range tb.MachineProcesses(name) {
		ips[ipOf(p.Address)] = true
	}
	if t := tb.findTarget(name); t != nil {
		ips[ipOf(t.Address)] = true
	}
	for _, zone := range zonesOf(tb.Plan, name) {
		for _, p := range tb.snapshot() {
			if p.Zone == zone {
				ips[ipOf(p.Address)] = true
			}
		}
		for _, t := range tb.Targets {
			if t.Zone == zone {
				ips[ipOf(t.Address)] = true
			}
		}
		ips[clientAddress(tb.zoneIndex(zone))] = true
	}
	return ips
}
