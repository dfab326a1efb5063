package daemon

import (
	"net/http"
	"runtime/metrics"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"dunlinwell/internal/transport/process"
)

// metricPrefix begins the name of each metric of ours.
const metricPrefix = "dunlinwell_"

// Metric is one metric and its value at the moment of the scrape.
type Metric struct {
	// Name is without the prefix dunlinwell_.
	Name   string
	Labels []string
	// Values are those of the labels, in the same order.
	Values []string
	Value  float64
	// IsCounter marks a metric that only grows; others are gauges.
	IsCounter bool
}

// collector gives a daemon's metrics to Prometheus, read at each scrape.
type collector struct{ read func() []Metric }

// Describe sends nothing, which tells Prometheus that the set of metrics varies.
func (c collector) Describe(chan<- *prometheus.Desc) {}

// Collect reads the metrics. One whose labels don't fit its values is left out.
func (c collector) Collect(out chan<- prometheus.Metric) {
	for _, m := range c.read() {
		kind := prometheus.GaugeValue
		if m.IsCounter {
			kind = prometheus.CounterValue
		}
		description := prometheus.NewDesc(metricPrefix+m.Name, m.Name, m.Labels, nil)
		metric, err := prometheus.NewConstMetric(description, kind, m.Value, m.Values...)
		if err == nil {
			out <- metric
		}
	}
}

// lockWaitMetric gives how long goroutines of this process have waited for locks.
func lockWaitMetric() Metric {
	samples := []metrics.Sample{{Name: "/sync/mutex/wait/total:seconds"}}
	metrics.Read(samples)
	return Metric{Name: "lock_wait_seconds_total", Value: samples[0].Value.Float64(), IsCounter: true}
}

// TrafficMetrics gives the messages and bytes of a transport, by direction and kind.
func TrafficMetrics(stats *process.TrafficStats) []Metric {
	var out []Metric
	for _, traffic := range stats.Snapshot() {
		labels, values := []string{"way", "kind"}, []string{string(traffic.Direction), traffic.Kind}
		out = append(out,
			Metric{Name: "wire_messages_total", Labels: labels, Values: values, Value: float64(traffic.Messages), IsCounter: true},
			Metric{Name: "wire_bytes_total", Labels: labels, Values: values, Value: float64(traffic.Bytes), IsCounter: true})
	}
	return out
}

// HandleMetrics adds the page of metrics: those read at each scrape, and those of the
// Go runtime and the process.
func HandleMetrics(mux *http.ServeMux, read func() []Metric) {
	r := prometheus.NewRegistry()
	r.MustRegister(
		collector{func() []Metric { return append(read(), lockWaitMetric()) }},
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	mux.Handle("GET /metrics", promhttp.HandlerFor(r, promhttp.HandlerOpts{}))
}
