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

// SpillSample is a sample of the spill-over: the usage of each zone and the moves in effect.
type SpillSample struct {
	At    time.Duration
	Used  map[ids.Name]float64
	Moves []spill.Move
}

// MovedOut returns the sum, over all moves from a zone, of the shares of new connections that are
// sent to other zones.
func (p SpillSample) MovedOut(zone ids.Name) float64 {
	sum := 0.0
	for _, m := range p.Moves {
		if m.From == zone {
			sum += m.Fraction
		}
	}
	return sum
}

// sampleSpill appends a sample at every interval, from the planner's table and the CPU time that
// each zone's proxies used.
func (w *World) sampleSpill(every time.Duration, samples *[]SpillSample) {
	last := map[ids.Name]float64{}
	var sample func()
	sample = func() {
		now := w.cpuByZone()
		current := SpillSample{At: time.Duration(w.now), Used: map[ids.Name]float64{}}
		for _, zone := range slices.Sorted(maps.Keys(now)) {
			current.Used[zone] = (now[zone] - last[zone]) / every.Seconds()
		}
		last = now
		if planner := w.currentPlanner(); planner != nil {
			current.Moves = planner.SpillTable().Moves
		}
		*samples = append(*samples, current)
		w.schedule(every, sample)
	}
	w.schedule(every, sample)
}

// cpuByZone returns the CPU time, in milliseconds, that each zone's proxies have used since the
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

// currentPlanner returns the registry with the newest spill table, or nil if no registry is up.
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

// RunWithSpillSamples performs a run and returns its spill-over samples and its outcome.
func RunWithSpillSamples(p Options, every time.Duration) ([]SpillSample, Outcome) {
	var samples []SpillSample
	script := p.Script
	p.Script = func(w *World) {
		w.sampleSpill(every, &samples)
		if script != nil {
			script(w)
		}
	}
	o := Run(p)
	return samples, o
}
