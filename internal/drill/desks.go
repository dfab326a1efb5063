package drill

import (
	"time"

	"dunlinwell/internal/catalogue"
	"dunlinwell/internal/counter"
	"dunlinwell/internal/desk"
	"dunlinwell/internal/haulage"
	"dunlinwell/internal/ticket"
	"dunlinwell/internal/till"
	"dunlinwell/internal/works"
)

// desks is the data plane of a simulated counter: real desks, and targets
// reached over the simulated net.
type desks struct {
	p     *proc
	c     *counter.Control
	list  map[ticket.Name]*desk.Desk
	order []ticket.Name
	jobs  map[ticket.Request]*errand
	next  ticket.Request
	last  ticket.Tick
	view  *catalogue.View
	ready counter.Footing
	meter ticket.Tick
	spent map[[2]ticket.Name]float64
	count uint64
	held  ticket.Revision
}

// errand is a request in hand at a counter.
type errand struct {
	desk.Job
	token string
	// try is the consumer's own count, which it may keep to itself.
	try  int
	done func(desk.Response)
}

func newDesks(p *proc, c *counter.Control) *desks {
	return &desks{p: p, c: c, list: map[ticket.Name]*desk.Desk{}, jobs: map[ticket.Request]*errand{}, spent: map[[2]ticket.Name]float64{}}
}

func (d *desks) at(s ticket.Name) *desk.Desk {
	if d.list[s] == nil {
		d.list[s] = desk.New(desk.Params{Dice: d.p.dice, Self: till.Owner{Daemon: ticket.Daemon(d.p.name), Start: d.p.start}})
		d.order = append(d.order, s)
	}
	return d.list[s]
}

const meterEvery = 2 * time.Second

func (d *desks) beat() {
	d.last = d.p.now()
	for _, n := range d.order {
		d.hand(n, works.ClockEvent{})
	}
	if now := d.p.now(); now.Since(d.meter) >= meterEvery {
		span := now.Since(d.meter)
		d.meter = now
		m := counter.Meter{Interval: span, Latency: 2 * time.Millisecond, Count: d.count}
		if p := d.p; p.w.Latency != nil {
			used := 0.0
			for _, r := range sortedPairs(d.spent) {
				used += d.spent[r] / span.Seconds()
			}
			m.Latency = p.w.Latency(used)
		}
		for _, r := range sortedPairs(d.spent) {
			m.Rows = append(m.Rows, haulage.Spent{Route: r[0], Service: r[1], CPU: d.spent[r] / span.Seconds()})
		}
		d.spent, d.count = map[[2]ticket.Name]float64{}, 0
		d.p.take(m)
	}
}

func (d *desks) hand(s ticket.Name, ev works.Event) {
	for _, c := range d.at(s).Step(d.p.now(), ev) {
		d.do(s, c)
	}
}

// perform carries out what the control machine wants.
func (d *desks) perform(c works.Command) {
	switch c := c.(type) {
	case counter.ToDesk:
		d.hand(c.Service, c.Event)
	case counter.Routes:
		d.view = c.View
		d.p.w.held(d, c.View)
	case counter.Footing:
		d.ready = c
	}
}

// do carries out what a desk wants.
func (d *desks) do(s ticket.Name, c works.Command) {
	p := d.p
	switch c := c.(type) {
	case desk.Wish:
		if c.Op == till.OpClaim && p.w.atClaim != nil {
			p.w.atClaim(p)
		}
		p.later(0, func() { p.take(counter.Asked{Service: s, Wish: c}) })
	case desk.Ferry:
		// The scheduler may let a moment pass, or a freeze come between.
		p.later(p.w.between(0, 2*time.Millisecond), func() { d.ferry(s, c) })
	case desk.Response:
		e := d.jobs[c.ID]
		delete(d.jobs, c.ID)
		if e != nil && e.done != nil {
			if p.w.Defect.Response != nil {
				c = p.w.Defect.Response(c)
			}
			e.done(c)
		}
	}
}

// dropAll is what the consumers of a killed counter see.
func (d *desks) dropAll() { d.jobs = map[ticket.Request]*errand{} }

// arrive takes a consumer's request, as the real front does.
func (d *desks) arrive(route ticket.Name, token string, mark ticket.Mark, try int, says bool, left time.Duration, done func(desk.Response)) {
	var r catalogue.Route
	ok := false
	if d.view != nil {
		r, ok = d.view.Routes[route]
	}
	if !ok && !d.ready.InStep {
		done(unknownYet(try, says, mark))
		return
	}
	if !ok {
		done(desk.Response{Class: desk.Misused, Status: 404})
		return
	}
	attempt := try
	if !says {
		attempt = 0
	}
	d.next++
	j := desk.Job{ID: d.next, Route: route, Service: r.Service, Tier: r.Tier * 10, Repeatable: r.Repeatable, Mark: mark, Terms: counter.Terms(r),
		Attempt: uint32(attempt), Print: []byte(token), Due: d.p.now().Add(min(left, r.LimitTime()))}
	d.jobs[j.ID] = &errand{Job: j, token: token, try: try, done: done}
	d.count++
	d.hand(r.Service, desk.Arrive{Job: j})
}

// unknownYet answers for a counter that doesn't know the route yet, which is
// "busy" only where no earlier attempt can have run.
func unknownYet(try int, says bool, mark ticket.Mark) desk.Response {
	if (try > 1 || !says) && mark != "" {
		return desk.Response{Class: desk.Unknown, Status: 504}
	}
	return desk.Response{Class: desk.Declined, Status: 503}
}

// ferry is the real carrier's part: dial, let the target show who it is, look
// once more, send, and wait for a sealed answer.
func (d *desks) ferry(s ticket.Name, f desk.Ferry) {
	p, w := d.p, d.p.w
	e := d.jobs[f.ID]
	if e == nil {
		return
	}
	back := desk.Back{ID: f.ID, Turn: f.Turn, How: desk.NotSent, Why: "dial"}
	end := func(after time.Duration, b desk.Back) {
		p.later(after, func() { d.hand(s, b) })
	}
	t := w.owner[f.Target.Address]
	if t == nil || !t.up {
		end(w.between(0, time.Millisecond), back)
		return
	}
	if !w.open(p.name, p.cell, string(t.id), t.cell) || !w.open(string(t.id), t.cell, p.name, p.cell) {
		end(min(time.Second, max(f.Due.Since(p.now()), 0)), back)
		return
	}
	trip := w.far(p.cell, t.cell)
	p.later(2*trip, func() {
		// One that is frozen shows nothing: the dial runs out of time.
		if t.frozen && !w.Defect.NoCheck {
			end(min(time.Second, max(f.Due.Since(p.now()), 0)), back)
			return
		}
		// The circuit shows who is there now.
		if !w.Defect.NoCheck && (!t.up || t.id != f.Target.Instance || t.service != f.Target.Service || t.incarnation != f.Target.Incarnation || t.leaving) {
			end(0, back)
			return
		}
		if !counter.MayLeave(p.now(), f.By, d.last) {
			end(0, back)
			return
		}
		d.sent(s, f, e, t, trip)
	})
}

// sent is a request whose bytes have left.
func (d *desks) sent(s ticket.Name, f desk.Ferry, e *errand, t *target, trip time.Duration) {
	p, w := d.p, d.p.w
	over := false
	gen := p.gen
	end := func(b desk.Back) {
		if !over {
			over = true
			d.hand(s, b)
		}
	}
	maybe := desk.Back{ID: f.ID, Turn: f.Turn, How: desk.Maybe, Why: "no sealed answer"}
	p.later(max(f.Due.Since(p.now()), 0), func() { end(maybe) })
	run, sent, left := t.gen, w.now, f.Due.Since(p.now())
	w.later(trip, func() {
		if !t.up || t.gen != run {
			if p.gen == gen {
				p.later(trip, func() { end(maybe) })
			}
			return
		}
		came := w.now
		t.awake(func() {
			t.run(e, p, s, sent, came, left, func(a till.Response, ok bool) {
				if p.gen != gen {
					return
				}
				b := maybe
				if ok {
					b = desk.Back{ID: f.ID, Turn: f.Turn, How: desk.Sealed, Response: a}
					d.spent[[2]ticket.Name{e.Route, s}] += w.Cost
					p.total += w.Cost
				}
				if !w.open(string(t.id), t.cell, p.name, p.cell) {
					return // lost on the way: the time limit ends it
				}
				p.later(trip, func() { end(b) })
			})
		})
	})
}
