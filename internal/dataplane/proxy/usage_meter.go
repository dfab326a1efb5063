package proxy

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/spill"
)

const (
	// maxLatencySamples is the maximum number of latency samples per interval. Later requests
	// of the interval aren't sampled.
	maxLatencySamples = 4096
	// maxReportedMillis is the bound on the CPU time that a target reports for a request, in
	// milliseconds. Larger values are ignored as invalid.
	maxReportedMillis = 1e7
)

// usageKey is the route and the service of a request.
type usageKey struct{ route, service ids.Name }

// usageMeter measures the resource usage of requests by route and service: the CPU time of this
// process, divided in proportion to the handling times, plus the time of the targets. It is safe
// for concurrent use.
type usageMeter struct {
	mu        sync.Mutex
	usage     map[usageKey]*routeUsage
	latencies []time.Duration
	requests  uint64
	// lastCPUTime is the process's CPU time at intervalStart.
	lastCPUTime   time.Duration
	intervalStart time.Time
}

// routeUsage is the usage of a route and service in one interval.
type routeUsage struct {
	handlingTime time.Duration
	targetMillis float64
}

func newUsageMeter() *usageMeter {
	return &usageMeter{usage: map[usageKey]*routeUsage{}, lastCPUTime: processCPUTime(), intervalStart: time.Now()}
}

// processCPUTime returns the user and system CPU time of this process, or 0 if it is unknown.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// usageOf returns the usage of a route and service. The caller holds the lock.
func (m *usageMeter) usageOf(route, service ids.Name) *routeUsage {
	key := usageKey{route, service}
	if m.usage[key] == nil {
		m.usage[key] = &routeUsage{}
	}
	return m.usage[key]
}

// recordRequest records a request: the time that the proxy spent handling it, and the latency that
// the proxy added (queueing and handling, without the target's time).
func (m *usageMeter) recordRequest(route, service ids.Name, handling, latency time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usageOf(route, service).handlingTime += handling
	m.requests++
	if len(m.latencies) < maxLatencySamples {
		m.latencies = append(m.latencies, latency)
	}
}

// recordTargetTime records the time that a target took for a request.
func (m *usageMeter) recordTargetTime(route, service ids.Name, duration time.Duration) {
	m.addTargetMillis(route, service, float64(duration)/float64(time.Millisecond))
}

func (m *usageMeter) addTargetMillis(route, service ids.Name, millis float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usageOf(route, service).targetMillis += millis
}

// recordServerTiming records the CPU time that a target reports in its Server-Timing headers, as
// cpu;dur=<milliseconds>.
func (m *usageMeter) recordServerTiming(route, service ids.Name, headers []string) {
	for _, header := range headers {
		for _, entry := range strings.Split(header, ",") {
			name, parameters, _ := strings.Cut(strings.TrimSpace(entry), ";")
			if name != "cpu" {
				continue
			}
			for _, parameter := range strings.Split(parameters, ";") {
				key, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
				millis, err := strconv.ParseFloat(value, 64)
				if key == "dur" && err == nil && millis >= 0 && millis < maxReportedMillis {
					m.addTargetMillis(route, service, millis)
				}
			}
		}
	}
}

// takeSample returns the usage of the current interval and starts the next one.
func (m *usageMeter) takeSample() UsageSample {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, cpuTime := time.Now(), processCPUTime()
	sample := UsageSample{Interval: now.Sub(m.intervalStart), Requests: m.requests, LatencyP95: percentile95(m.latencies)}
	sample.Rows = m.usageRows(sample.Interval, cpuTime-m.lastCPUTime)
	m.usage, m.latencies, m.requests = map[usageKey]*routeUsage{}, nil, 0
	m.lastCPUTime, m.intervalStart = cpuTime, now
	return sample
}

// usageRows returns the usage by route and service: the process's CPU time in proportion to the
// handling time, plus the targets' time. The caller holds the lock.
func (m *usageMeter) usageRows(interval, cpuTime time.Duration) []spill.ServiceUsage {
	total := time.Duration(0)
	for _, u := range m.usage {
		total += u.handlingTime
	}
	cpuMillis := float64(cpuTime) / float64(time.Millisecond)
	var rows []spill.ServiceUsage
	for key, u := range m.usage {
		millis := u.targetMillis
		if total > 0 {
			millis += cpuMillis * float64(u.handlingTime) / float64(total)
		}
		rows = append(rows, spill.ServiceUsage{Route: key.route, Service: key.service, CPU: millis / interval.Seconds()})
	}
	return rows
}

// percentile95 sorts the durations in place and returns their 95th percentile, or 0 if there are
// none.
func percentile95(durations []time.Duration) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return durations[len(durations)*95/100]
}
