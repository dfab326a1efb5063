package scaletest

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/prometheus/procfs"
)

// traffic is frames of one kind and way.
type traffic struct{ messages, bytes float64 }

type trafficKey struct{ direction, kind string }

// measurement is what a role's processes have spent so far, by name.
type measurement struct {
	at        time.Time
	processes map[string]*processUsage
}

// processUsage is what one run of a process has spent.
type processUsage struct {
	pid, daemons, descriptors int
	// cpuSeconds is in seconds; resident and peak in bytes.
	cpuSeconds, residentBytes, peakBytes, syncs float64
	traffic                                     map[trafficKey]traffic
}

var httpClient = http.Client{Timeout: 10 * time.Second}

// readProc adds what the kernel says of a process.
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

// scrapeMetrics adds what the process says of itself.
func (u *processUsage) scrapeMetrics(p *daemonProcess) {
	res, err := httpClient.Get("http://" + p.httpAddress + "/metrics")
	if err != nil {
		return
	}
	defer res.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	all, err := parser.TextToMetricFamilies(res.Body)
	if err != nil {
		return
	}
	for name, add := range map[string]func(f *traffic, v float64){
		"dunlinwell_wire_messages_total": func(f *traffic, v float64) { f.messages += v },
		"dunlinwell_wire_bytes_total":    func(f *traffic, v float64) { f.bytes += v },
	} {
		for _, m := range all[name].GetMetric() {
			k := trafficKey{label(m, "way"), label(m, "kind")}
			f := u.traffic[k]
			add(&f, m.GetCounter().GetValue())
			u.traffic[k] = f
		}
	}
	for _, m := range all["dunlinwell_disk_syncs_total"].GetMetric() {
		u.syncs += m.GetCounter().GetValue()
	}
}

func label(m *dto.Metric, name string) string {
	for _, l := range m.GetLabel() {
		if l.GetName() == name {
			return l.GetValue()
		}
	}
	return ""
}

var roles = []string{"proxy", "registry", "store"}

// measure takes a reading of every role. The pages cost CPU time of their own, so
// a span begins after them and ends before them.
func (f *fleet) measure(begins bool) map[string]*measurement {
	out := map[string]*measurement{}
	for _, role := range roles {
		r := &measurement{processes: map[string]*processUsage{}}
		list := f.running(role)
		for _, p := range list {
			r.processes[p.name] = &processUsage{daemons: p.daemons, traffic: map[trafficKey]traffic{}}
		}
		parts := []func(*daemonProcess){func(p *daemonProcess) { r.processes[p.name].scrapeMetrics(p) }, func(p *daemonProcess) { r.processes[p.name].readProc(f.pid(p)) }}
		if !begins {
			slices.Reverse(parts)
		}
		for _, part := range parts {
			for _, p := range list {
				part(p)
			}
		}
		out[role] = r
	}
	at := time.Now()
	for _, r := range out {
		r.at = at
	}
	return out
}

// proxyStates asks the crews how their proxies stand.
func (f *fleet) proxyStates() []ProxyState {
	var out []ProxyState
	for _, p := range f.running("proxy") {
		res, err := httpClient.Get("http://" + p.httpAddress + "/state")
		if err != nil {
			continue
		}
		var list []ProxyState
		if json.NewDecoder(res.Body).Decode(&list) == nil {
			out = append(out, list...)
		}
		res.Body.Close()
	}
	return out
}
