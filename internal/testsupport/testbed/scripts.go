package testbed

import (
	"math/rand/v2"
	"sort"
	"time"

	"dunlinwell/internal/testsupport/blueprint"
)

func at(n int) Span { return Span(time.Duration(n) * time.Second) }

// Grand is the script in which a core machine, a zone and a region are lost in
// turn, each restored before the next, with a herd and a rolling stop.
func Grand(plan blueprint.Plan) *Script {
	return &Script{Steps: []Step{
		{at(5), "kill", "registry-2", at(6), 0},
		{at(5), "swap-core", "core-1", 0, 0},
		{at(25), "lose-cell", string(plan.Zone(1)), at(6), 0},
		{at(45), "lose-region", plan.Region(plan.Zone(2)), at(6), 0},
		{at(65), "herd", "proxy", at(2), 0},
		{at(80), "empty", string(plan.Zone(0)), at(12), 0},
	}}
}

// WorstCase is the script in which everything comes at once: a hot zone, storms, a
// region lost and one more core machine frozen as it returns, a zone emptied
// meanwhile, a stalled disk, a split, targets that are frozen, unheard and
// replaced, a core machine swapped, and all that runs killed at the day's end.
func WorstCase(plan blueprint.Plan) *Script {
	first := plan.Pools[0]
	return &Script{Steps: []Step{
		{at(4), "hot", string(plan.Zone(0)), at(70), 0},
		{at(6), "storm", "operators", at(4), 300},
		{at(12), "stall-disk", "store-3", at(4), 0},
		{at(18), "lose-region", plan.Region(plan.Zone(1)), at(7), 0},
		{at(19), "empty", string(plan.Zone(2)), at(11), 0},
		{at(25), "freeze", "core-1", at(5), 0},
		{at(34), "freeze-target", string(first.Instance(0)), at(8), 0},
		{at(35), "cut-out", string(first.Instance(1)), at(9), 0},
		{at(36), "replace-target", string(first.Instance(2)), 0, 0},
		{at(38), "cut", "proxy-2", at(7), 0},
		{at(46), "split", "core-1+" + plan.Region(plan.Zone(0)), at(8), 0},
		{at(47), "empty", string(plan.Zone(1)), at(10), 0},
		{at(58), "swap-core", "core-2", 0, 0},
		{at(60), "storm", "operators", at(4), 300},
		{at(74), "hand-over", string(first.Instance(3)), at(4), 0},
		{at(80), "herd", "proxy", at(2), 0},
		{at(80), "herd", "registry", at(3), 0},
		{at(80), "herd", "store", at(2), 0},
	}}
}

// Swaps is the script in which all three core machines are replaced in turn.
func Swaps(blueprint.Plan) *Script {
	return &Script{Steps: []Step{
		{at(4), "swap-core", "core-1", 0, 0},
		{at(26), "swap-core", "core-2", 0, 0},
		{at(48), "swap-core", "core-3", 0, 0},
		{at(50), "storm", "operators", at(3), 150},
	}}
}

// Hot is the script in which one zone is hot for several turns of the loop.
func Hot(plan blueprint.Plan, length time.Duration) *Script {
	return &Script{Steps: []Step{{at(20), "hot", string(plan.Zone(0)), Span(length - 160*time.Second), 0}}}
}

// Drawn draws a script from a seed.
func Drawn(plan blueprint.Plan, seed uint64, length time.Duration) *Script {
	random := rand.New(rand.NewPCG(seed, 7))
	names := who(plan)
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
	swapped := ""
	// The last part of the day is left to come back whole in.
	for when := 4 * time.Second; when < length-20*time.Second; when += time.Duration(1500+random.IntN(4000)) * time.Millisecond {
		d := Step{At: Span(when), Action: kinds[random.IntN(len(kinds))], For: Span(time.Duration(500+random.IntN(5500)) * time.Millisecond)}
		d.Subject = pick(actions[d.Action].to)
		switch d.Action {
		case "swap-core":
			// One core machine at a time, with time for the copy.
			if swapped != "" {
				continue
			}
			swapped = d.Subject[len("core-"):]
		case "empty":
			d.For = Span(9 * time.Second)
		case "storm":
			d.Count = 50 + random.IntN(200)
		}
		if !actions[d.Action].lasts {
			d.For = 0
		}
		// What was replaced isn't there any more.
		if d.Action != "swap-core" && (d.Subject == "core-"+swapped || d.Subject == "store-"+swapped || d.Subject == "registry-"+swapped) {
			continue
		}
		out.Steps = append(out.Steps, d)
	}
	return out
}
