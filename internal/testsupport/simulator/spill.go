package simulator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/controlplane/spill"
)

// Point is the state of the spill-over at one time: the usage of each zone, as its proxies measured
// it, and the moves in force.
type Point struct {
	At    time.Duration
	Used  map[ids.Name]float64
	Moves []spill.Move
}

// Out returns the sum over all routes of the shares of a zone's new connections that are sent
// elsewhere.
func (p Point) Out(zone ids.Name) float64 {
	sum := 0.0
	for _, m := range p.Moves {
		if m.From == zone {
			sum += m.Fraction
		}
	}
	return sum
}

// sampleSpill takes a point at every interval, from the planner's table and from what requests cost
// where they were executed.
func (w *World) sampleSpill(every time.Duration, points *[]Point) {
	last := map[ids.Name]float64{}
	var sample func()
	sample = func() {
		now := w.cpuByZone()
		point := Point{At: time.Duration(w.now), Used: map[ids.Name]float64{}}
		for _, zone := range slices.Sorted(maps.Keys(now)) {
			point.Used[zone] = (now[zone] - last[zone]) / every.Seconds()
		}
		last = now
		if planner := w.currentPlanner(); planner != nil {
			point.Moves = planner.SpillTable().Moves
		}
		*points = append(*points, point)
		w.schedule(every, sample)
	}
	w.schedule(every, sample)
}

// cpuByZone sums the CPU time, in milliseconds, that each zone's proxies have spent since the
// start.
func (w *World) cpuByZone() map[ids.Name]float64 {
	out := map[ids.Name]float64{}
	for i := range w.Plan.Zones {
		out[w.Plan.Zone(i)] = 0
	}
	for _, p := range w.processes {
		if p.role == membership.Proxy {
			out[p.zone] += p.cpuMillis
		}
	}
	return out
}

// currentPlanner returns the registry with the newest table; nil if none is up.
func (w *World) currentPlanner() *registry.Registry {
	var candidates []*registry.Registry
	for _, p := range w.processes {
		if candidate, ok := p.machine.(*registry.Registry); ok && p.up {
			candidates = append(candidates, candidate)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return slices.MaxFunc(candidates, func(a, b *registry.Registry) int {
		return cmp.Or(cmp.Compare(a.SpillTable().Epoch, b.SpillTable().Epoch), cmp.Compare(a.SpillTable().Number, b.SpillTable().Number))
	})
}

// Spill runs a load with no faults but those of the script, and returns its points.
func Spill(p Options, every time.Duration) ([]Point, Outcome) {
	var points []Point
	script := p.Script
	p.Script = func(w *World) {
		w.sampleSpill(every, &points)
		if script != nil {
			script(w)
		}
	}
	o := Run(p)
	return points, o
}
