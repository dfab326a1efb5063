package scaletest

import (
	"net/http"
	"slices"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/prometheus/procfs"
)

// The roles of daemons.
const (
	proxyRole    = "proxy"
	registryRole = "registry"
	storeRole    = "store"
)

// roles lists the roles in the order of the report.
var roles = []string{proxyRole, registryRole, storeRole}

// The values of the label "way" of the traffic metrics.
const (
	directionSent     = "sent"
	directionReceived = "received"
	directionLost     = "lost"
)

// traffic is the number and total size of frames.
type traffic struct{ messages, bytes float64 }

type trafficKey struct{ direction, kind string }

// measurement has the cumulative usage of each process of a role, by process name.
type measurement struct {
	at        time.Time
	processes map[string]*processUsage
}

// processUsage is the usage of a process since its start.
type processUsage struct {
	pid, daemons, descriptors                   int
	cpuSeconds, residentBytes, peakBytes, syncs float64
	traffic                                     map[trafficKey]traffic
}

// httpClientTimeout allows for the slow responses of a process with many proxies on a saturated
// machine.
const httpClientTimeout = 10 * time.Second

var httpClient = http.Client{Timeout: httpClientTimeout}

// readProc reads the kernel's statistics of a process. Values that can't be read, such as those of
// a process that just exited, remain unchanged.
func (u *processUsage) readProc(pid int) {
	u.pid = pid
	proc, err := procfs.NewProc(u.pid)
	if err != nil {
		return
	}
	if s, err := proc.Stat(); err == nil {
		u.cpuSeconds, u.residentBytes = s.CPUTime(), float64(s.ResidentMemory())
	}
	if s, err := proc.NewStatus(); err == nil {
		u.peakBytes = float64(s.VmHWM)
	}
	if n, err := proc.FileDescriptorsLen(); err == nil {
		u.descriptors = n
	}
}

// scrapeMetrics reads the traffic and disk syncs of a process from its metrics endpoint. They
// remain unchanged if the scrape fails.
func (u *processUsage) scrapeMetrics(p *daemonProcess) {
	res, err := httpClient.Get("http://" + p.httpAddress + "/metrics")
	if err != nil {
		return
	}
	defer func() { _ = res.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(res.Body)
	if err != nil {
		return
	}
	for name, add := range map[string]func(t *traffic, v float64){
		"dunlinwell_wire_messages_total": func(t *traffic, v float64) { t.messages += v },
		"dunlinwell_wire_bytes_total":    func(t *traffic, v float64) { t.bytes += v },
	} {
		for _, m := range families[name].GetMetric() {
			k := trafficKey{labelValue(m, "way"), labelValue(m, "kind")}
			t := u.traffic[k]
			add(&t, m.GetCounter().GetValue())
			u.traffic[k] = t
		}
	}
	for _, m := range families["dunlinwell_disk_syncs_total"].GetMetric() {
		u.syncs += m.GetCounter().GetValue()
	}
}

func labelValue(m *dto.Metric, name string) string {
	for _, l := range m.GetLabel() {
		if l.GetName() == name {
			return l.GetValue()
		}
	}
	return ""
}

// measure measures all roles. Because scraping uses CPU time of the processes, CPU times are read
// after scraping at the start of a phase and before scraping at its end.
func (f *fleet) measure(atPhaseStart bool) map[string]*measurement {
	out := map[string]*measurement{}
	for _, role := range roles {
		m := &measurement{processes: map[string]*processUsage{}}
		running := f.running(role)
		for _, p := range running {
			m.processes[p.name] = &processUsage{daemons: p.daemons, traffic: map[trafficKey]traffic{}}
		}
		steps := []func(*daemonProcess){
			func(p *daemonProcess) { m.processes[p.name].scrapeMetrics(p) },
			func(p *daemonProcess) { m.processes[p.name].readProc(f.pid(p)) },
		}
		if !atPhaseStart {
			slices.Reverse(steps)
		}
		for _, step := range steps {
			for _, p := range running {
				step(p)
			}
		}
		out[role] = m
	}
	at := time.Now()
	for _, m := range out {
		m.at = at
	}
	return out
}
