package simulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/spill"
	"dunlinwell/internal/testsupport/blueprint"
	"dunlinwell/internal/testsupport/checker"
)

const (
	// heatFrom and heatTill bound the load of the hot zones.
	heatFrom   = 60 * time.Second
	heatTill   = 400 * time.Second
	heatLength = 640 * time.Second
	reportsOff = 70 * time.Second
)

// Hot is a run in which several zones are hot, with tiers, distances and loads
// drawn from the seed: some clients hold their connections for minutes, and the
// planner is lost, reports stay away, a zone is emptied and taken back, and
// operators storm meanwhile. Nothing of that excuses a held connection.
func Hot(seed uint64) Options {
	random := rand.New(rand.NewPCG(seed, 0x686f74))
	far := map[[2]ids.Name]int{}
	p := blueprint.Plan{
		Name: "hot", Regions: 5, Zones: 5, Proxies: 5, Rate: 64 + 10*random.Float64(), Target: 500, Maximum: 550,
		Pools:   []blueprint.Pool{{Service: "catalog", Targets: 10, Capacity: 16, Tier: 3}, {Service: "ledger", Targets: 5, Capacity: 16, Tier: 8}},
		Latency: func(a, b ids.Name) int { return far[[2]ids.Name{min(a, b), max(a, b)}] },
	}
	for i := range p.Zones {
		for k := range i {
			a, b := p.Zone(i), p.Zone(k)
			far[[2]ids.Name{min(a, b), max(a, b)}] = 2 + random.IntN(40)
		}
	}
	tiers := random.Perm(10)
	for i, share := range []float64{0.4, 0.35, 0.25} {
		p.Routes = append(p.Routes, blueprint.Route{
			Name: ids.Name(fmt.Sprintf("way-%d", i)), Prefix: fmt.Sprintf("/way-%d", i), Service: p.Pools[i%2].Service,
			Tier: tiers[i], Repeatable: i != 1, Share: share,
		})
	}
	hot := random.Perm(p.Zones)[:1+random.IntN(2)]
	quiet := p.Zone(random.IntN(p.Zones))
	off := time.Duration(120+random.IntN(200)) * time.Second
	h := Options{Seed: seed, Plan: p, Length: heatLength, FaultEvery: -1, HoldConnectionsFor: 2 * time.Minute, BriefConnectionShare: 0.7}
	h.Hot = func(w *World, drawn ids.Name) ids.Name {
		if at := time.Duration(w.now); at > heatFrom && at < heatTill && w.random.IntN(100) < 45+len(hot)*15 {
			return p.Zone(hot[w.random.IntN(len(hot))])
		}
		return drawn
	}
	var world *World
	// Reports of one proxy stay away for a while.
	h.Defect.Message = func(from, _ string, msg any) (any, bool) {
		if _, report := msg.(spill.Report); !report || world == nil {
			return msg, true
		}
		at := time.Duration(world.now)
		return msg, at < off || at > off+reportsOff || world.named(from).zone != quiet
	}
	h.Script = func(w *World) {
		world = w
		w.Checker.NoFaults = true
		// A zone without reports receives nothing, however near it is.
		w.judgeOrder(func(c ids.Name) bool {
			at := time.Duration(w.now)
			return w.operators.drainedZone != c && (c != quiet || at < off || at > off+reportsOff+2*w.PlanEvery)
		})
		w.later(time.Duration(100+random.IntN(250))*time.Second, func() { w.bounce(w.some(membership.Registry), 40*time.Second) })
		w.every(150*time.Second, 400*millisecond, 60, func(i int) { w.put(i+1, i%blueprint.RoutePairs) })
		w.every(90*time.Second, 130*time.Second, 3, func(int) { w.emptyZone() })
	}
	return h
}

// sampleEvery is how often the load that zones really carry is looked at.
const sampleEvery = 5 * time.Second

// judgeOrder lets the witness judge the order of moves, by the configuration as it
// was set, the directory's answers, and what the zones' proxies carried.
func (w *World) judgeOrder(open func(ids.Name) bool) {
	o := checker.SpillOrder{Every: w.PlanEvery, Tier: map[ids.Name]int{}, Acceptable: map[ids.Name]float64{}, Distance: w.Plan.Distance}
	tier := map[ids.Name]int{}
	for _, p := range w.Plan.Pools {
		tier[p.Service] = p.Tier
	}
	for _, way := range w.Plan.Routes {
		o.Tier[way.Name] = way.Tier*10 + tier[way.Service]
	}
	for i := range w.Plan.Zones {
		o.Acceptable[w.Plan.Zone(i)] = w.Plan.Target * 0.8
	}
	w.Checker.SetSpillOrder(o)
	last := w.costs()
	var again func()
	again = func() {
		now := w.costs()
		for i := range w.Plan.Zones {
			c := w.Plan.Zone(i)
			w.Checker.ZoneUsage(w.clock(), c, (now[c]-last[c])/sampleEvery.Seconds(), open(c))
		}
		last = now
		w.later(sampleEvery, again)
	}
	w.later(sampleEvery, again)
}
