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

// flow is frames of one kind and way.
type flow struct{ messages, bytes float64 }

type flowKey struct{ way, kind string }

// measurement is what a role's processes have spent so far, by name.
type measurement struct {
	at    time.Time
	procs map[string]*processUsage
}

// processUsage is what one run of a process has spent.
type processUsage struct {
	pid, daemons, files int
	// cpu is in seconds; resident and peak in bytes.
	cpu, resident, peak, syncs float64
	flows                      map[flowKey]flow
}

var client = http.Client{Timeout: 10 * time.Second}

// system adds what the kernel says of a process.
func (r *processUsage) system(pid int) {
	r.pid = pid
	x, err := procfs.NewProc(r.pid)
	if err != nil {
		return
	}
	if s, err := x.Stat(); err == nil {
		r.cpu, r.resident = s.CPUTime(), float64(s.ResidentMemory())
	}
	if s, err := x.NewStatus(); err == nil {
		r.peak = float64(s.VmHWM)
	}
	if n, err := x.FileDescriptorsLen(); err == nil {
		r.files = n
	}
}

// page adds what the process says of itself.
func (r *processUsage) page(p *daemonProcess) {
	res, err := client.Get("http://" + p.http + "/metrics")
	if err != nil {
		return
	}
	defer res.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	all, err := parser.TextToMetricFamilies(res.Body)
	if err != nil {
		return
	}
	for name, add := range map[string]func(f *flow, v float64){
		"dunlinwell_wire_messages_total": func(f *flow, v float64) { f.messages += v },
		"dunlinwell_wire_bytes_total":    func(f *flow, v float64) { f.bytes += v },
	} {
		for _, m := range all[name].GetMetric() {
			k := flowKey{label(m, "way"), label(m, "kind")}
			f := r.flows[k]
			add(&f, m.GetCounter().GetValue())
			r.flows[k] = f
		}
	}
	for _, m := range all["dunlinwell_disk_syncs_total"].GetMetric() {
		r.syncs += m.GetCounter().GetValue()
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

// read takes a reading of every role. The pages cost CPU time of their own, so
// a span begins after them and ends before them.
func (f *fleet) read(begins bool) map[string]*measurement {
	out := map[string]*measurement{}
	for _, role := range roles {
		r := &measurement{procs: map[string]*processUsage{}}
		list := f.of(role)
		for _, p := range list {
			r.procs[p.name] = &processUsage{daemons: p.daemons, flows: map[flowKey]flow{}}
		}
		parts := []func(*daemonProcess){func(p *daemonProcess) { r.procs[p.name].page(p) }, func(p *daemonProcess) { r.procs[p.name].system(f.pid(p)) }}
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

// stands asks the crews how their proxies stand.
func (f *fleet) stands() []ProxyState {
	var out []ProxyState
	for _, p := range f.of("proxy") {
		res, err := client.Get("http://" + p.http + "/state")
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
