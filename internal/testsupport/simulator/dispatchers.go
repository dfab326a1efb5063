package simulator

import (
	"cmp"
	"slices"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/spill"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/dataplane/proxy"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/idempotency"
)

// dispatchers is the data plane of a simulated proxy: real dispatchers that reach targets over the
// simulated network.
type dispatchers struct {
	process         *process
	control         *proxy.Control
	byService       map[ids.Name]*dispatch.Dispatcher
	services        []ids.Name
	requestsByID    map[ids.RequestID]*forwardedRequest
	lastRequestID   ids.RequestID
	lastTick        ids.Time
	view            *configuration.View
	servingState    proxy.ServingState
	lastMeasuredAt  ids.Time
	cpuMillis       map[[2]ids.Name]float64
	requests        uint64
	adoptedRevision ids.Revision
}

// forwardedRequest is a request that a proxy is handling.
type forwardedRequest struct {
	dispatch.Job
	requestToken string
	// attempt is the client's attempt number; Job.Attempt is 0 if the client doesn't send it.
	attempt    int
	onResponse func(dispatch.Response)
	disconnect clientDisconnect
}

// newDispatchers returns the data plane for one run of a proxy.
func newDispatchers(p *process, c *proxy.Control) *dispatchers {
	return &dispatchers{process: p, control: c, byService: map[ids.Name]*dispatch.Dispatcher{}, requestsByID: map[ids.RequestID]*forwardedRequest{}, cpuMillis: map[[2]ids.Name]float64{}}
}

// dispatcher returns the dispatcher of a service, creating it on first use.
func (d *dispatchers) dispatcher(service ids.Name) *dispatch.Dispatcher {
	if d.byService[service] == nil {
		d.byService[service] = dispatch.New(dispatch.Options{Random: d.process.random, Self: idempotency.Owner{Daemon: ids.DaemonID(d.process.name), RunID: d.process.runID}})
		d.services = append(d.services, service)
	}
	return d.byService[service]
}

// meterEvery is the interval at which a proxy measures its usage.
const meterEvery = 2 * time.Second

// tick delivers a timer tick to every dispatcher and measures the usage when due.
func (d *dispatchers) tick() {
	d.lastTick = d.process.now()
	for _, service := range d.services {
		d.step(service, event.Tick{})
	}
	if now := d.process.now(); now.Sub(d.lastMeasuredAt) >= meterEvery {
		d.measure(now)
	}
}

// measure passes the usage since the last measurement to the control machine.
func (d *dispatchers) measure(now ids.Time) {
	span := now.Sub(d.lastMeasuredAt)
	d.lastMeasuredAt = now
	sample := proxy.UsageSample{Interval: span, LatencyP95: 2 * time.Millisecond, Requests: d.requests}
	if p := d.process; p.world.LatencyAtUsage != nil {
		used := 0.0
		for _, pair := range sortedPairs(d.cpuMillis) {
			used += d.cpuMillis[pair] / span.Seconds()
		}
		sample.LatencyP95 = p.world.LatencyAtUsage(used)
	}
	for _, pair := range sortedPairs(d.cpuMillis) {
		sample.Rows = append(sample.Rows, spill.ServiceUsage{Route: pair[0], Service: pair[1], CPU: d.cpuMillis[pair] / span.Seconds()})
	}
	d.cpuMillis, d.requests = map[[2]ids.Name]float64{}, 0
	d.process.deliver(sample)
}

// step passes an event to the dispatcher of a service and executes its commands.
func (d *dispatchers) step(service ids.Name, ev event.Event) {
	for _, c := range d.dispatcher(service).Step(d.process.now(), ev) {
		d.execute(service, c)
	}
}

// executeControl executes a command of the control machine.
func (d *dispatchers) executeControl(c event.Command) {
	switch c := c.(type) {
	case proxy.DispatchEvent:
		d.step(c.Service, c.Event)
	case proxy.UpdateRoutes:
		d.view = c.View
		d.process.world.configurationAdopted(d, c.View)
	case proxy.ServingState:
		d.servingState = c
	}
}

// execute executes a command of a dispatcher.
func (d *dispatchers) execute(service ids.Name, c event.Command) {
	p := d.process
	switch c := c.(type) {
	case dispatch.IdempotencyCall:
		if c.Op == idempotency.OpClaim && p.world.onClaim != nil {
			p.world.onClaim(p)
		}
		p.scheduleInRun(0, func() { p.deliver(proxy.IdempotencyRequest{Service: service, Call: c}) })
	case dispatch.Forward:
		// Model a scheduling delay, during which the process may freeze.
		p.scheduleInRun(p.world.randomDuration(0, 2*time.Millisecond), func() { d.forward(service, c) })
	case dispatch.CancelForward:
		d.cancel(c)
	case dispatch.Response:
		request := d.requestsByID[c.ID]
		delete(d.requestsByID, c.ID)
		if request != nil && request.onResponse != nil {
			if p.world.Defect.AlterResponse != nil {
				c = p.world.Defect.AlterResponse(c)
			}
			request.onResponse(c)
		}
	}
}

// dropRequests drops all requests when the proxy is killed. Their clients get no response.
func (d *dispatchers) dropRequests() { d.requestsByID = map[ids.RequestID]*forwardedRequest{} }

// receive handles a client's request like the front end. It returns the request's ID, or 0 if the
// request was not passed to a dispatcher.
func (d *dispatchers) receive(route ids.Name, token string, key ids.IdempotencyKey, number int, sendsAttemptCount bool, timeLeft time.Duration, respond func(dispatch.Response)) ids.RequestID {
	var rule configuration.Route
	ok := false
	if d.view != nil {
		rule, ok = d.view.Routes[route]
	}
	if !ok && !d.servingState.LeaseValid {
		respond(respondRouteUnknown(number, sendsAttemptCount, key))
		return 0
	}
	if !ok {
		respond(dispatch.Response{Class: dispatch.ClientError, Status: 404})
		return 0
	}
	attempt := number
	if !sendsAttemptCount {
		attempt = 0
	}
	d.lastRequestID++
	job := dispatch.Job{
		ID: d.lastRequestID, Route: route, Service: rule.Service, Tier: rule.Tier * 10, Repeatable: rule.Repeatable, IdempotencyKey: key, RouteRules: proxy.RouteRules(rule),
		Attempt: uint32(attempt), Fingerprint: []byte(token), Deadline: d.process.now().Add(min(timeLeft, rule.Timeout())),
	}
	d.requestsByID[job.ID] = &forwardedRequest{Job: job, requestToken: token, attempt: number, onResponse: respond}
	d.requests++
	d.step(rule.Service, dispatch.RequestArrived{Job: job})
	return job.ID
}

// respondRouteUnknown returns the response of a proxy that doesn't know the route yet. A rejection
// means that the request did not run, so it is only used if no earlier attempt may have run.
func respondRouteUnknown(attempt int, sendsAttemptCount bool, key ids.IdempotencyKey) dispatch.Response {
	if (attempt > 1 || !sendsAttemptCount) && key != "" {
		return dispatch.Response{Class: dispatch.Unknown, Status: 504}
	}
	return dispatch.Response{Class: dispatch.Rejected, Status: 503}
}

// sortedPairs returns the keys in a deterministic order.
func sortedPairs(m map[[2]ids.Name]float64) [][2]ids.Name {
	var out [][2]ids.Name
	for k := range m {
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b [2]ids.Name) int { return cmp.Or(cmp.Compare(a[0], b[0]), cmp.Compare(a[1], b[1])) })
	return out
}
