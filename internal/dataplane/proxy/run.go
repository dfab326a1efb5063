package proxy

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"dunlinwell/internal/app/api"
	"dunlinwell/internal/app/daemon"
	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// Run runs the proxy until the context ends.
func (d *Daemon) Run(ctx context.Context) error {
	wire, err := d.transport.Listen()
	if err != nil {
		return err
	}
	pages, err := api.Listen(d.Options.HTTPListenAddress())
	if err != nil {
		return err
	}
	s := daemon.NewSupervisor("proxy", d.log)
	s.Add(d.owner)
	s.Add(daemon.NewTask("post", func(c context.Context) error { return d.transport.Serve(c, wire) }))
	s.Add(daemon.NewTask("desks", d.runTimers))
	// The pages outlive the supervisor's context by the grace, so that held
	// requests end while the owner still turns.
	life, end := context.WithCancel(context.Background())
	defer end()
	done := s.ServeBackground(life)
	go func() {
		<-ctx.Done()
		d.stopping.Store(true)
		d.owner.Put(Stopping{})
		d.log.Event(event.LevelInfo, "stopping")
	}()
	err = d.serveListeners(ctx, pages)
	end()
	select {
	case <-done:
	case <-time.After(200 * time.Millisecond):
	}
	d.log.Event(event.LevelInfo, "stopped")
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// trafficLogInterval is how often a proxy logs where requests went.
const trafficLogInterval = 20 * time.Second

// runTimers gives the dispatchers their clock and the meter its intervals.
func (d *Daemon) runTimers(ctx context.Context) error {
	beat, report := time.NewTicker(50*time.Millisecond), time.NewTicker(d.Options.ReportInterval)
	carried := time.NewTicker(trafficLogInterval)
	defer carried.Stop()
	defer beat.Stop()
	defer report.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-beat.C:
			for _, n := range d.serviceNames() {
				d.stepDispatcher(n, event.Tick{})
			}
		case <-carried.C:
			d.logTraffic()
		case <-report.C:
			d.pool.closeExpired()
			d.pool.relaxRecentIdle()
			d.owner.Put(d.meter.takeSample())
			d.logFailures()
		}
	}
}

// logTraffic logs where requests went: to the proxy's own zone, its region, or
// farther.
func (d *Daemon) logTraffic() {
	for _, n := range d.serviceNames() {
		p := d.dispatcherOf(n)
		p.mu.Lock()
		t := p.dispatcher.Counters
		p.mu.Unlock()
		d.log.Event(event.LevelInfo, "carried", "service", string(n), "own", strconv.FormatUint(t.Forwarded-t.CrossZone-t.CrossRegion, 10),
			"region", strconv.FormatUint(t.CrossZone, 10), "far", strconv.FormatUint(t.CrossRegion, 10), "retried", strconv.FormatUint(t.Retried, 10))
	}
}

// logFailures logs why requests got no answer of late, a line a reason.
func (d *Daemon) logFailures() {
	for _, n := range d.serviceNames() {
		p := d.dispatcherOf(n)
		p.mu.Lock()
		why := p.dispatcher.TakeFailureReasons()
		p.mu.Unlock()
		for _, w := range slices.Sorted(maps.Keys(why)) {
			d.log.Event(event.LevelWarn, "unanswered", "service", string(n), "why", w, "count", strconv.Itoa(why[w]))
		}
	}
}

func (d *Daemon) serviceNames() []ids.Name {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var out []ids.Name
	for n := range d.dispatchers {
		out = append(out, n)
	}
	return out
}

// handler are the proxy's own pages; all other paths are clients'.
func (d *Daemon) handler(clients bool) http.Handler {
	m := http.NewServeMux()
	daemon.HandleHealth(m, func() (bool, any) {
		f := d.servingState.Load()
		return f.Ready && !d.stopping.Load(), map[string]any{"ready": f.Ready, "cut_off": f.CutOff, "emptied": f.ZoneDrained, "stopping": d.stopping.Load()}
	})
	daemon.HandleMetrics(m, d.metrics)
	m.Handle("/v1/", api.NewForwarder(func() []ids.Address {
		return daemon.RegistryAddresses(d.servingState.Load().Members, d.self.Zone)
	}))
	if clients {
		m.Handle("/", d.frontend.ClientHandler(d))
	}
	return m
}

// metrics are the proxy's numbers for the page of metrics.
func (d *Daemon) metrics() []daemon.Metric {
	f := d.servingState.Load()
	flag := map[bool]float64{true: 1}
	out := []daemon.Metric{
		{Name: "ready", Value: flag[f.Ready]},
		{Name: "cut_off", Value: flag[f.CutOff]},
		{Name: "emptied", Value: flag[f.ZoneDrained]},
		{Name: "held_bytes", Value: float64(d.memory.reserved.Load())},
	}
	out = append(out, daemon.TrafficMetrics(d.transport.Stats)...)
	for _, n := range d.serviceNames() {
		p := d.dispatcherOf(n)
		p.mu.Lock()
		t, busy := p.dispatcher.Counters, p.dispatcher.JobCount()
		p.mu.Unlock()
		out = append(out, daemon.Metric{Name: "occupancy", Labels: []string{"service"}, Values: []string{string(n)}, Value: float64(busy)})
		for what, v := range map[string]uint64{"arrived": t.Arrived, "declined": t.Rejected, "unknown": t.Unknown, "answered": t.Answered, "ferried": t.Forwarded, "ferried_in_region": t.CrossZone, "ferried_far": t.CrossRegion, "retried": t.Retried, "repeats": t.Replayed} {
			out = append(out, daemon.Metric{Name: "requests_total", Labels: []string{"service", "what"}, Values: []string{string(n), what}, Value: float64(v), IsCounter: true})
		}
	}
	return out
}
