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

// spillPlan is the small fleet with zones that can be filled: acceptable 400,
// target 500, maximum 550 ms/s each.
func spillPlan() blueprint.Plan {
	p := blueprint.Plans["small"]
	p.Target = 500
	return p
}

// stepLoad moves four of five clients to one of the hot zones while the step lasts.
func stepLoad(hot ...ids.Name) func(*World, ids.Name) ids.Name {
	return func(w *World, drawn ids.Name) ids.Name {
		if now := time.Duration(w.now); now >= stepFrom && now < stepUntil && w.random.IntN(5) > 0 {
			return hot[w.random.IntN(len(hot))]
		}
		return drawn
	}
}

// runSpill runs a load on the spill plan and logs its points.
func runSpill(t *testing.T, p Options) []Point {
	t.Helper()
	p.PlanEvery, p.FaultEvery = 30*time.Second, -1
	if p.Plan.Name == "" {
		p.Plan = spillPlan()
	}
	if p.Length == 0 {
		p.Length = 900 * time.Second
	}
	points, o := Spill(p, 30*time.Second)
	for _, p := range points {
		t.Logf("%4.0fs a %4.0f b %4.0f c %4.0f  out %.2f %.2f %.2f", p.At.Seconds(), p.Used[zoneA], p.Used[zoneB], p.Used[zoneC], p.Out(zoneA), p.Out(zoneB), p.Out(zoneC))
	}
	report(t, o)
	return points
}

// countPlanChanges counts how often a zone's share was planned anew between two times.
func countPlanChanges(points []Point, zone ids.Name, from, to time.Duration) int {
	n := 0
	for i, p := range points {
		if i > 0 && p.At > from && p.At < to {
			if d := p.Out(zone) - points[i-1].Out(zone); d > 0.02 || d < -0.02 {
				n++
			}
		}
	}
	return n
}

// A step of load settles without swinging, overfills nobody, and goes home;
// with short connections and with ones that are held for minutes.
func TestSpill_StepLoadSettles(t *testing.T) {
	for _, hold := range []time.Duration{0, 2 * time.Minute} {
		t.Run(hold.String(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			points := runSpill(t, Options{Seed: 1, Rate: 40, HoldConnectionsFor: hold, Hot: stepLoad(zoneA)})
			for _, p := range points {
				if p.At > 300*time.Second && p.At < stepUntil {
					is.True(p.Used[zoneA] < 550*1.1 && p.Used[zoneA] > 350) // settled around its target
					is.True(p.Out(zoneA) > 0)
				}
				if p.At > 850*time.Second && p.At < 900*time.Second {
					is.Equal(p.Out(zoneA), 0.0) // all of it went home
				}
				is.True(p.Used[zoneB] < 500 && p.Used[zoneC] < 500) // no destination passes its target
			}
			is.True(countPlanChanges(points, zoneA, 240*time.Second, stepUntil) <= 1)
			is.Equal(countPlanChanges(points, zoneB, 0, time.Hour)+countPlanChanges(points, zoneC, 0, time.Hour), 0)
		})
	}
}

// Two hot zones and one that has room: it is filled up to its acceptable
// level, by both together.
func TestSpill_TwoHotZonesShareOneDestination(t *testing.T) {
	is := is.New(t)
	for _, p := range runSpill(t, Options{Seed: 2, Rate: 66, Length: 600 * time.Second, Hot: stepLoad(zoneA, zoneB)}) {
		is.True(p.At < 90*time.Second || p.At > stepUntil || p.Used[zoneC] < 400*1.1)
		if p.At > 300*time.Second && p.At < stepUntil {
			is.True(p.Used[zoneA] < 550*1.1 && p.Used[zoneB] < 550*1.1)
			is.True(p.Out(zoneA)+p.Out(zoneB) > 0)
		}
	}
}

// The planner is killed in the midst of moves, and comes back: the next one
// raises the epoch and goes on from the table, and nothing jumps.
func TestSpill_PlannerLostDuringMoves(t *testing.T) {
	is := is.New(t)
	var epochs []ids.Epoch
	points := runSpill(t, Options{Seed: 3, Rate: 40, Length: 600 * time.Second, Hot: stepLoad(zoneA), Script: func(w *World) {
		w.schedule(180*time.Second, func() {
			epochs = append(epochs, w.currentPlanner().SpillTable().Epoch)
			w.restartProcess(w.processes[3], 100*time.Second) // registry-1, first in the agreed order
		})
		w.schedule(250*time.Second, func() { epochs = append(epochs, w.currentPlanner().SpillTable().Epoch) })
		w.schedule(400*time.Second, func() { epochs = append(epochs, w.currentPlanner().SpillTable().Epoch) })
	}})
	is.Equal(len(epochs), 3)
	is.True(epochs[0] < epochs[1] && epochs[1] < epochs[2])
	for _, p := range points {
		if p.At > 150*time.Second && p.At < stepUntil {
			is.True(p.Out(zoneA) > 0.1) // the last table holds
			is.True(p.Used[zoneA] < 600)
		}
	}
}

// A destination is emptied in the midst of moves: it gets nothing from then on,
// which the checker judges, and what moved there goes elsewhere.
func TestSpill_DrainedDestinationGetsNothing(t *testing.T) {
	is := is.New(t)
	for _, p := range runSpill(t, Options{Seed: 4, Rate: 40, Length: 600 * time.Second, Hot: stepLoad(zoneA), Script: func(w *World) {
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

// A destination whose reports stay away receives nothing more, and what moves
// there already expires in steps.
func TestSpill_DestinationWithoutReportsLosesMoves(t *testing.T) {
	is := is.New(t)
	silent := false
	p := Options{Seed: 5, Rate: 40, Length: 600 * time.Second, Hot: stepLoad(zoneA), Script: func(w *World) {
		w.schedule(240*time.Second, func() { silent = true })
		w.schedule(580*time.Second, func() { silent = false })
	}}
	p.Defect.Message = func(from, _ string, msg any) (any, bool) {
		_, is := msg.(spill.Report)
		return msg, !is || !silent || from != "proxy-3"
	}
	to := func(p Point) float64 {
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

// The default maximum is set far too high. It is learned from what the proxies
// measure that latency passes 20 ms at 560 ms/s, and the zone sheds there.
func TestSpill_UsesLearnedMaximum(t *testing.T) {
	is := is.New(t)
	slow := func(used float64) time.Duration {
		return time.Duration((2 + 18*(used/560)*(used/560)) * float64(time.Millisecond))
	}
	plan := spillPlan()
	plan.Maximum = 800
	settled := map[bool]float64{}
	for _, learns := range []bool{false, true} {
		p := Options{Seed: 6, Rate: 42, Length: 600 * time.Second, Hot: stepLoad(zoneA), Plan: plan}
		if learns {
			p.Latency = slow
		}
		n := 0.0
		for _, x := range runSpill(t, p) {
			if x.At > 330*time.Second && x.At < stepUntil {
				settled[learns] += x.Used[zoneA]
				n++
			}
		}
		settled[learns] /= n
	}
	t.Logf("the hot cell settles at %.0f ms/s by the default, at %.0f by what was learned", settled[false], settled[true])
	is.True(settled[false] > 600) // nothing moved: 20 ms were long passed
	is.True(settled[true] < 560)
}
