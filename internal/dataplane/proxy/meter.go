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

// usageMeter sums what requests cost: this process's CPU shared out by measured
// handling, plus what targets state of their own.
type usageMeter struct {
	mu            sync.Mutex
	usage         map[[2]ids.Name]*routeUsage
	latencies     []time.Duration
	requests      uint64
	lastCPUTime   time.Duration
	intervalStart time.Time
}

type routeUsage struct {
	handlingTime time.Duration
	targetMillis float64
}

const maxLatencySamples = 4096

func newUsageMeter() *usageMeter {
	return &usageMeter{usage: map[[2]ids.Name]*routeUsage{}, lastCPUTime: processCPUTime(), intervalStart: time.Now()}
}

func processCPUTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func (m *usageMeter) usageOf(route, service ids.Name) *routeUsage {
	k := [2]ids.Name{route, service}
	if m.usage[k] == nil {
		m.usage[k] = &routeUsage{}
	}
	return m.usage[k]
}

// recordRequest adds one request: the proxy's handling, and its front-line
// latency, which is queue and handling without the target's own time.
func (m *usageMeter) recordRequest(route, service ids.Name, handling, front time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usageOf(route, service).handlingTime += handling
	m.requests++
	if len(m.latencies) < maxLatencySamples {
		m.latencies = append(m.latencies, front)
	}
}

// recordTargetTime adds a target's time for one request.
func (m *usageMeter) recordTargetTime(route, service ids.Name, span time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usageOf(route, service).targetMillis += float64(span) / float64(time.Millisecond)
}

// recordServerTiming adds what a target states in Server-Timing as cpu;dur=ms.
func (m *usageMeter) recordServerTiming(route, service ids.Name, lines []string) {
	for _, line := range lines {
		for _, e := range strings.Split(line, ",") {
			name, rest, _ := strings.Cut(strings.TrimSpace(e), ";")
			if name != "cpu" {
				continue
			}
			for _, p := range strings.Split(rest, ";") {
				k, v, _ := strings.Cut(strings.TrimSpace(p), "=")
				if ms, err := strconv.ParseFloat(v, 64); k == "dur" && err == nil && ms >= 0 && ms < 1e7 {
					m.mu.Lock()
					m.usageOf(route, service).targetMillis += ms
					m.mu.Unlock()
				}
			}
		}
	}
}

// takeSample closes an interval.
func (m *usageMeter) takeSample() UsageSample {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, cpu := time.Now(), processCPUTime()
	span := now.Sub(m.intervalStart)
	spent := float64(cpu-m.lastCPUTime) / float64(time.Millisecond)
	all := time.Duration(0)
	for _, c := range m.usage {
		all += c.handlingTime
	}
	out := UsageSample{Interval: span, Requests: m.requests}
	for k, c := range m.usage {
		ms := c.targetMillis
		if all > 0 {
			ms += spent * float64(c.handlingTime) / float64(all)
		}
		out.Rows = append(out.Rows, spill.ServiceUsage{Route: k[0], Service: k[1], CPU: ms / span.Seconds()})
	}
	slices.Sort(m.latencies)
	if n := len(m.latencies); n > 0 {
		out.LatencyP95 = m.latencies[n*95/100]
	}
	m.usage, m.latencies, m.requests, m.lastCPUTime, m.intervalStart = map[[2]ids.Name]*routeUsage{}, nil, 0, cpu, now
	return out
}
