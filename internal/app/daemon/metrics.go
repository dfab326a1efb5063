package daemon

import (
	"net/http"
	"runtime/metrics"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"dunlinwell/internal/transport/process"
)

// Metric is one figure as it stands at the moment of asking.
type Metric struct {
	Name   string
	Labels []string
	Values []string
	Value  float64
	// IsCounter marks a figure that only grows.
	IsCounter bool
}

// collector asks a daemon for its figures at each scrape.
type collector struct{ read func() []Metric }

// Describe sends nothing: the figures differ from one moment to the next.
func (c collector) Describe(chan<- *prometheus.Desc) {}

// Collect reads the figures.
func (c collector) Collect(out chan<- prometheus.Metric) {
	for _, x := range c.read() {
		kind := prometheus.GaugeValue
		if x.IsCounter {
			kind = prometheus.CounterValue
		}
		m, err := prometheus.NewConstMetric(prometheus.NewDesc("dunlinwell_"+x.Name, x.Name, x.Labels, nil), kind, x.Value, x.Values...)
		if err == nil {
			out <- m
		}
	}
}

// lockWaitMetric is how long threads of this process have waited for locks.
func lockWaitMetric() Metric {
	s := []metrics.Sample{{Name: "/sync/mutex/wait/total:seconds"}}
	metrics.Read(s)
	return Metric{Name: "lock_wait_seconds_total", Value: s[0].Value.Float64(), IsCounter: true}
}

// Wire gives what a post has carried, by way and kind.
func TrafficMetrics(t *process.TrafficStats) []Metric {
	var out []Metric
	for _, f := range t.Snapshot() {
		labels, values := []string{"way", "kind"}, []string{string(f.Direction), f.Kind}
		out = append(out, Metric{Name: "wire_messages_total", Labels: labels, Values: values, Value: float64(f.Messages), IsCounter: true},
			Metric{Name: "wire_bytes_total", Labels: labels, Values: values, Value: float64(f.Bytes), IsCounter: true})
	}
	return out
}

// HandleMetrics adds the plain page of figures.
func HandleMetrics(m *http.ServeMux, read func() []Metric) {
	r := prometheus.NewRegistry()
	r.MustRegister(collector{func() []Metric { return append(read(), lockWaitMetric()) }}, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.Handle("GET /metrics", promhttp.HandlerFor(r, promhttp.HandlerOpts{}))
}
