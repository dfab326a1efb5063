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

// longLivedClients is the stand-in clients.
type longLivedClients struct {
	n           int
	stop        bool
	connections map[string]longLivedConnection
}

// longLivedConnection is a live connection: its client asks nobody where to go.
type longLivedConnection struct {
	at    ids.Address
	zone  ids.Name
	until ids.Time
}

// heldBy is how many clients of a zone and route hold connections: few of them
// for short holds, or none would be used twice.
func (w *World) heldBy() int {
	if w.HoldConnectionsFor >= time.Minute {
		return 40
	}
	return 3
}

const (
	attemptTimeout = 4 * time.Second
	maxAttempts    = 4
)

// arrivals sends requests at the plan's rate.
func (w *World) arrivals() {
	if w.longLived.stop {
		return
	}
	gap := time.Duration(float64(time.Second) / w.Rate)
	w.later(w.between(gap/2, gap*3/2), func() {
		w.longLived.n++
		w.ask(w.newAsk())
		w.arrivals()
	})
}

// pendingRequest is one request and its repeats.
type pendingRequest struct {
	route blueprint.Route
	home  ids.Name
	token string
	mark  ids.IdempotencyKey
	try   int
	// says: it tells the number of each attempt.
	sendsAttemptCount bool
	// connection names the client among those that hold connections.
	connection string
}

func (w *World) newAsk() *pendingRequest {
	a := &pendingRequest{home: w.Plan.Zone(w.random.IntN(w.Plan.Zones)), try: 1}
	x := w.random.Float64()
	a.route = w.Plan.Routes[0]
	for _, way := range w.Plan.Routes {
		if x -= way.Share; x < 0 {
			a.route = way
			break
		}
	}
	// Some ask for the route that operators move about.
	if w.operators.flips && w.random.IntN(12) == 0 {
		a.route = blueprint.Route{Name: "flip", Repeatable: true}
	}
	if w.Hot != nil {
		a.home = w.Hot(w, a.home)
	}
	if w.BriefConnectionShare == 0 || w.random.Float64() >= w.BriefConnectionShare {
		a.connection = fmt.Sprintf("%s/%s/%d", a.home, a.route.Name, w.random.IntN(w.heldBy()))
	}
	a.token = fmt.Sprintf("%s:t%d", a.route.Name, w.longLived.n)
	a.sendsAttemptCount = a.route.Repeatable || w.random.IntN(4) > 0 || w.counted
	if !a.route.Repeatable {
		a.mark = ids.IdempotencyKey("m" + a.token)
	}
	return a
}

// ask asks the directory, and sends the request where it says.
func (w *World) ask(a *pendingRequest) {
	g := checker.ClientResponse{Sent: w.clock(), Token: a.token, IdempotencyKey: string(a.mark), Attempt: a.try, Class: "unreached", NoAnswerOwed: a.route.Name == "flip"}
	if h, ok := w.longLived.connections[a.connection]; ok && w.now < h.until && a.try == 1 {
		g.Zone, g.Held = h.zone, true
		w.deliver(a, g, h.at)
		return
	}
	w.call("consumer", a.home, func(id uint64) any { return registry.ResolveCall{ID: id, Zone: a.home, Route: a.route.Name} }, func(r registry.Response) {
		way, ok := r.Body.(registry.Resolution)
		if !ok || len(way.Proxies) == 0 {
			w.responded(a, g)
			return
		}
		g.Zone = way.Zone
		w.Checker.DirectoryAnswered(checker.DirectoryAnswer{At: w.clock(), ClientZone: a.home, ProxyZone: way.Zone, Route: a.route.Name})
		at := way.Proxies[w.random.IntN(len(way.Proxies))]
		if w.HoldConnectionsFor > 0 && a.connection != "" {
			w.longLived.connections[a.connection] = longLivedConnection{at, way.Zone, w.now.Add(w.between(w.HoldConnectionsFor/2, w.HoldConnectionsFor*3/2))}
		}
		w.deliver(a, g, at)
	}, func() { w.responded(a, g) })
}

func (w *World) deliver(a *pendingRequest, g checker.ClientResponse, at ids.Address) {
	p := w.processByAddress[at]
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
	w.later(attemptTimeout, func() { end("lost") })
	w.later(w.far(a.home, p.zone), func() {
		if !p.up {
			w.later(time.Millisecond, func() { end("lost") })
			return
		}
		gen := p.generation
		take := func() {
			p.dispatchers.arrive(a.route.Name, a.token, a.mark, a.try, a.sendsAttemptCount, attemptTimeout, func(r dispatch.Response) {
				if p.generation != gen || !w.open(p.name, p.zone, "consumer", a.home) {
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
func (w *World) responded(a *pendingRequest, g checker.ClientResponse) {
	if g.At.IsZero() {
		g.At = w.clock()
	}
	w.Checker.RequestAnswered(g)
	// Nobody holds on to a connection that is dead.
	if g.Held && (g.Class == "unreached" || g.Class == "lost") {
		delete(w.longLived.connections, a.connection)
	}
	w.trace("%s attempt %d %s %s at %s", a.token, a.try, g.Class, g.Body, g.Proxy)
	// Now and then one that has its answer asks again all the same: it must get
	// that answer once more.
	done := g.Class == "answered" && (a.mark == "" || w.random.IntN(8) > 0)
	if done || g.Class == "misused" || a.try >= maxAttempts {
		return
	}
	next := *a
	next.try++
	w.later(w.between(200*time.Millisecond, time.Duration(a.try)*600*time.Millisecond), func() { w.ask(&next) })
}

// closes ends a held connection as the real front does, after an answer: where its
// zone is emptied, so that no new work comes down it.
func (w *World) closes(p *process, a *pendingRequest, g checker.ClientResponse) {
	if !g.Held || !p.dispatchers.ready.ZoneDrained && !w.Defect.CloseLongLived {
		return
	}
	delete(w.longLived.connections, a.connection)
	// One that is out of step serves nobody anyway, and may not know of a refilling.
	w.Checker.ConnectionClosed(checker.ClosedConnection{At: w.clock(), Proxy: p.name, Zone: p.zone, Why: "after an answer", Excused: !p.dispatchers.ready.LeaseValid})
}
