package testbed

import (
	"math/rand/v2"
	"sort"
	"time"

	"dunlinwell/internal/testsupport/blueprint"
)

func seconds(n int) Duration { return Duration(time.Duration(n) * time.Second) }

// GrandScript is the script in which a core machine, a zone and a region are lost in
// turn, each restored before the next, with a herd and a rolling stop.
func GrandScript(plan blueprint.Plan) *Script {
	return &Script{Steps: []Step{
		{seconds(5), "kill", "registry-2", seconds(6), 0},
		{seconds(5), "swap-core", "core-1", 0, 0},
		{seconds(25), "lose-cell", string(plan.Zone(1)), seconds(6), 0},
		{seconds(45), "lose-region", plan.Region(plan.Zone(2)), seconds(6), 0},
		{seconds(65), "herd", "proxy", seconds(2), 0},
		{seconds(80), "empty", string(plan.Zone(0)), seconds(12), 0},
	}}
}

// WorstCaseScript is the script in which everything comes at once: a hot zone, storms, a
// region lost and one more core machine frozen as it returns, a zone emptied
// meanwhile, a stalled disk, a split, targets that are frozen, unheard and
// replaced, a core machine swapped, and all that runs killed at the day's end.
func WorstCaseScript(plan blueprint.Plan) *Script {
	first := plan.Pools[0]
	return &Script{Steps: []Step{
		{seconds(4), "hot", string(plan.Zone(0)), seconds(70), 0},
		{seconds(6), "storm", "operators", seconds(4), 300},
		{seconds(12), "stall-disk", "store-3", seconds(4), 0},
		{seconds(18), "lose-region", plan.Region(plan.Zone(1)), seconds(7), 0},
		{seconds(19), "empty", string(plan.Zone(2)), seconds(11), 0},
		{seconds(25), "freeze", "core-1", seconds(5), 0},
		{seconds(34), "freeze-target", string(first.Instance(0)), seconds(8), 0},
		{seconds(35), "cut-out", string(first.Instance(1)), seconds(9), 0},
		{seconds(36), "replace-target", string(first.Instance(2)), 0, 0},
		{seconds(38), "cut", "proxy-2", seconds(7), 0},
		{seconds(46), "split", "core-1+" + plan.Region(plan.Zone(0)), seconds(8), 0},
		{seconds(47), "empty", string(plan.Zone(1)), seconds(10), 0},
		{seconds(58), "swap-core", "core-2", 0, 0},
		{seconds(60), "storm", "operators", seconds(4), 300},
		{seconds(74), "hand-over", string(first.Instance(3)), seconds(4), 0},
		{seconds(80), "herd", "proxy", seconds(2), 0},
		{seconds(80), "herd", "registry", seconds(3), 0},
		{seconds(80), "herd", "store", seconds(2), 0},
	}}
}

// ReplacementScript is the script in which all three core machines are replaced in turn.
func ReplacementScript(blueprint.Plan) *Script {
	return &Script{Steps: []Step{
		{seconds(4), "swap-core", "core-1", 0, 0},
		{seconds(26), "swap-core", "core-2", 0, 0},
		{seconds(48), "swap-core", "core-3", 0, 0},
		{seconds(50), "storm", "operators", seconds(3), 150},
	}}
}

// HotZoneScript is the script in which one zone is hot for several turns of the loop.
func HotZoneScript(plan blueprint.Plan, length time.Duration) *Script {
	return &Script{Steps: []Step{{seconds(20), "hot", string(plan.Zone(0)), Duration(length - 160*time.Second), 0}}}
}

// RandomScript draws a script from a seed.
func RandomScript(plan blueprint.Plan, seed uint64, length time.Duration) *Script {
	random := rand.New(rand.NewPCG(seed, 7))
	names := subjectsByKind(plan)
	pick := func(kinds []string) string {
		kind := kinds[random.IntN(len(kinds))]
		return names[kind][random.IntN(len(names[kind]))]
	}
	var kinds []string
	for k := range actions {
		kinds = append(kinds, k)
	}
	sort.Strings(kinds)
	out := &Script{}
	replaced := ""
	// The last part of the day is left to come back whole in.
	for at := 4 * time.Second; at < length-20*time.Second; at += time.Duration(1500+random.IntN(4000)) * time.Millisecond {
		step := Step{At: Duration(at), Action: kinds[random.IntN(len(kinds))], For: Duration(time.Duration(500+random.IntN(5500)) * time.Millisecond)}
		step.Subject = pick(actions[step.Action].to)
		switch step.Action {
		case "swap-core":
			// One core machine at a time, with time for the copy.
			if replaced != "" {
				continue
			}
			replaced = step.Subject[len("core-"):]
		case "empty":
			step.For = Duration(9 * time.Second)
		case "storm":
			step.Count = 50 + random.IntN(200)
		}
		if !actions[step.Action].lasts {
			step.For = 0
		}
		// What was replaced isn't there any more.
		if step.Action != "swap-core" && (step.Subject == "core-"+replaced || step.Subject == "store-"+replaced || step.Subject == "registry-"+replaced) {
			continue
		}
		out.Steps = append(out.Steps, step)
	}
	return out
}
