package daemon

import (
	"net/http"
	"runtime/metrics"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"dunlinwell/internal/transport/process"
)

// Gauge is one figure as it stands at the moment of asking.
type Gauge struct {
	Name   string
	Labels []string
	Values []string
	Value  float64
	// Total marks a figure that only grows.
	Total bool
}

// gauges asks a daemon for its figures at each scrape.
type gauges struct{ read func() []Gauge }

// Describe sends nothing: the figures differ from one moment to the next.
func (g gauges) Describe(chan<- *prometheus.Desc) {}

// Collect reads the figures.
func (g gauges) Collect(out chan<- prometheus.Metric) {
	for _, x := range g.read() {
		kind := prometheus.GaugeValue
		if x.Total {
			kind = prometheus.CounterValue
		}
		m, err := prometheus.NewConstMetric(prometheus.NewDesc("dunlinwell_"+x.Name, x.Name, x.Labels, nil), kind, x.Value, x.Values...)
		if err == nil {
			out <- m
		}
	}
}

// lockWaits is how long threads of this process have waited for locks.
func lockWaits() Gauge {
	s := []metrics.Sample{{Name: "/sync/mutex/wait/total:seconds"}}
	metrics.Read(s)
	return Gauge{Name: "lock_wait_seconds_total", Value: s[0].Value.Float64(), Total: true}
}

// Wire gives what a post has carried, by way and kind.
func TrafficGauges(t *process.TrafficStats) []Gauge {
	var out []Gauge
	for _, f := range t.Flows() {
		labels, values := []string{"way", "kind"}, []string{string(f.Direction), f.Kind}
		out = append(out, Gauge{Name: "wire_messages_total", Labels: labels, Values: values, Value: float64(f.Messages), Total: true},
			Gauge{Name: "wire_bytes_total", Labels: labels, Values: values, Value: float64(f.Bytes), Total: true})
	}
	return out
}

// Metrics adds the plain page of figures.
func Metrics(m *http.ServeMux, read func() []Gauge) {
	r := prometheus.NewRegistry()
	r.MustRegister(gauges{func() []Gauge { return append(read(), lockWaits()) }}, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.Handle("GET /metrics", promhttp.HandlerFor(r, promhttp.HandlerOpts{}))
}
