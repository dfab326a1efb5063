package simulator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/spill"
	"dunlinwell/internal/testsupport/blueprint"
)

const (
	zoneA, zoneB, zoneC = ids.Name("cell-a1"), ids.Name("cell-b1"), ids.Name("cell-c1")
	stepFrom            = 60 * time.Second
	stepUntil           = 600 * time.Second
)

// spillPlan returns the small plan with levels that the load can reach: acceptable 400, target 500
// and maximum 550 ms/s per zone.
func spillPlan() blueprint.Plan {
	p := blueprint.Plans["small"]
	p.TargetLoad = 500
	return p
}

// stepLoad moves 80 % of the clients to the hot zones between stepFrom and stepUntil.
func stepLoad(hot ...ids.Name) func(*World, ids.Name) ids.Name {
	return func(w *World, drawn ids.Name) ids.Name {
		if now := time.Duration(w.now); now >= stepFrom && now < stepUntil && w.random.IntN(5) > 0 {
			return hot[w.random.IntN(len(hot))]
		}
		return drawn
	}
}

// runSpill performs a run, with the spill plan by default, and returns and logs its samples.
func runSpill(t *testing.T, p Options) []SpillSample {
	t.Helper()
	p.PlanEvery, p.FaultEvery = 30*time.Second, -1
	if p.Plan.Name == "" {
		p.Plan = spillPlan()
	}
	if p.Length == 0 {
		p.Length = 900 * time.Second
	}
	samples, o := RunWithSpillSamples(p, 30*time.Second)
	for _, p := range samples {
		t.Logf("%4.0fs a %4.0f b %4.0f c %4.0f  out %.2f %.2f %.2f", p.At.Seconds(), p.Used[zoneA], p.Used[zoneB], p.Used[zoneC], p.MovedOut(zoneA), p.MovedOut(zoneB), p.MovedOut(zoneC))
	}
	report(t, o)
	return samples
}

// countPlanChanges returns how often the moved share of a zone changed between two times.
func countPlanChanges(samples []SpillSample, zone ids.Name, from, to time.Duration) int {
	n := 0
	for i, p := range samples {
		if i > 0 && p.At > from && p.At < to {
			if d := p.MovedOut(zone) - samples[i-1].MovedOut(zone); d > 0.02 || d < -0.02 {
				n++
			}
		}
	}
	return n
}

// After a load step the moves settle without oscillating, overload no destination and end after the
// step, with short and with long-lived connections.
func TestSpill_StepLoadSettles(t *testing.T) {
	for _, hold := range []time.Duration{0, 2 * time.Minute} {
		t.Run(hold.String(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			samples := runSpill(t, Options{Seed: 1, Rate: 40, ConnectionLifetime: hold, ClientZone: stepLoad(zoneA)})
			for _, p := range samples {
				if p.At > 300*time.Second && p.At < stepUntil {
					is.True(p.Used[zoneA] < 550*1.1 && p.Used[zoneA] > 350) // settled near its target
					is.True(p.MovedOut(zoneA) > 0)
				}
				if p.At > 850*time.Second && p.At < 900*time.Second {
					is.Equal(p.MovedOut(zoneA), 0.0) // all moves ended
				}
				is.True(p.Used[zoneB] < 500 && p.Used[zoneC] < 500) // no destination exceeds its target
			}
			is.True(countPlanChanges(samples, zoneA, 240*time.Second, stepUntil) <= 1)
			is.Equal(countPlanChanges(samples, zoneB, 0, time.Hour)+countPlanChanges(samples, zoneC, 0, time.Hour), 0)
		})
	}
}

// Two hot zones together fill a third one only up to its acceptable level.
func TestSpill_TwoHotZonesShareOneDestination(t *testing.T) {
	is := is.New(t)
	for _, p := range runSpill(t, Options{Seed: 2, Rate: 66, Length: 600 * time.Second, ClientZone: stepLoad(zoneA, zoneB)}) {
		is.True(p.At < 90*time.Second || p.At > stepUntil || p.Used[zoneC] < 400*1.1)
		if p.At > 300*time.Second && p.At < stepUntil {
			is.True(p.Used[zoneA] < 550*1.1 && p.Used[zoneB] < 550*1.1)
			is.True(p.MovedOut(zoneA)+p.MovedOut(zoneB) > 0)
		}
	}
}

// When the planner is killed and returns during moves, each new planner raises the epoch and
// continues from the current table.
func TestSpill_PlannerLostDuringMoves(t *testing.T) {
	is := is.New(t)
	var epochs []ids.Epoch
	samples := runSpill(t, Options{Seed: 3, Rate: 40, Length: 600 * time.Second, ClientZone: stepLoad(zoneA), Script: func(w *World) {
		w.schedule(180*time.Second, func() {
			epochs = append(epochs, w.currentPlanner().SpillTable().Epoch)
			w.restartProcess(w.processes[3], 100*time.Second) // registry-1, the first planner
		})
		w.schedule(250*time.Second, func() { epochs = append(epochs, w.currentPlanner().SpillTable().Epoch) })
		w.schedule(400*time.Second, func() { epochs = append(epochs, w.currentPlanner().SpillTable().Epoch) })
	}})
	is.Equal(len(epochs), 3)
	is.True(epochs[0] < epochs[1] && epochs[1] < epochs[2])
	for _, p := range samples {
		if p.At > 150*time.Second && p.At < stepUntil {
			is.True(p.MovedOut(zoneA) > 0.1) // the last table stays in effect
			is.True(p.Used[zoneA] < 600)
		}
	}
}

// When a destination is drained during moves, it receives no more traffic and the moves go to
// another zone.
func TestSpill_DrainedDestinationGetsNothing(t *testing.T) {
	is := is.New(t)
	for _, p := range runSpill(t, Options{Seed: 4, Rate: 40, Length: 600 * time.Second, ClientZone: stepLoad(zoneA), Script: func(w *World) {
		w.schedule(240*time.Second, func() { w.setDrained(zoneC, true, func() { w.operators.drainedZone = zoneC }) })
	}}) {
		for _, m := range p.Moves {
			if p.At > 320*time.Second && p.At < stepUntil {
				is.Equal(m.To, zoneB)
			}
		}
		if p.At > 300*time.Second && p.At < stepUntil {
			is.Equal(p.Used[zoneC], 0.0)
		}
	}
}

// A destination whose reports are missing receives no additional traffic, and its existing moves
// decrease to zero.
func TestSpill_DestinationWithoutReportsLosesMoves(t *testing.T) {
	is := is.New(t)
	reportsDropped := false
	p := Options{Seed: 5, Rate: 40, Length: 600 * time.Second, ClientZone: stepLoad(zoneA), Script: func(w *World) {
		w.schedule(240*time.Second, func() { reportsDropped = true })
		w.schedule(580*time.Second, func() { reportsDropped = false })
	}}
	p.Defect.AlterMessage = func(from, _ string, msg any) (any, bool) {
		_, is := msg.(spill.Report)
		return msg, !is || !reportsDropped || from != "proxy-3"
	}
	to := func(p SpillSample) float64 {
		sum := 0.0
		for _, m := range p.Moves {
			if m.To == zoneC {
				sum += m.Fraction
			}
		}
		return sum
	}
	last := 9.0
	for _, p := range runSpill(t, p) {
		if p.At > 270*time.Second && p.At < 580*time.Second {
			is.True(to(p) <= last+1e-9)
			last = to(p)
		}
	}
	is.True(last < 0.05)
}

// The configured maximum is too high. The planner must learn from measured latencies, which exceed
// 20 ms at 560 ms/s, to move traffic away at that usage.
func TestSpill_UsesLearnedMaximum(t *testing.T) {
	is := is.New(t)
	slow := func(used float64) time.Duration {
		return time.Duration((2 + 18*(used/560)*(used/560)) * float64(time.Millisecond))
	}
	plan := spillPlan()
	plan.MaximumLoad = 800
	settled := map[bool]float64{}
	for _, learns := range []bool{false, true} {
		p := Options{Seed: 6, Rate: 42, Length: 600 * time.Second, ClientZone: stepLoad(zoneA), Plan: plan}
		if learns {
			p.LatencyAtUsage = slow
		}
		n := 0.0
		for _, sample := range runSpill(t, p) {
			if sample.At > 330*time.Second && sample.At < stepUntil {
				settled[learns] += sample.Used[zoneA]
				n++
			}
		}
		settled[learns] /= n
	}
	t.Logf("the hot zone settles at %.0f ms/s with the configured maximum, at %.0f ms/s with the learned one", settled[false], settled[true])
	is.True(settled[false] > 600) // the usage passes 560 ms/s, where latency exceeds 20 ms
	is.True(settled[true] < 560)
}
