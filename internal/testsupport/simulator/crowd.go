package simulator

import (
	"fmt"
	"strings"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/testsupport/blueprint"
	"dunlinwell/internal/testsupport/checker"
)

// crowd is the stand-in clients.
type crowd struct {
	n    int
	stop bool
	held map[string]held
}

// held is a live connection: its client asks nobody where to go.
type held struct {
	at    ids.Address
	zone  ids.Name
	until ids.Time
}

// heldBy is how many clients of a zone and route hold connections: few of them
// for short holds, or none would be used twice.
func (w *World) heldBy() int {
	if w.Hold >= time.Minute {
		return 40
	}
	return 3
}

const (
	patience  = 4 * time.Second
	mostTries = 4
)

// arrivals sends requests at the plan's rate.
func (w *World) arrivals() {
	if w.crowd.stop {
		return
	}
	gap := time.Duration(float64(time.Second) / w.Rate)
	w.later(w.between(gap/2, gap*3/2), func() {
		w.crowd.n++
		w.ask(w.newAsk())
		w.arrivals()
	})
}

// asking is one request and its repeats.
type asking struct {
	way   blueprint.Way
	home  ids.Name
	token string
	mark  ids.IdempotencyKey
	try   int
	// says: it tells the number of each attempt.
	says bool
	// seat names the client among those that hold connections.
	seat string
}

func (w *World) newAsk() *asking {
	a := &asking{home: w.Plan.Zone(w.random.IntN(w.Plan.Zones)), try: 1}
	x := w.random.Float64()
	a.way = w.Plan.Ways[0]
	for _, way := range w.Plan.Ways {
		if x -= way.Share; x < 0 {
			a.way = way
			break
		}
	}
	// Some ask for the route that operators move about.
	if w.office.flips && w.random.IntN(12) == 0 {
		a.way = blueprint.Way{Route: "flip", Repeatable: true}
	}
	if w.Hot != nil {
		a.home = w.Hot(w, a.home)
	}
	if w.Brief == 0 || w.random.Float64() >= w.Brief {
		a.seat = fmt.Sprintf("%s/%s/%d", a.home, a.way.Route, w.random.IntN(w.heldBy()))
	}
	a.token = fmt.Sprintf("%s:t%d", a.way.Route, w.crowd.n)
	a.says = a.way.Repeatable || w.random.IntN(4) > 0 || w.counted
	if !a.way.Repeatable {
		a.mark = ids.IdempotencyKey("m" + a.token)
	}
	return a
}

// ask asks the directory, and sends the request where it says.
func (w *World) ask(a *asking) {
	g := checker.Got{Sent: w.clock(), Token: a.token, Mark: string(a.mark), Attempt: a.try, Class: "unreached", Loose: a.way.Route == "flip"}
	if h, ok := w.crowd.held[a.seat]; ok && w.now < h.until && a.try == 1 {
		g.Zone, g.Held = h.zone, true
		w.deliver(a, g, h.at)
		return
	}
	w.call("consumer", a.home, func(id uint64) any { return registry.ResolveCall{ID: id, Zone: a.home, Route: a.way.Route} }, func(r registry.Response) {
		way, ok := r.Body.(registry.Resolution)
		if !ok || len(way.Proxies) == 0 {
			w.responded(a, g)
			return
		}
		g.Zone = way.Zone
		w.Truth.Pointed(checker.Asked{At: w.clock(), Home: a.home, To: way.Zone, Route: a.way.Route})
		at := way.Proxies[w.random.IntN(len(way.Proxies))]
		if w.Hold > 0 && a.seat != "" {
			w.crowd.held[a.seat] = held{at, way.Zone, w.now.Add(w.between(w.Hold/2, w.Hold*3/2))}
		}
		w.deliver(a, g, at)
	}, func() { w.responded(a, g) })
}

func (w *World) deliver(a *asking, g checker.Got, at ids.Address) {
	p := w.at[at]
	g.Proxy = string(at)
	over := false
	call := &exchange{}
	end := func(class string) {
		if !over {
			over, call.over = true, true
			g.Class, g.At = class, w.clock()
			w.responded(a, g)
		}
	}
	if p == nil || p.role != membership.Proxy {
		end("unreached")
		return
	}
	g.Proxy = p.name
	if w.refused("consumer", a.home, p.name, p.zone) {
		w.later(time.Millisecond, func() { end("unreached") })
		return
	}
	if !w.open("consumer", a.home, p.name, p.zone) {
		w.later(time.Second, func() { end("unreached") })
		return
	}
	*call = exchange{from: "consumer", to: p.name, fromZone: a.home, toZone: p.zone, broken: func() { end("lost") }}
	w.begin(call)
	w.later(patience, func() { end("lost") })
	w.later(w.far(a.home, p.zone), func() {
		if !p.up {
			w.later(time.Millisecond, func() { end("lost") })
			return
		}
		gen := p.gen
		take := func() {
			p.dispatchers.arrive(a.way.Route, a.token, a.mark, a.try, a.says, patience, func(r dispatch.Response) {
				if p.gen != gen || !w.open(p.name, p.zone, "consumer", a.home) {
					return
				}
				w.later(w.far(p.zone, a.home), func() {
					g.Status, g.Body = r.Status, string(r.TargetResponse.Body)
					if r.Class == dispatch.Answered && !strings.HasPrefix(g.Body, a.token+"/") {
						g.Problem = "answer is " + g.Body
					}
					w.closes(p, a, g)
					end([...]string{"", "declined", "unknown", "answered", "misused"}[r.Class])
				})
			})
		}
		p.later(0, take)
	})
}

// responded writes an attempt's end down; a client without an answer asks
// again, under the same mark.
func (w *World) responded(a *asking, g checker.Got) {
	if g.At.IsZero() {
		g.At = w.clock()
	}
	w.Truth.Respond(g)
	// Nobody holds on to a connection that is dead.
	if g.Held && (g.Class == "unreached" || g.Class == "lost") {
		delete(w.crowd.held, a.seat)
	}
	w.trace("%s attempt %d %s %s at %s", a.token, a.try, g.Class, g.Body, g.Proxy)
	// Now and then one that has its answer asks again all the same: it must get
	// that answer once more.
	done := g.Class == "answered" && (a.mark == "" || w.random.IntN(8) > 0)
	if done || g.Class == "misused" || a.try >= mostTries {
		return
	}
	next := *a
	next.try++
	w.later(w.between(200*time.Millisecond, time.Duration(a.try)*600*time.Millisecond), func() { w.ask(&next) })
}

// closes ends a held connection as the real front does, after an answer: where its
// zone is emptied, so that no new work comes down it.
func (w *World) closes(p *proc, a *asking, g checker.Got) {
	if !g.Held || !p.dispatchers.ready.ZoneDrained && !w.Defect.CloseHeld {
		return
	}
	delete(w.crowd.held, a.seat)
	// One that is out of step serves nobody anyway, and may not know of a refilling.
	w.Truth.Close(checker.Closed{At: w.clock(), Proxy: p.name, Zone: p.zone, Why: "after an answer", Excused: !p.dispatchers.ready.LeaseValid})
}
