package spill

import (
	"maps"
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
)

// Reports keeps what the planner needs of proxies' reports: the newest of each proxy with
// those of the averaging window, samples of each zone's load and latency, and its demand.
type Reports struct {
	latest  map[ids.DaemonID]proxyReports
	samples map[ids.Name][]Sample
	// demand is the demand of each route by zone, as of when the zone last reported.
	demand map[ids.Name]map[ids.Name]float64
	// stalePlans counts, by zone, the plans in a row for which it was stale.
	stalePlans map[ids.Name]int
	// AveragingWindow is the time that CPU times are averaged over.
	AveragingWindow time.Duration
}

// NewReports returns an empty Reports with the default averaging window.
func NewReports() *Reports {
	return &Reports{
		latest:          map[ids.DaemonID]proxyReports{},
		samples:         map[ids.Name][]Sample{},
		demand:          map[ids.Name]map[ids.Name]float64{},
		stalePlans:      map[ids.Name]int{},
		AveragingWindow: defaultAveragingWindow,
	}
}

// Add takes in a report. Late and repeated ones of the same run are ignored.
func (r *Reports) Add(now ids.Time, report Report) {
	reports := proxyReports{Report: report, receivedAt: now}
	if previous, ok := r.latest[report.Proxy]; ok && previous.RunID == report.RunID {
		if report.Number <= previous.Number {
			return
		}
		reports.earlier = r.withinWindow(now, previous)
	}
	r.latest[report.Proxy] = reports
	r.addSample(report)
}

// withinWindow returns a proxy's reports of the averaging window, newest first.
func (r *Reports) withinWindow(now ids.Time, reports proxyReports) []proxyReports {
	newest := proxyReports{Report: reports.Report, receivedAt: reports.receivedAt}
	var recent []proxyReports
	for _, report := range append([]proxyReports{newest}, reports.earlier...) {
		if now.Sub(report.receivedAt) < r.AveragingWindow {
			recent = append(recent, report)
		}
	}
	return recent
}

const (
	// minSampleRequests is how many requests make a report's latency worth a sample.
	minSampleRequests = 10
	// maxSamples bounds the samples kept of each zone; the oldest are dropped.
	maxSamples = 500
	// microsPerMilli converts latencies.
	microsPerMilli = 1000
)

// addSample adds a sample of the zone's whole CPU time and the reporting proxy's latency.
func (r *Reports) addSample(report Report) {
	if report.RequestCount < minSampleRequests {
		return
	}
	sample := Sample{CPU: r.zoneCPU(report.Zone), LatencyMillis: float64(report.LatencyMicros) / microsPerMilli}
	r.samples[report.Zone] = append(r.samples[report.Zone], sample)
	if surplus := len(r.samples[report.Zone]) - maxSamples; surplus > 0 {
		r.samples[report.Zone] = r.samples[report.Zone][surplus:]
	}
}

// zoneCPU returns the CPU time of a zone by its proxies' newest reports.
func (r *Reports) zoneCPU(zone ids.Name) float64 {
	sum := 0.0
	for _, id := range slices.Sorted(maps.Keys(r.latest)) {
		latest := r.latest[id]
		if latest.Zone != zone {
			continue
		}
		for _, usage := range latest.Usage {
			sum += usage.CPU
		}
	}
	return sum
}

// LiveProxy is a proxy that membership holds for alive.
type LiveProxy struct {
	ID    ids.DaemonID
	RunID ids.RunID
	Zone  ids.Name
}

// maxMissedReports is how many intervals may pass without a report before a proxy's usage
// counts as unknown.
const maxMissedReports = 3

// BuildZone returns a zone with the usage that its live proxies reported. It is stale if
// any of them has missed reports. The levels are left to the caller.
func (r *Reports) BuildZone(now ids.Time, name ids.Name, proxies []LiveProxy, ranks map[ids.Name]Rank) Zone {
	zone := Zone{Name: name, NoProxies: true}
	cpuByRoute := map[ids.Name]float64{}
	for _, proxy := range proxies {
		if proxy.Zone != name {
			continue
		}
		zone.NoProxies = false
		reports, ok := r.latest[proxy.ID]
		if !ok || now.Sub(reports.receivedAt) > maxMissedReports*time.Duration(reports.IntervalMillis)*time.Millisecond {
			zone.Stale = true
		}
		if !ok || reports.RunID != proxy.RunID {
			continue
		}
		for route, cpu := range reports.meanCPUByRoute() {
			cpuByRoute[route] += cpu
		}
	}
	for _, route := range slices.Sorted(maps.Keys(cpuByRoute)) {
		rank, ok := ranks[route]
		if !ok {
			rank = Rank{Route: route}
		}
		zone.Usage = append(zone.Usage, RouteUsage{Rank: rank, CPU: cpuByRoute[route]})
	}
	return zone
}

// Prune forgets the reports of runs that aren't alive any more.
func (r *Reports) Prune(proxies []LiveProxy) {
	maps.DeleteFunc(r.latest, func(id ids.DaemonID, reports proxyReports) bool {
		return !slices.ContainsFunc(proxies, func(proxy LiveProxy) bool {
			return proxy.ID == id && proxy.RunID == reports.RunID
		})
	})
}

// Samples returns the samples that a zone's maximum is learned from.
func (r *Reports) Samples(zone ids.Name) []Sample { return r.samples[zone] }

// CountStalePlans counts another plan for a zone, and returns the number of plans in a row
// for which it has been stale.
func (r *Reports) CountStalePlans(zone Zone) int {
	if zone.Stale {
		r.stalePlans[zone.Name]++
	} else {
		r.stalePlans[zone.Name] = 0
	}
	return r.stalePlans[zone.Name]
}
