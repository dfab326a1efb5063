package proxy

import (
	"context"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"dunlinwell/internal/app/api"
	"dunlinwell/internal/app/daemon"
	"dunlinwell/internal/base/event"
)

const (
	// trafficLogInterval is the interval of the requests_forwarded log entries.
	trafficLogInterval = 20 * time.Second
	// supervisorStopTimeout is how long a shutdown waits for the background tasks to end.
	// By then the grace period is over or all responses are written, so a task that hangs
	// does no harm.
	supervisorStopTimeout = 200 * time.Millisecond
)

// Run runs the proxy until the context is canceled, and then shuts it down gracefully within
// DaemonOptions.GracePeriod. It returns nil after a shutdown, and otherwise the error that
// stopped the proxy.
//
// A graceful shutdown takes these steps:
//
//   - The proxy is no longer ready, and notifies every registry (Control.announceStop), so that
//     the directory stops returning it.
//   - The client listener stays open for lameDuckPeriod.
//   - Idle client connections are closed, the others after their response.
//   - Once all client connections are closed, or the grace period is over, the background tasks
//     end.
func (d *Daemon) Run(ctx context.Context) error {
	wire, err := d.transport.Listen()
	if err != nil {
		return err
	}
	pages, err := api.Listen(d.Options.HTTPListenAddress())
	if err != nil {
		return err
	}
	// The listener must exist before Control runs, which may set its limits immediately.
	if err := d.listenForClients(); err != nil {
		return err
	}
	supervisor := daemon.NewSupervisor("proxy", d.log)
	supervisor.Add(d.eventLoop)
	supervisor.Add(daemon.NewTask("transport", func(c context.Context) error { return d.transport.Serve(c, wire) }))
	supervisor.Add(daemon.NewTask("timers", d.runTimers))
	supervisor.Add(daemon.NewTask("delay probe", func(c context.Context) error {
		return d.delayProbe.run(c, func() { d.eventLoop.Put(probeReturned{}) })
	}))
	// The background tasks outlive ctx, since requests in flight need them.
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		// The supervisor restarts failed tasks, so it ends only when its context is canceled.
		_ = supervisor.Serve(background)
	}()
	go func() {
		<-ctx.Done()
		d.stopping.Store(true)
		d.eventLoop.Put(Stopping{})
		d.log.Event(event.LevelInfo, logStopping)
	}()
	err = d.serveListeners(ctx, pages)
	stopBackground()
	select {
	case <-stopped:
	case <-time.After(supervisorStopTimeout):
	}
	d.log.Event(event.LevelInfo, logStopped)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// serveListeners serves the HTTP pages and the clients. After ctx is canceled, it returns once the
// requests in flight are finished or the grace period is over.
func (d *Daemon) serveListeners(ctx context.Context, pages net.Listener) error {
	gracePeriod := d.Options.GracePeriod
	if d.Options.ClientListen == "" {
		return api.Serve(ctx, clientConnListener{pages}, d.handler(true), gracePeriod)
	}
	var servers sync.WaitGroup
	for address, handler := range d.frontend.ExtraListeners(d) {
		listener, err := api.Listen(address)
		if err != nil {
			return err
		}
		// An error while serving the pages doesn't affect client requests.
		servers.Go(func() { _ = api.Serve(ctx, listener, handler, gracePeriod) })
	}
	servers.Go(func() { _ = api.Serve(ctx, pages, d.handler(false), gracePeriod) })
	err := d.clientListener.serve(ctx, gracePeriod)
	servers.Wait()
	return err
}

// listenForClients opens the client listener if clients have a separate listen address.
func (d *Daemon) listenForClients() error {
	if d.Options.ClientListen == "" {
		return nil
	}
	listener, err := api.Listen(d.Options.ClientListen)
	if err != nil {
		return err
	}
	d.clientListener = newClientListener(listener, d.frontend.ClientHandler(d))
	return nil
}

// runTimers runs the periodic work until ctx is canceled.
func (d *Daemon) runTimers(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	report := time.NewTicker(d.Options.ReportInterval)
	defer report.Stop()
	traffic := time.NewTicker(trafficLogInterval)
	defer traffic.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			for _, service := range d.serviceNames() {
				d.stepDispatcher(service, event.Tick{})
			}
		case <-traffic.C:
			d.logTraffic()
		case <-report.C:
			d.pool.closeExpired()
			d.pool.raiseRecentIdleLimit()
			d.eventLoop.Put(d.meter.takeSample())
			d.logFailures()
			d.logMessageDelay()
		}
	}
}

// logTraffic logs the counters of forwarded requests of each service.
func (d *Daemon) logTraffic() {
	for _, service := range d.serviceNames() {
		counters, _, _ := d.dispatcherOf(service).counters()
		sameZone := counters.Forwarded - counters.CrossZone - counters.CrossRegion
		d.log.Event(event.LevelInfo, logRequestsForwarded, "service", string(service),
			"same_zone", formatUint(sameZone), "same_region", formatUint(counters.CrossZone),
			"cross_region", formatUint(counters.CrossRegion), "retried", formatUint(counters.Retried),
			"client_left", formatUint(counters.ClientDisconnects))
	}
}

// logMessageDelay logs the message delay if it is at least messageDelayLogThreshold.
func (d *Daemon) logMessageDelay() {
	if delay := d.MessageDelay(); delay >= messageDelayLogThreshold {
		d.log.Event(event.LevelWarn, logMessagesDelayed, "delay_ms", formatMillis(delay), "configuration_age_ms", formatMillis(d.ConfigurationAge()))
	}
}

// logFailures logs the number of requests without a target's response since the last call, by
// service and reason.
func (d *Daemon) logFailures() {
	for _, service := range d.serviceNames() {
		counts := d.dispatcherOf(service).takeFailureReasons()
		for _, reason := range slices.Sorted(maps.Keys(counts)) {
			d.log.Event(event.LevelWarn, logRequestsFailed, "service", string(service),
				"reason", reason, "count", strconv.Itoa(counts[reason]))
		}
	}
}
