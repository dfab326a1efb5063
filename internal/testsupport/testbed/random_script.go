package testbed

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"dunlinwell/internal/testsupport/blueprint"
)

const (
	// firstRandomStep is the time of the first fault, when the load is already running.
	firstRandomStep = 4 * time.Second
	// randomScriptRecovery is the period without new faults at the end of the load, in
	// which the fleet recovers.
	randomScriptRecovery = 20 * time.Second
	// randomDrain is the duration of a drain, long enough for all new requests to avoid
	// the zone.
	randomDrain = 9 * time.Second
)

// RandomScript generates a script. The same plan, seed and length yield the same script.
func RandomScript(plan blueprint.Plan, seed uint64, length time.Duration) *Script {
	random := rand.New(rand.NewPCG(seed, 7))
	subjects := subjectsByKind(plan)
	names := slices.Sorted(maps.Keys(actions))
	script := &Script{}
	replaced := "" // number of the replaced core machine
	for at := firstRandomStep; at < length-randomScriptRecovery; at += randomMillis(random, 1500, 4000) {
		step := Step{At: Duration(at), Action: names[random.IntN(len(names))], For: Duration(randomMillis(random, 500, 5500))}
		kinds := actions[step.Action].subjects
		kind := kinds[random.IntN(len(kinds))]
		step.Subject = subjects[kind][random.IntN(len(subjects[kind]))]
		switch step.Action {
		case actionReplaceCore:
			// At most one replacement in a script: the registers must be copied before the next.
			if replaced != "" {
				continue
			}
			replaced = step.Subject[len("core-"):]
		case actionDrainZone:
			step.For = Duration(randomDrain)
		case actionBurst:
			step.Count = 50 + random.IntN(200)
		}
		if !actions[step.Action].lasts {
			step.For = 0
		}
		if step.Action != actionReplaceCore && slices.Contains([]string{"core-" + replaced, "store-" + replaced, "registry-" + replaced}, step.Subject) {
			continue
		}
		script.Steps = append(script.Steps, step)
	}
	return script
}

// randomMillis returns a random duration of at least least and less than least+spread ms.
func randomMillis(random *rand.Rand, least, spread int) time.Duration {
	return time.Duration(least+random.IntN(spread)) * time.Millisecond
}
