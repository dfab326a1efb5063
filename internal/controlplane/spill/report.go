package spill

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// Report is what a proxy tells of its CPU time, every few seconds.
type Report struct {
	Proxy          ids.DaemonID
	RunID          ids.RunID
	Zone           ids.Name
	Number         ids.StreamNumber
	IntervalMillis uint32
	Usage          []ServiceUsage
	// LatencyMicros is the 95th percentile of the proxy's own time for a request,
	// queue and handling without the target's, in microseconds.
	LatencyMicros uint64
	RequestCount  uint64
}

// ServiceUsage is CPU time by route and service in ms a second.
type ServiceUsage struct {
	Route   ids.Name
	Service ids.Name
	CPU     float64
}

// MessageNumber gives the report's number.
func (r Report) MessageNumber() uint64 { return uint64(r.Number) }

var _ = wire.Register(91, Report{})

// reportsMissedUntilStale is how many intervals without a report make a proxy's stale.
const reportsMissedUntilStale = 3

// Reports keeps the newest report of every proxy, and samples of each zone.
type Reports struct {
	latest     map[ids.DaemonID]proxyReports
	samples    map[ids.Name][]Sample
	demand     map[ids.Name]map[ids.Name]float64
	stalePlans map[ids.Name]int
	// AveragingWindow is what the planner averages over.
	AveragingWindow time.Duration
}

// proxyReports is a proxy's newest report, and the earlier ones of the span that
// the planner averages over.
type proxyReports struct {
	Report
	receivedAt ids.Time
	earlier    []proxyReports
}

// defaultAveragingWindow is what the planner averages over. A single report covers so few
// requests that a quiet two seconds would pass for a recovery.
const defaultAveragingWindow = 20 * time.Second

// meanCPUByRoute gives the CPU time by route over the span.
func (p proxyReports) meanCPUByRoute() map[ids.Name]float64 {
	byRoute := map[ids.Name]float64{}
	all := append([]proxyReports{p}, p.earlier...)
	totalMillis := 0.0
	for _, report := range all {
		totalMillis += float64(report.IntervalMillis)
	}
	for _, report := range all {
		for _, usage := range report.Usage {
			byRoute[usage.Route] += usage.CPU * float64(report.IntervalMillis) / max(totalMillis, 1)
		}
	}
	return byRoute
}

// NewBooks makes empty books.
func NewReports() *Reports {
	return &Reports{
		latest: map[ids.DaemonID]proxyReports{}, samples: map[ids.Name][]Sample{},
		demand: map[ids.Name]map[ids.Name]float64{}, stalePlans: map[ids.Name]int{}, AveragingWindow: defaultAveragingWindow,
	}
}

const maxSamples = 500

// Add takes a report; late and doubled ones are left out.
func (r *Reports) Add(now ids.Time, report Report) {
	if e, ok := r.latest[report.Proxy]; ok && e.RunID == report.RunID && report.Number <= e.Number {
		return
	}
	e := proxyReports{Report: report, receivedAt: now}
	if previous, ok := r.latest[report.Proxy]; ok && previous.RunID == report.RunID {
		earlier := append([]proxyReports{{Report: previous.Report, receivedAt: previous.receivedAt}}, previous.earlier...)
		for _, p := range earlier {
			if now.Sub(p.receivedAt) < r.AveragingWindow {
				e.earlier = append(e.earlier, p)
			}
		}
	}
	r.latest[report.Proxy] = e
	// A sample is the zone's whole CPU time with this proxy's latency.
	if report.RequestCount >= 10 {
		samples := append(r.samples[report.Zone], Sample{r.zoneCPU(report.Zone), float64(report.LatencyMicros) / 1000})
		if len(samples) > maxSamples {
			samples = samples[len(samples)-maxSamples:]
		}
		r.samples[report.Zone] = samples
	}
}

func (r *Reports) zoneCPU(zone ids.Name) float64 {
	sum := 0.0
	for _, id := range slices.Sorted(maps.Keys(r.latest)) {
		if latest := r.latest[id]; latest.Zone == zone {
			for _, usage := range latest.Usage {
				sum += usage.CPU
			}
		}
	}
	return sum
}

// LiveProxy is a live proxy as the books need it.
type LiveProxy struct {
	ID    ids.DaemonID
	RunID ids.RunID
	Zone  ids.Name
}

// BuildZone draws up a zone from the reports of its live proxies. One whose live
// proxies have missed reports is stale.
func (r *Reports) BuildZone(now ids.Time, name ids.Name, proxies []LiveProxy, ranks map[ids.Name]Rank) Zone {
	zone := Zone{Name: name, NoProxies: true}
	cpuByRoute := map[ids.Name]float64{}
	for _, proxy := range proxies {
		if proxy.Zone != name {
			continue
		}
		zone.NoProxies = false
		reports, ok := r.latest[proxy.ID]
		if !ok || now.Sub(reports.receivedAt) > reportsMissedUntilStale*time.Duration(reports.IntervalMillis)*time.Millisecond {
			zone.Stale = true
		}
		if ok && reports.RunID == proxy.RunID {
			for route, cpu := range reports.meanCPUByRoute() {
				cpuByRoute[route] += cpu
			}
		}
	}
	for _, n := range slices.Sorted(maps.Keys(cpuByRoute)) {
		rank, ok := ranks[n]
		if !ok {
			rank = Rank{Route: n}
		}
		zone.Usage = append(zone.Usage, RouteUsage{rank, cpuByRoute[n]})
	}
	slices.SortFunc(zone.Usage, func(x, y RouteUsage) int { return cmp.Compare(x.Route, y.Route) })
	return zone
}

// Prune drops proxies that are no longer on the list.
func (r *Reports) Prune(proxies []LiveProxy) {
	for id, e := range r.latest {
		if !slices.ContainsFunc(proxies, func(s LiveProxy) bool { return s.ID == id && s.RunID == e.RunID }) {
			delete(r.latest, id)
		}
	}
}

// Samples gives what a zone's maximum is learned from.
func (r *Reports) Samples(zone ids.Name) []Sample { return r.samples[zone] }

// CountStalePlans counts plans in a row for which a zone was stale.
func (r *Reports) CountStalePlans(zone Zone) int {
	if zone.Stale {
		r.stalePlans[zone.Name]++
	} else {
		r.stalePlans[zone.Name] = 0
	}
	return r.stalePlans[zone.Name]
}

// RecordDemand notes what a living zone's own fresh connections use, so that it is
// known how much to place elsewhere once the zone is gone.
func (r *Reports) RecordDemand(zone Zone, moves []Move) {
	if zone.NoProxies || zone.Stale || zone.Drained {
		return
	}
	demand := map[ids.Name]float64{}
	for _, usage := range zone.Usage {
		demand[usage.Route] = usage.CPU
		for _, m := range moves {
			if m.From == zone.Name && m.Route == usage.Route {
				demand[usage.Route] += m.PlannedCPU
			}
		}
	}
	r.demand[zone.Name] = demand
}

// Demand gives what a zone's fresh connections used when it last was well.
func (r *Reports) Demand(zone ids.Name) float64 {
	sum := 0.0
	for _, n := range slices.Sorted(maps.Keys(r.demand[zone])) {
		sum += r.demand[zone][n]
	}
	return sum
}

// RouteDemands gives what each route uses in the zones that some moves are from.
func (r *Reports) RouteDemands(moves []Move) []RouteDemand {
	var demands []RouteDemand
	seen := map[ids.Name]bool{}
	for _, m := range moves {
		if seen[m.From] {
			continue
		}
		seen[m.From] = true
		for _, n := range slices.Sorted(maps.Keys(r.demand[m.From])) {
			demands = append(demands, RouteDemand{m.From, n, r.demand[m.From][n]})
		}
	}
	return demands
}

// PickRoute picks one of some routes by what each uses in a zone, with a draw from 0
// up to 1; none where nothing is known, as nothing is moved there.
func (t Table) PickRoute(zone ids.Name, routes []ids.Name, draw float64) ids.Name {
	sum, own := 0.0, []RouteDemand{}
	for _, u := range t.Demands {
		if u.Zone == zone && slices.Contains(routes, u.Route) {
			own = append(own, u)
			sum += u.CPU
		}
	}
	for _, u := range own {
		if draw -= u.CPU / max(sum, 1e-9); draw < 0 {
			return u.Route
		}
	}
	return ""
}
