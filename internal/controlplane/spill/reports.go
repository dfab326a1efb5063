package spill

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
)

// reportsMissedUntilStale is how many intervals without a report make a proxy's stale.
const reportsMissedUntilStale = 3

const maxSamples = 500

// Reports keeps the newest report of every proxy, and samples of each zone.
type Reports struct {
	latest     map[ids.DaemonID]proxyReports
	samples    map[ids.Name][]Sample
	demand     map[ids.Name]map[ids.Name]float64
	stalePlans map[ids.Name]int
	// AveragingWindow is what the planner averages over.
	AveragingWindow time.Duration
}

// NewBooks makes empty books.
func NewReports() *Reports {
	return &Reports{
		latest: map[ids.DaemonID]proxyReports{}, samples: map[ids.Name][]Sample{},
		demand: map[ids.Name]map[ids.Name]float64{}, stalePlans: map[ids.Name]int{}, AveragingWindow: defaultAveragingWindow,
	}
}

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
