package simulator

import (
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/spill"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/dataplane/proxy"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/idempotency"
)

// dispatchers is the data plane of a simulated proxy: real dispatchers, and targets
// reached over the simulated net.
type dispatchers struct {
	p     *process
	c     *proxy.Control
	list  map[ids.Name]*dispatch.Dispatcher
	order []ids.Name
	jobs  map[ids.RequestID]*forwardedRequest
	next  ids.RequestID
	last  ids.Time
	view  *configuration.View
	ready proxy.ServingState
	meter ids.Time
	spent map[[2]ids.Name]float64
	count uint64
	held  ids.Revision
}

// forwardedRequest is a request in hand at a proxy.
type forwardedRequest struct {
	dispatch.Job
	requestToken string
	// attempt is the client's own count, which it may keep to itself.
	attempt    int
	onResponse func(dispatch.Response)
}

func newDispatchers(p *process, c *proxy.Control) *dispatchers {
	return &dispatchers{p: p, c: c, list: map[ids.Name]*dispatch.Dispatcher{}, jobs: map[ids.RequestID]*forwardedRequest{}, spent: map[[2]ids.Name]float64{}}
}

func (d *dispatchers) at(s ids.Name) *dispatch.Dispatcher {
	if d.list[s] == nil {
		d.list[s] = dispatch.New(dispatch.Options{Random: d.p.random, Self: idempotency.Owner{Daemon: ids.DaemonID(d.p.name), RunID: d.p.runID}})
		d.order = append(d.order, s)
	}
	return d.list[s]
}

const meterEvery = 2 * time.Second

func (d *dispatchers) beat() {
	d.last = d.p.now()
	for _, n := range d.order {
		d.hand(n, event.Tick{})
	}
	if now := d.p.now(); now.Sub(d.meter) >= meterEvery {
		span := now.Sub(d.meter)
		d.meter = now
		m := proxy.UsageSample{Interval: span, LatencyP95: 2 * time.Millisecond, Requests: d.count}
		if p := d.p; p.w.Latency != nil {
			used := 0.0
			for _, r := range sortedPairs(d.spent) {
				used += d.spent[r] / span.Seconds()
			}
			m.LatencyP95 = p.w.Latency(used)
		}
		for _, r := range sortedPairs(d.spent) {
			m.Rows = append(m.Rows, spill.ServiceUsage{Route: r[0], Service: r[1], CPU: d.spent[r] / span.Seconds()})
		}
		d.spent, d.count = map[[2]ids.Name]float64{}, 0
		d.p.take(m)
	}
}

func (d *dispatchers) hand(s ids.Name, ev event.Event) {
	for _, c := range d.at(s).Step(d.p.now(), ev) {
		d.do(s, c)
	}
}

// perform carries out what the control machine wants.
func (d *dispatchers) perform(c event.Command) {
	switch c := c.(type) {
	case proxy.DispatchEvent:
		d.hand(c.Service, c.Event)
	case proxy.UpdateRoutes:
		d.view = c.View
		d.p.w.held(d, c.View)
	case proxy.ServingState:
		d.ready = c
	}
}

// do carries out what a dispatcher wants.
func (d *dispatchers) do(s ids.Name, c event.Command) {
	p := d.p
	switch c := c.(type) {
	case dispatch.IdempotencyCall:
		if c.Op == idempotency.OpClaim && p.w.atClaim != nil {
			p.w.atClaim(p)
		}
		p.later(0, func() { p.take(proxy.IdempotencyRequest{Service: s, Call: c}) })
	case dispatch.Forward:
		// The scheduler may let a moment pass, or a freeze come between.
		p.later(p.w.between(0, 2*time.Millisecond), func() { d.forward(s, c) })
	case dispatch.Response:
		e := d.jobs[c.ID]
		delete(d.jobs, c.ID)
		if e != nil && e.onResponse != nil {
			if p.w.Defect.Response != nil {
				c = p.w.Defect.Response(c)
			}
			e.onResponse(c)
		}
	}
}

// dropAll is what the clients of a killed proxy see.
func (d *dispatchers) dropAll() { d.jobs = map[ids.RequestID]*forwardedRequest{} }

// arrive takes a client's request, as the real front does.
func (d *dispatchers) arrive(route ids.Name, token string, mark ids.IdempotencyKey, try int, says bool, left time.Duration, done func(dispatch.Response)) {
	var r configuration.Route
	ok := false
	if d.view != nil {
		r, ok = d.view.Routes[route]
	}
	if !ok && !d.ready.LeaseValid {
		done(unknownYet(try, says, mark))
		return
	}
	if !ok {
		done(dispatch.Response{Class: dispatch.ClientError, Status: 404})
		return
	}
	attempt := try
	if !says {
		attempt = 0
	}
	d.next++
	j := dispatch.Job{
		ID: d.next, Route: route, Service: r.Service, Tier: r.Tier * 10, Repeatable: r.Repeatable, IdempotencyKey: mark, Terms: proxy.RouteTerms(r),
		Attempt: uint32(attempt), Fingerprint: []byte(token), Deadline: d.p.now().Add(min(left, r.Timeout())),
	}
	d.jobs[j.ID] = &forwardedRequest{Job: j, requestToken: token, attempt: try, onResponse: done}
	d.count++
	d.hand(r.Service, dispatch.RequestArrived{Job: j})
}

// unknownYet answers for a proxy that doesn't know the route yet, which is
// "busy" only where no earlier attempt can have run.
func unknownYet(try int, says bool, mark ids.IdempotencyKey) dispatch.Response {
	if (try > 1 || !says) && mark != "" {
		return dispatch.Response{Class: dispatch.Unknown, Status: 504}
	}
	return dispatch.Response{Class: dispatch.Rejected, Status: 503}
}
