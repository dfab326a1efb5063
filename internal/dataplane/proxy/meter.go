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

// meter sums what requests cost: this process's CPU shared out by measured
// handling, plus what targets state of their own.
type meter struct {
	mu     sync.Mutex
	work   map[[2]ids.Name]*cost
	delays []time.Duration
	count  uint64
	cpu    time.Duration
	at     time.Time
}

type cost struct {
	handling time.Duration
	target   float64
}

const mostDelays = 4096

func newMeter() *meter {
	return &meter{work: map[[2]ids.Name]*cost{}, cpu: processCPU(), at: time.Now()}
}

func processCPU() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func (m *meter) at2(route, service ids.Name) *cost {
	k := [2]ids.Name{route, service}
	if m.work[k] == nil {
		m.work[k] = &cost{}
	}
	return m.work[k]
}

// handled adds one request: the proxy's handling, and its front-line
// latency, which is inbox and handling without the target's own time.
func (m *meter) handled(route, service ids.Name, handling, front time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.at2(route, service).handling += handling
	m.count++
	if len(m.delays) < mostDelays {
		m.delays = append(m.delays, front)
	}
}

// spent adds a target's time for one request.
func (m *meter) spent(route, service ids.Name, span time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.at2(route, service).target += float64(span) / float64(time.Millisecond)
}

// target adds what a target states in Server-Timing as cpu;dur=ms.
func (m *meter) target(route, service ids.Name, lines []string) {
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
					m.at2(route, service).target += ms
					m.mu.Unlock()
				}
			}
		}
	}
}

// read closes an interval.
func (m *meter) read() Meter {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, cpu := time.Now(), processCPU()
	span := now.Sub(m.at)
	spent := float64(cpu-m.cpu) / float64(time.Millisecond)
	all := time.Duration(0)
	for _, c := range m.work {
		all += c.handling
	}
	out := Meter{Interval: span, Count: m.count}
	for k, c := range m.work {
		ms := c.target
		if all > 0 {
			ms += spent * float64(c.handling) / float64(all)
		}
		out.Rows = append(out.Rows, spill.Spent{Route: k[0], Service: k[1], CPU: ms / span.Seconds()})
	}
	slices.Sort(m.delays)
	if n := len(m.delays); n > 0 {
		out.Latency = m.delays[n*95/100]
	}
	m.work, m.delays, m.count, m.cpu, m.at = map[[2]ids.Name]*cost{}, nil, 0, cpu, now
	return out
}
