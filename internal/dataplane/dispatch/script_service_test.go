package dispatch

import (
	"strings"
	"testing"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
)

// parseServiceState parses a "service" event. Targets are separated by commas, and the
// arguments of each by semicolons.
func parseServiceState(t *testing.T, now ids.Time, words []string) ServiceState {
	t.Helper()
	args := parseArgs(t, words, "targets", "stale", "drained", "lease", "terms", "leaving")
	state := ServiceState{
		DefaultCapacity: 2,
		IsCurrent:       !args.has("stale"),
		OwnZoneDrained:  args.has("drained"),
		LeaseExpiresAt:  now.Add(args.duration(t, "lease", time.Hour)),
		RetryBudget:     2,
		RouteRules:      map[ids.Name]RouteRules{"r": {Service: ids.Name(args["terms"])}},
		RunEnded:        func(d ids.DaemonID, _ ids.RunID) bool { return d == "gone" },
	}
	if !args.has("targets") {
		return state
	}
	for _, target := range strings.Split(args["targets"], ",") {
		allocation := parseAllocation(t, now, target)
		allocation.Draining = string(allocation.Instance) == args["leaving"]
		state.Targets = append(state.Targets, allocation)
	}
	return state
}

// parseAllocation parses a target such as "t;distance=1;region=n;slow-start=2s;rate=4". The
// default distance is the length of the target's name.
func parseAllocation(t *testing.T, now ids.Time, target string) Allocation {
	t.Helper()
	words := strings.Split(target, ";")
	name := words[0]
	args := parseArgs(t, words[1:], "distance", "region", "capacity", "share", "shares", "oversubscription", "slow-start", "rate")
	a := Allocation{
		Target:           targets.Target{Instance: ids.InstanceID(name), Warmth: 1, AgeMillis: 1e6, Capacity: 1},
		AgeMeasuredAt:    now,
		SlotShareIndex:   args.number(t, "share"),
		SlotShareCount:   1,
		Oversubscription: args.number(t, "oversubscription"),
		Distance:         float64(len(name)),
		Region:           ids.Name(args["region"]),
		SlowStartRate:    float64(args.number(t, "rate")),
	}
	if args.has("shares") {
		a.SlotShareCount = args.number(t, "shares")
	}
	if args.has("distance") {
		a.Distance = float64(args.number(t, "distance"))
	}
	if args.has("capacity") {
		a.Capacity = int64(args.number(t, "capacity"))
	}
	if args.has("slow-start") {
		a.SlowStartUntil = now.Add(args.duration(t, "slow-start", 0))
	}
	return a
}
