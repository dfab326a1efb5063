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
	// trafficLogInterval is how often the proxy logs where requests were forwarded to.
	trafficLogInterval = 20 * time.Second
	// supervisorStopTimeout is how long the process waits for its background tasks at
	// the end. The responses that the grace period left time for are written by then, so
	// a task that hangs loses nothing.
	supervisorStopTimeout = 200 * time.Millisecond
)

// Run runs the proxy until the context ends, and then shuts it down gracefully within
// DaemonOptions.GracePeriod. It returns nil after that, and otherwise why it ended early.
//
// A shutdown goes in these steps: readiness ends, and every registry is told
// (Control.announceStop), so that the directory names this proxy no more; the clients'
// listener stays open for its lameDuckPeriod; idle connections of clients are closed, the
// others after their response; once the last one is closed or the grace period is over,
// the background tasks end, and the process with them.
func (d *Daemon) Run(ctx context.Context) error {
	wire, err := d.transport.Listen()
	if err != nil {
		return err
	}
	pages, err := api.Listen(d.Options.HTTPListenAddress())
	if err != nil {
		return err
	}
	// Before the control machine runs, which may have limits for the listener at once.
	if err := d.listenForClients(); err != nil {
		return err
	}
	supervisor := daemon.NewSupervisor("proxy", d.log)
	supervisor.Add(d.owner)
	supervisor.Add(daemon.NewTask("transport", func(c context.Context) error { return d.transport.Serve(c, wire) }))
	supervisor.Add(daemon.NewTask("timers", d.runTimers))
	supervisor.Add(daemon.NewTask("delay probe", func(c context.Context) error {
		return d.delayProbe.run(c, func() { d.owner.Put(probeReturned{}) })
	}))
	// The background tasks outlive ctx, since requests in flight need them.
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		// The supervisor restarts what fails, so it ends only when it is told to.
		_ = supervisor.Serve(background)
	}()
	go func() {
		<-ctx.Done()
		d.stopping.Store(true)
		d.owner.Put(Stopping{})
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

// serveListeners serves the HTTP pages and the clients until ctx has ended and either the
// requests in flight or the grace period are over.
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
		// The pages are of no use after the shutdown, however their server ends.
		servers.Go(func() { _ = api.Serve(ctx, listener, handler, gracePeriod) })
	}
	servers.Go(func() { _ = api.Serve(ctx, pages, d.handler(false), gracePeriod) })
	err := d.clientListener.serve(ctx, gracePeriod)
	servers.Wait()
	return err
}

// listenForClients opens the clients' listener, if they have an address of their own.
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

// runTimers does what has to be done at intervals, until ctx ends.
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
			d.owner.Put(d.meter.takeSample())
			d.logFailures()
			d.logMessageDelay()
		}
	}
}

// logTraffic logs, for each service, where its requests were forwarded to since the start.
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

// logMessageDelay logs how long messages wait here, if that is long.
func (d *Daemon) logMessageDelay() {
	if delay := d.MessageDelay(); delay >= messageDelayLogThreshold {
		d.log.Event(event.LevelWarn, logMessagesDelayed, "delay_ms", formatMillis(delay), "configuration_age_ms", formatMillis(d.ConfigurationAge()))
	}
}

// logFailures logs, for each service and reason, how many requests got no response from a
// target since the last call.
func (d *Daemon) logFailures() {
	for _, service := range d.serviceNames() {
		counts := d.dispatcherOf(service).takeFailureReasons()
		for _, reason := range slices.Sorted(maps.Keys(counts)) {
			d.log.Event(event.LevelWarn, logRequestsFailed, "service", string(service),
				"reason", reason, "count", strconv.Itoa(counts[reason]))
		}
	}
}
