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
	// hotZonesFrom and hotZonesUntil are the start and the end of the overload.
	hotZonesFrom  = 60 * time.Second
	hotZonesUntil = 400 * time.Second
	// hotRunLength leaves time after the overload for all moves to end.
	hotRunLength = 640 * time.Second
	// reportsMissingFor is how long one zone's reports are lost.
	reportsMissingFor = 70 * time.Second
)

// HotZoneOptions returns the options of a run in which one or two zones are overloaded, with tiers,
// distances and loads drawn from the seed. Some clients keep connections for minutes. During the
// run a registry restarts, a zone's reports are lost, zones are drained and restored, and operators
// send many changes. No long-lived connection may be closed because of that.
func HotZoneOptions(seed uint64) Options {
	random := rand.New(rand.NewPCG(seed, 0x686f74))
	plan := hotPlan(random)
	hotZones := random.Perm(plan.Zones)[:1+random.IntN(2)]
	unreportedZone := plan.Zone(random.IntN(plan.Zones))
	reportsMissingFrom := time.Duration(120+random.IntN(200)) * time.Second
	options := Options{Seed: seed, Plan: plan, Length: hotRunLength, FaultEvery: -1, ConnectionLifetime: 2 * time.Minute, ShortConnectionShare: 0.7}
	options.ClientZone = func(w *World, drawn ids.Name) ids.Name {
		if at := time.Duration(w.now); at > hotZonesFrom && at < hotZonesUntil && w.random.IntN(100) < 45+len(hotZones)*15 {
			return plan.Zone(hotZones[w.random.IntN(len(hotZones))])
		}
		return drawn
	}
	var world *World
	// Drop one zone's reports for reportsMissingFor.
	options.Defect.AlterMessage = func(from, _ string, msg any) (any, bool) {
		if _, report := msg.(spill.Report); !report || world == nil {
			return msg, true
		}
		at := time.Duration(world.now)
		return msg, at < reportsMissingFrom || at > reportsMissingFrom+reportsMissingFor || world.processByName(from).zone != unreportedZone
	}
	options.Script = func(w *World) {
		world = w
		w.Checker.NoFaults = true
		// A zone without reports must not receive other zones' traffic, however near it is.
		w.checkSpillOrder(func(zone ids.Name) bool {
			at := time.Duration(w.now)
			return w.operators.drainedZone != zone && (zone != unreportedZone || at < reportsMissingFrom || at > reportsMissingFrom+reportsMissingFor+2*w.PlanEvery)
		})
		w.schedule(time.Duration(100+random.IntN(250))*time.Second, func() { w.restartProcess(w.randomProcess(membership.Registry), 40*time.Second) })
		w.repeat(150*time.Second, 400*millisecond, 60, func(i int) { w.putPair(i+1, i%blueprint.RoutePairs) })
		w.repeat(90*time.Second, 130*time.Second, 3, func(int) { w.drainZone() })
	}
	return options
}

// hotPlan returns a plan with random distances between zones and random tiers of routes.
func hotPlan(random *rand.Rand) blueprint.Plan {
	distances := map[[2]ids.Name]int{}
	plan := blueprint.Plan{
		Name: "hot", Regions: 5, Zones: 5, Proxies: 5, Rate: 64 + 10*random.Float64(), TargetLoad: 500, MaximumLoad: 550,
		Pools:   []blueprint.Pool{{Service: "catalog", Targets: 10, Capacity: 16, Tier: 3}, {Service: "ledger", Targets: 5, Capacity: 16, Tier: 8}},
		Latency: func(a, b ids.Name) int { return distances[[2]ids.Name{min(a, b), max(a, b)}] },
	}
	for i := range plan.Zones {
		for k := range i {
			a, b := plan.Zone(i), plan.Zone(k)
			distances[[2]ids.Name{min(a, b), max(a, b)}] = 2 + random.IntN(40)
		}
	}
	tiers := random.Perm(10)
	for i, share := range []float64{0.4, 0.35, 0.25} {
		plan.Routes = append(plan.Routes, blueprint.Route{
			Name: ids.Name(fmt.Sprintf("way-%d", i)), Prefix: fmt.Sprintf("/way-%d", i), Service: plan.Pools[i%2].Service,
			Tier: tiers[i], Repeatable: i != 1, Share: share,
		})
	}
	return plan
}

// sampleEvery is the interval at which the usage of zones is measured.
const sampleEvery = 5 * time.Second

// checkSpillOrder gives the checker the tiers, levels and distances of the plan and periodically
// each zone's usage, so that it can check the order of moves. The open function reports whether a
// zone may currently receive other zones' traffic.
func (w *World) checkSpillOrder(open func(ids.Name) bool) {
	order := checker.SpillOrder{PlanInterval: w.PlanEvery, Tier: map[ids.Name]int{}, Acceptable: map[ids.Name]float64{}, Distance: w.Plan.Distance}
	tier := map[ids.Name]int{}
	for _, pool := range w.Plan.Pools {
		tier[pool.Service] = pool.Tier
	}
	for _, route := range w.Plan.Routes {
		order.Tier[route.Name] = route.Tier*10 + tier[route.Service]
	}
	for i := range w.Plan.Zones {
		order.Acceptable[w.Plan.Zone(i)] = w.Plan.TargetLoad * 0.8
	}
	w.Checker.SetSpillOrder(order)
	last := w.cpuByZone()
	var sample func()
	sample = func() {
		now := w.cpuByZone()
		for i := range w.Plan.Zones {
			zone := w.Plan.Zone(i)
			w.Checker.ZoneUsage(w.wallTime(), zone, (now[zone]-last[zone])/sampleEvery.Seconds(), open(zone))
		}
		last = now
		w.schedule(sampleEvery, sample)
	}
	w.schedule(sampleEvery, sample)
}
