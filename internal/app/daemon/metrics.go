package daemon

import (
	"net/http"
	"runtime/metrics"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"dunlinwell/internal/transport/process"
)

// metricPrefix is the prefix of all dunlinwell metrics.
const metricPrefix = "dunlinwell_"

// Metric is a metric and its value at the time of a scrape.
type Metric struct {
	// Name is the name without the prefix dunlinwell_.
	Name   string
	Labels []string
	// Values holds the values of Labels, in the same order.
	Values []string
	Value  float64
	// IsCounter marks a counter; other metrics are gauges.
	IsCounter bool
}

// collector is a Prometheus collector that reads a daemon's metrics at each scrape.
type collector struct{ read func() []Metric }

// Describe sends nothing, which marks the collector as unchecked: its set of metrics varies.
func (c collector) Describe(chan<- *prometheus.Desc) {}

// Collect reads the metrics. It omits metrics whose labels and values don't match.
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

// lockWaitMetric returns the total time that goroutines of this process waited for locks.
func lockWaitMetric() Metric {
	samples := []metrics.Sample{{Name: "/sync/mutex/wait/total:seconds"}}
	metrics.Read(samples)
	return Metric{Name: "lock_wait_seconds_total", Value: samples[0].Value.Float64(), IsCounter: true}
}

// TrafficMetrics returns the message and byte counts of a transport, by direction and kind.
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

// HandleMetrics adds /metrics with the metrics that read returns and those of the Go runtime
// and the process.
func HandleMetrics(mux *http.ServeMux, read func() []Metric) {
	r := prometheus.NewRegistry()
	r.MustRegister(
		collector{func() []Metric { return append(read(), lockWaitMetric()) }},
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	mux.Handle("GET /metrics", promhttp.HandlerFor(r, promhttp.HandlerOpts{}))
}
