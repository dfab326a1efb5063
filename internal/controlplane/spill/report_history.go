package spill

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// defaultAveragingWindow is what the planner averages over. A single report covers so few
// requests that a quiet two seconds would pass for a recovery.
const defaultAveragingWindow = 20 * time.Second

// proxyReports is a proxy's newest report, and the earlier ones of the span that
// the planner averages over.
type proxyReports struct {
	Report
	receivedAt ids.Time
	earlier    []proxyReports
}

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
