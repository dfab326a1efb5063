package registry

import (
	"strconv"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/spill"
	"dunlinwell/internal/state/election"
)

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// plannerState is the spill as one registry has it: the table it goes by, and, while
// the duty is its own, what it plans from.
type plannerState struct {
	spillTable            spill.Table
	spillTableConfirmedAt ids.Time
	highestEpoch          ids.Epoch
	ownEpoch              ids.Epoch
	campaigning           bool
	// steppedDownAt is when this run last gave the duty up or lost it.
	steppedDownAt ids.Time
	nextPlan      ids.Time
	nextBroadcast ids.Time
	forecasts     map[ids.Name]forecast
	learnedMaxima map[ids.Name]spill.Fit
}

// forecastPlans is for how many plans a move is charged while it doesn't show.
const forecastPlans = 6

// forecast is what a zone should come to use after a plan.
type forecast struct {
	change        float64
	expectedUsage float64
	plannedAt     ids.Time
}

func newPlannerState() plannerState {
	return plannerState{forecasts: map[ids.Name]forecast{}, learnedMaxima: map[ids.Name]spill.Fit{}}
}

// handleSpillTable goes by another registry's plan, unless it was made under an epoch
// that has ended. Whoever made it is told so: it may not have heard of the taking
// that ended its own, and would plan for nobody.
func (r *Registry) handleSpillTable(now ids.Time, from ids.Address, table spill.Table) {
	if table.Epoch < r.highestEpoch {
		r.Send(from, election.Term{Epoch: r.highestEpoch})
		return
	}
	r.observeEpoch(now, table.Epoch)
	if table.Newer(r.spillTable) {
		r.spillTable = table
		r.Log(event.LevelInfo, "moves", "epoch", formatUint(uint64(table.Epoch)), "number", formatUint(uint64(table.Number)), "count", formatUint(uint64(len(table.Moves))))
	}
	if !r.spillTable.Newer(table) {
		r.spillTableConfirmedAt = now
	}
}

func (r *Registry) broadcastSpillTable() {
	for _, m := range r.Live(membership.Registry) {
		if m.ID != r.Self.ID {
			r.Send(m.Address, r.spillTable)
		}
	}
}

func (r *Registry) liveProxies() []spill.LiveProxy {
	var out []spill.LiveProxy
	for _, m := range r.Live(membership.Proxy) {
		out = append(out, spill.LiveProxy{ID: m.ID, RunID: m.RunID, Zone: m.Zone})
	}
	return out
}

func (r *Registry) routeRanks() map[ids.Name]spill.Rank {
	out := map[ids.Name]spill.Rank{}
	for name, route := range r.view.Routes {
		out[name] = spill.Rank{Tier: route.Tier, Service: r.view.Services[route.Service].Tier, Route: name}
	}
	return out
}

// currentZones draws up every zone of the configuration as of now.
func (r *Registry) currentZones(now ids.Time) map[ids.Name]spill.Zone {
	seats, ranks := r.liveProxies(), r.routeRanks()
	bears := r.zoneCapacities(now)
	out := map[ids.Name]spill.Zone{}
	for n, c := range r.view.Zones {
		h := r.Reports.BuildZone(now, n, seats, ranks)
		h.Target, h.Acceptable, h.Maximum, h.Drained = c.TargetLoad, c.AcceptableLoad, c.MaximumLoad, c.Drained
		if c.LoadDefaulted && r.options.DeriveLevels {
			r.deriveLevels(&h, bears[n])
			out[n] = h
			continue
		}
		if fit, ok := r.learnedMaxima[n]; ok && fit.Learned {
			h.Maximum = max(fit.Maximum, c.TargetLoad*1.02)
		}
		out[n] = h
	}
	return out
}

// plan makes the next table from the last one and the books.
func (r *Registry) plan(now ids.Time) {
	r.Reports.Prune(r.liveProxies())
	view := spill.PlannerInput{
		Distance: r.view.Distance, Ranks: r.routeRanks(),
		PendingIn: map[ids.Name]float64{}, PendingOut: map[ids.Name]float64{},
	}
	for n, c := range r.view.Zones {
		if c.LoadDefaulted && r.options.DeriveLevels {
			continue
		}
		r.learnedMaxima[n] = spill.LearnMaximum(r.Reports.Samples(n), c.TargetLoad, c.MaximumLoad)
	}
	zones := r.currentZones(now)
	for _, n := range sortedNames(zones) {
		c := zones[n]
		c.StalePlans = r.Reports.CountStalePlans(c)
		r.Reports.RecordDemand(c, r.spillTable.Moves)
		view.Zones = append(view.Zones, c)
		r.chargeForecast(now, c, view)
	}
	moves := spill.Plan(view, r.spillTable.Moves)
	r.recordForecasts(now, zones, r.spillTable.Moves, moves)
	r.spillTable = spill.Table{Epoch: r.ownEpoch, Number: r.spillTable.Number + 1, Moves: moves, Demands: r.Reports.RouteDemands(moves)}
	r.spillTableConfirmedAt = now
	r.Log(event.LevelInfo, "planned", "epoch", formatUint(uint64(r.ownEpoch)), "number", formatUint(uint64(r.spillTable.Number)), "moves", formatUint(uint64(len(moves))))
}

// chargeForecast adds what earlier plans moved and reports can't show yet.
func (r *Registry) chargeForecast(now ids.Time, zone spill.Zone, view spill.PlannerInput) {
	expected, ok := r.forecasts[zone.Name]
	// Live connections stay, so a move shows only as they end by themselves. What
	// it was to bring is charged in full at first, then ever less.
	left := 1 - float64(now.Sub(expected.plannedAt))/float64(forecastPlans*r.options.PlanEvery)
	if !ok || left <= 0 {
		delete(r.forecasts, zone.Name)
		return
	}
	expected.change *= left
	used := zone.Used()
	if expected.change > 0 {
		view.PendingIn[zone.Name] = min(expected.change, max(0, expected.expectedUsage-used))
	} else {
		view.PendingOut[zone.Name] = min(-expected.change, max(0, used-expected.expectedUsage))
	}
}

// recordForecasts notes what each zone should come to use by the change of moves.
func (r *Registry) recordForecasts(now ids.Time, zones map[ids.Name]spill.Zone, old, next []spill.Move) {
	delta := map[ids.Name]float64{}
	sum := func(list []spill.Move, sign float64) {
		for _, m := range list {
			delta[m.To] += sign * m.PlannedCPU
			delta[m.From] -= sign * m.PlannedCPU
		}
	}
	sum(old, -1)
	sum(next, 1)
	for n, d := range delta {
		if d > 1 || d < -1 {
			r.forecasts[n] = forecast{change: d, expectedUsage: zones[n].Used() + d, plannedAt: now}
		}
	}
}
