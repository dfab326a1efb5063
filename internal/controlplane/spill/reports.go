package spill

import (
	"maps"
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
)

// Reports stores the reports of proxies for the planner: those of each proxy in the averaging
// window, and the samples of load and latency and the demand of each zone.
type Reports struct {
	latest  map[ids.DaemonID]proxyReports
	samples map[ids.Name][]Sample
	// demand is the last recorded demand by zone and route.
	demand map[ids.Name]map[ids.Name]float64
	// stalePlans is the number of consecutive plans for which each zone has been stale.
	stalePlans map[ids.Name]int
	// AveragingWindow is the time over which CPU times are averaged.
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

// Add adds a report. It ignores duplicates and reports of the same run that arrive out of
// order.
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

// withinWindow returns the reports of a proxy in the averaging window, newest first.
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
	// minSampleRequests is the minimum number of requests in a report for its latency to be
	// sampled.
	minSampleRequests = 10
	// maxSamples is the maximum number of samples kept for each zone; the oldest are dropped.
	maxSamples     = 500
	microsPerMilli = 1000
)

// addSample adds a sample of the zone's total CPU time and the reporting proxy's latency.
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

// zoneCPU returns the CPU time of a zone according to the latest reports of its proxies.
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

// LiveProxy is a proxy that is alive according to the membership.
type LiveProxy struct {
	ID    ids.DaemonID
	RunID ids.RunID
	Zone  ids.Name
}

// maxMissedReports is the number of intervals without a report after which a proxy's usage
// counts as unknown.
const maxMissedReports = 3

// BuildZone returns a zone with the usage that its live proxies reported. The zone is stale if
// the reports of any of them are missing. The caller sets the levels.
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

// Prune removes the reports of proxy runs that are no longer alive.
func (r *Reports) Prune(proxies []LiveProxy) {
	maps.DeleteFunc(r.latest, func(id ids.DaemonID, reports proxyReports) bool {
		return !slices.ContainsFunc(proxies, func(proxy LiveProxy) bool {
			return proxy.ID == id && proxy.RunID == reports.RunID
		})
	})
}

// Samples returns the samples from which the maximum of a zone is learned.
func (r *Reports) Samples(zone ids.Name) []Sample { return r.samples[zone] }

// CountStalePlans updates the count of consecutive plans for which a zone has been stale, and
// returns it. Call it once per plan and zone.
func (r *Reports) CountStalePlans(zone Zone) int {
	if zone.Stale {
		r.stalePlans[zone.Name]++
	} else {
		r.stalePlans[zone.Name] = 0
	}
	return r.stalePlans[zone.Name]
}
