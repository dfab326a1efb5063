package spill

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// Report is a proxy's CPU time over its last interval, sent every few seconds.
type Report struct {
	Proxy ids.DaemonID
	RunID ids.RunID
	Zone  ids.Name
	// Number counts the reports of a run; late and repeated ones are ignored.
	Number         ids.StreamNumber
	IntervalMillis uint32
	Usage          []ServiceUsage
	// LatencyMicros is the 95th percentile of the proxy's own time for a request,
	// in microseconds: waiting in queues and handling, without the target's time.
	LatencyMicros uint64
	// RequestCount is the number of requests of the interval.
	RequestCount uint64
}

// ServiceUsage is the CPU time of a route's requests to one service.
type ServiceUsage struct {
	Route   ids.Name
	Service ids.Name
	// CPU is in milliseconds per second.
	CPU float64
}

// MessageNumber returns the report's number, which stands in the message's header.
func (r Report) MessageNumber() uint64 { return uint64(r.Number) }

// defaultAveragingWindow is the time that CPU times are averaged over. A single report
// covers so few requests that two quiet seconds would pass for a recovery.
const defaultAveragingWindow = 20 * time.Second

// proxyReports is a proxy's newest report, with the earlier ones of the averaging window.
type proxyReports struct {
	Report
	receivedAt ids.Time
	// earlier are the same run's, the newest first; they have no earlier ones themselves.
	earlier []proxyReports
}

// meanCPUByRoute returns the mean CPU time of each route over the reports at hand, each
// weighted by its interval.
func (p proxyReports) meanCPUByRoute() map[ids.Name]float64 {
	all := append([]proxyReports{p}, p.earlier...)
	totalMillis := 0.0
	for _, report := range all {
		totalMillis += float64(report.IntervalMillis)
	}
	byRoute := map[ids.Name]float64{}
	for _, report := range all {
		for _, usage := range report.Usage {
			byRoute[usage.Route] += usage.CPU * float64(report.IntervalMillis) / max(totalMillis, 1)
		}
	}
	return byRoute
}
