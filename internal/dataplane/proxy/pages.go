package proxy

import (
	"net/http"

	"dunlinwell/internal/app/api"
	"dunlinwell/internal/app/daemon"
	"dunlinwell/internal/base/ids"
)

// readinessDocument is the body of /readyz.
type readinessDocument struct {
	CutOff      bool `json:"cut_off"`
	ZoneDrained bool `json:"emptied"`
	Ready       bool `json:"ready"`
	Stopping    bool `json:"stopping"`
}

// handler returns the handler of the HTTP pages for operators: health, metrics, and the control
// API, which is forwarded to a registry. If clients is set, requests for all other paths are
// client requests.
func (d *Daemon) handler(clients bool) http.Handler {
	mux := http.NewServeMux()
	daemon.HandleHealth(mux, d.readiness)
	daemon.HandleMetrics(mux, d.metrics)
	mux.Handle("/v1/", api.NewForwarder(func() []ids.Address {
		return daemon.RegistryAddresses(d.servingState.Load().Members, d.self.Zone)
	}))
	if clients {
		mux.Handle("/", d.frontend.ClientHandler(d))
	}
	return mux
}

// readiness reports whether the proxy is ready, with the body of /readyz.
func (d *Daemon) readiness() (bool, any) {
	state, stopping := d.servingState.Load(), d.stopping.Load()
	return state.Ready && !stopping, readinessDocument{
		CutOff: state.CutOff, ZoneDrained: state.ZoneDrained, Ready: state.Ready, Stopping: stopping,
	}
}

// metrics returns the current metrics of the proxy.
func (d *Daemon) metrics() []daemon.Metric {
	state := d.servingState.Load()
	list := []daemon.Metric{
		{Name: "ready", Value: gaugeOf(state.Ready)},
		{Name: "cut_off", Value: gaugeOf(state.CutOff)},
		{Name: "emptied", Value: gaugeOf(state.ZoneDrained)},
		{Name: "held_bytes", Value: float64(d.memory.reserved.Load())},
		{Name: "message_delay_seconds", Value: d.MessageDelay().Seconds()},
		{Name: "stale_responses_total", Value: float64(d.staleResponses.Load()), IsCounter: true},
	}
	list = append(list, daemon.TrafficMetrics(d.transport.Stats)...)
	for _, service := range d.serviceNames() {
		list = append(list, d.dispatcherOf(service).metrics(service)...)
	}
	return list
}

// metrics returns the current metrics of the service.
func (s *serviceDispatcher) metrics(service ids.Name) []daemon.Metric {
	counters, jobs, queued := s.counters()
	list := []daemon.Metric{
		{Name: "occupancy", Labels: []string{"service"}, Values: []string{string(service)}, Value: float64(jobs)},
		{Name: "queue_length", Labels: []string{"service"}, Values: []string{string(service)}, Value: float64(queued)},
	}
	for what, count := range map[string]uint64{
		"arrived":           counters.Arrived,
		"declined":          counters.Rejected,
		"unknown":           counters.Unknown,
		"answered":          counters.Answered,
		"ferried":           counters.Forwarded,
		"ferried_in_region": counters.CrossZone,
		"ferried_far":       counters.CrossRegion,
		"retried":           counters.Retried,
		"repeats":           counters.Replayed,
		"client_left":       counters.ClientDisconnects,
	} {
		list = append(list, daemon.Metric{
			Name: "requests_total", Labels: []string{"service", "what"}, Values: []string{string(service), what},
			Value: float64(count), IsCounter: true,
		})
	}
	return list
}

// gaugeOf returns 1 for true and 0 for false.
func gaugeOf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
