package registry

import (
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/spill"
)

const (
	// tableBroadcastInterval is the interval at which the planner resends its table to
	// the other registries.
	tableBroadcastInterval = time.Second
	// forecastPlans is the number of plan intervals over which the forecast effect of a
	// move decays to zero.
	forecastPlans = 6
	// minForecastChange is the change of a zone's load, in milliseconds of CPU time per
	// second, up to which no forecast is recorded.
	minForecastChange = 1
)

// planner is the state of spill planning. Every registry holds the table, which it makes
// itself or receives from the planner; the rest is used only while it leads.
type planner struct {
	// table is the spill table in use.
	table spill.Table
	// tableConfirmedAt is when the table was made here or last received.
	tableConfirmedAt ids.Time
	nextPlan         ids.Time
	nextBroadcast    ids.Time
	// forecasts holds the expected effects of earlier plans, by zone.
	forecasts map[ids.Name]forecast
	// learnedMaxima holds the maximum loads learned from latencies, by zone.
	learnedMaxima map[ids.Name]spill.Fit
}

// forecast is the load that a zone is expected to reach under a plan.
type forecast struct {
	// change is the load that the plan moves into the zone; negative if out of it.
	// Loads are in milliseconds of CPU time per second.
	change float64
	// expectedUsage is the zone's load once the move has taken full effect.
	expectedUsage float64
	plannedAt     ids.Time
}

func newPlanner() planner {
	return planner{forecasts: map[ids.Name]forecast{}, learnedMaxima: map[ids.Name]spill.Fit{}}
}

// tickPlanner makes and broadcasts plans when they are due.
func (r *Registry) tickPlanner(now ids.Time) {
	if now >= r.planner.nextBroadcast {
		r.planner.nextBroadcast = now.Add(tableBroadcastInterval)
		r.sendToPeers(r.planner.table)
	}
	if now >= r.planner.nextPlan {
		r.planner.nextPlan = now.Add(r.options.PlanInterval)
		r.plan(now)
		r.sendToPeers(r.planner.table)
	}
}

// plan makes the next spill table from the last one and the proxies' reports.
func (r *Registry) plan(now ids.Time) {
	p := &r.planner
	r.Reports.Prune(r.liveProxies())
	r.learnMaxima()
	zones := r.currentZones(now)
	moves := spill.Plan(r.plannerInput(now, zones), p.table.Moves)
	p.recordForecasts(now, zones, p.table.Moves, moves)
	p.table = spill.Table{
		Epoch:   r.leadership.ownEpoch,
		Number:  p.table.Number + 1,
		Moves:   moves,
		Demands: r.Reports.RouteDemands(moves),
	}
	p.tableConfirmedAt = now
	r.Log(event.LevelInfo, logSpillPlanMade, "epoch", formatUint(p.table.Epoch), "number", formatUint(p.table.Number), "moves", formatUint(uint64(len(moves))))
}

// learnMaxima learns the maximum load of every zone from its latencies, except for zones
// whose levels are derived from capacities.
func (r *Registry) learnMaxima() {
	for name, zone := range r.configuration.view.Zones {
		if !r.hasDerivedLevels(zone) {
			r.planner.learnedMaxima[name] = spill.LearnMaximum(r.Reports.Samples(name), zone.TargetLoad, zone.MaximumLoad)
		}
	}
}

// plannerInput collects the input of a plan, with zones sorted by name.
func (r *Registry) plannerInput(now ids.Time, zones map[ids.Name]spill.Zone) spill.PlannerInput {
	input := spill.PlannerInput{
		Distance:   r.configuration.view.Distance,
		Ranks:      r.routeRanks(),
		PendingIn:  map[ids.Name]float64{},
		PendingOut: map[ids.Name]float64{},
	}
	for _, name := range sortedNames(zones) {
		zone := zones[name]
		zone.StalePlans = r.Reports.CountStalePlans(zone)
		r.Reports.RecordDemand(zone, r.planner.table.Moves)
		input.Zones = append(input.Zones, zone)
		r.addPendingMoves(now, zone, input)
	}
	return input
}

// addPendingMoves adds the load that earlier plans moved to or from a zone and that reports
// don't show yet: a move affects only new connections, so it takes effect as open ones
// end. The forecast decays linearly over forecastPlans plan intervals.
func (r *Registry) addPendingMoves(now ids.Time, zone spill.Zone, input spill.PlannerInput) {
	expected, known := r.planner.forecasts[zone.Name]
	horizon := forecastPlans * r.options.PlanInterval
	remaining := 1 - float64(now.Sub(expected.plannedAt))/float64(horizon)
	if !known || remaining <= 0 {
		delete(r.planner.forecasts, zone.Name)
		return
	}
	change, used := expected.change*remaining, zone.UsedCPU()
	if change > 0 {
		input.PendingIn[zone.Name] = min(change, max(0, expected.expectedUsage-used))
	} else {
		input.PendingOut[zone.Name] = min(-change, max(0, used-expected.expectedUsage))
	}
}

// recordForecasts records the load that each zone is expected to reach as moves change.
func (p *planner) recordForecasts(now ids.Time, zones map[ids.Name]spill.Zone, previous, next []spill.Move) {
	changes := map[ids.Name]float64{}
	for _, move := range previous {
		changes[move.To] -= move.PlannedCPU
		changes[move.From] += move.PlannedCPU
	}
	for _, move := range next {
		changes[move.To] += move.PlannedCPU
		changes[move.From] -= move.PlannedCPU
	}
	for name, change := range changes {
		if change > minForecastChange || change < -minForecastChange {
			p.forecasts[name] = forecast{change: change, expectedUsage: zones[name].UsedCPU() + change, plannedAt: now}
		}
	}
}

// liveProxies returns the live proxies in the form that spill.Reports takes.
func (r *Registry) liveProxies() []spill.LiveProxy {
	var proxies []spill.LiveProxy
	for _, member := range r.Live(membership.Proxy) {
		proxies = append(proxies, spill.LiveProxy{ID: member.ID, RunID: member.RunID, Zone: member.Zone})
	}
	return proxies
}

// routeRanks returns the order in which routes are moved out of an overloaded zone.
func (r *Registry) routeRanks() map[ids.Name]spill.Rank {
	view := r.configuration.view
	ranks := map[ids.Name]spill.Rank{}
	for name, route := range view.Routes {
		ranks[name] = spill.Rank{Tier: route.Tier, Service: view.Services[route.Service].Tier, Route: name}
	}
	return ranks
}
