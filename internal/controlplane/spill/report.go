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
	// Number is the sequence number of the report within its run. Reports that arrive out
	// of order and duplicates are ignored.
	Number         ids.StreamNumber
	IntervalMillis uint32
	Usage          []ServiceUsage
	// LatencyMicros is the 95th percentile of the proxy's own latency for a request, in
	// microseconds: queueing and processing, without the target's time.
	LatencyMicros uint64
	// RequestCount is the number of requests in the interval.
	RequestCount uint64
}

// ServiceUsage is the CPU time of a route's requests to one service.
type ServiceUsage struct {
	Route   ids.Name
	Service ids.Name
	// CPU is in milliseconds per second.
	CPU float64
}

// MessageNumber returns the report's number for the message's header.
func (r Report) MessageNumber() uint64 { return uint64(r.Number) }

// defaultAveragingWindow is the time over which CPU times are averaged. A single report covers
// too few requests to tell a short pause in traffic from a recovery.
const defaultAveragingWindow = 20 * time.Second

// proxyReports is the latest report of a proxy with the earlier ones in the averaging window.
type proxyReports struct {
	Report
	receivedAt ids.Time
	// earlier has the earlier reports of the same run, newest first. Its elements have no
	// earlier reports of their own.
	earlier []proxyReports
}

// meanCPUByRoute returns the mean CPU time of each route over all reports, weighted by their
// intervals.
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
