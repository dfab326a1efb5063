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

// Point is how the spill stands at one time: what each zone uses, as its
// proxies measured it, and the moves in force.
type Point struct {
	At    time.Duration
	Used  map[ids.Name]float64
	Moves []spill.Move
}

// Out is the share of a zone's fresh connections that is handed on, all routes.
func (p Point) Out(zone ids.Name) float64 {
	sum := 0.0
	for _, m := range p.Moves {
		if m.From == zone {
			sum += m.Fraction
		}
	}
	return sum
}

// watch takes a point every so often, from the planner's own table and from
// what the requests cost where they were really carried.
func (w *World) watch(every time.Duration, points *[]Point) {
	last := map[ids.Name]float64{}
	var again func()
	again = func() {
		now := w.costs()
		p := Point{At: time.Duration(w.now), Used: map[ids.Name]float64{}}
		for _, c := range slices.Sorted(maps.Keys(now)) {
			p.Used[c] = (now[c] - last[c]) / every.Seconds()
		}
		last = now
		if f := w.planner(); f != nil {
			p.Moves = f.SpillTable().Moves
		}
		*points = append(*points, p)
		w.later(every, again)
	}
	w.later(every, again)
}

// costs sums what each zone's proxies have spent since the start.
func (w *World) costs() map[ids.Name]float64 {
	out := map[ids.Name]float64{}
	for i := range w.Plan.Zones {
		out[w.Plan.Zone(i)] = 0
	}
	for _, p := range w.procs {
		if p.role == membership.Proxy {
			out[p.zone] += p.total
		}
	}
	return out
}

// planner gives the registry with the newest table.
func (w *World) planner() *registry.Registry {
	var list []*registry.Registry
	for _, p := range w.procs {
		if f, ok := p.machine.(*registry.Registry); ok && p.up {
			list = append(list, f)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return slices.MaxFunc(list, func(a, b *registry.Registry) int {
		return cmp.Or(cmp.Compare(a.SpillTable().Epoch, b.SpillTable().Epoch), cmp.Compare(a.SpillTable().Number, b.SpillTable().Number))
	})
}

// Spill plays a load without faults but for the script, and gives its points.
func Spill(p Options, every time.Duration) ([]Point, Outcome) {
	var points []Point
	script := p.Script
	p.Script = func(w *World) {
		w.watch(every, &points)
		if script != nil {
			script(w)
		}
	}
	o := Run(p)
	return points, o
}
