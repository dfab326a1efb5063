package simulator

import (
	"strings"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/testsupport/checker"
)

// delivery is the transmission of an attempt to a proxy and of its response back.
type delivery struct {
	world    *World
	request  *pendingRequest
	response checker.ClientResponse
	exchange *exchange
	ended    bool
}

// end ends the attempt unless it has already ended.
func (d *delivery) end(class string) {
	if d.ended {
		return
	}
	d.ended, d.exchange.ended = true, true
	d.response.Class, d.response.At = class, d.world.wallTime()
	d.world.responded(d.request, d.response)
}

// endAfter ends the attempt after a delay unless it has already ended.
func (d *delivery) endAfter(delay time.Duration, class string) {
	d.world.schedule(delay, func() { d.end(class) })
}

// deliver sends an attempt to a proxy and returns the response to the client.
func (w *World) deliver(request *pendingRequest, response checker.ClientResponse, address ids.Address) {
	p := w.processByAddress[address]
	response.Proxy = string(address)
	d := &delivery{world: w, request: request, response: response, exchange: &exchange{}}
	if p == nil || p.role != membership.Proxy {
		d.end(checker.ClassUnreached)
		return
	}
	d.response.Proxy = p.name
	if w.refusesConnection(client, request.zone, p.name, p.zone) {
		d.endAfter(time.Millisecond, checker.ClassUnreached)
		return
	}
	if !w.delivers(client, request.zone, p.name, p.zone) {
		d.endAfter(time.Second, checker.ClassUnreached)
		return
	}
	d.exchange = &exchange{from: client, to: p.name, fromZone: request.zone, toZone: p.zone, onReset: func() { d.end(checker.ClassLost) }}
	w.beginExchange(d.exchange)
	d.endAfter(attemptTimeout, checker.ClassLost)
	w.schedule(w.latency(request.zone, p.zone), func() { d.arrive(p) })
}

// arrive passes the request to the proxy, which may have stopped since it was sent.
func (d *delivery) arrive(p *process) {
	w, request := d.world, d.request
	if !p.up {
		d.endAfter(time.Millisecond, checker.ClassLost)
		return
	}
	generation := p.generation
	p.scheduleInRun(0, func() {
		id := p.dispatchers.receive(request.route.Name, request.token, request.idempotencyKey, request.attempt, request.sendsAttemptCount, attemptTimeout, func(answer dispatch.Response) {
			if p.generation != generation || !w.delivers(p.name, p.zone, client, request.zone) {
				return
			}
			w.schedule(w.latency(p.zone, request.zone), func() { d.receive(p, answer) })
		})
		d.maybeDisconnect(p, generation, id)
	})
}

// maxDisconnectDelay is the maximum delay of a client disconnect after the arrival of the request:
// long enough for the proxy's attempt to be in progress or complete.
const maxDisconnectDelay = 60 * time.Millisecond

// maybeDisconnect makes some clients close their connection before the response.
func (d *delivery) maybeDisconnect(p *process, generation int, id ids.RequestID) {
	w := d.world
	if w.clients.disconnectShare == 0 || w.random.Float64() >= w.clients.disconnectShare {
		return
	}
	w.schedule(w.randomDuration(0, maxDisconnectDelay), func() {
		if d.ended {
			return
		}
		d.end(checker.ClassLost)
		w.schedule(w.latency(d.request.zone, p.zone), func() {
			if p.up && p.generation == generation {
				p.scheduleInRun(0, func() { p.dispatchers.clientDisconnected(id) })
			}
		})
	})
}

// receive ends the attempt with the proxy's response.
func (d *delivery) receive(p *process, answer dispatch.Response) {
	d.response.Status, d.response.Body = answer.Status, string(answer.TargetResponse.Body)
	if answer.Class == dispatch.Answered && !strings.HasPrefix(d.response.Body, d.request.token+"/") {
		d.response.Problem = "response body is " + d.response.Body
	}
	d.world.closeIfDrained(p, d.request, d.response)
	d.end(responseClasses[answer.Class])
}

// responseClasses maps the dispatcher's response classes to those of the checker.
var responseClasses = map[dispatch.ResponseClass]string{
	dispatch.Rejected:    checker.ClassRejected,
	dispatch.Unknown:     checker.ClassUnknown,
	dispatch.Answered:    checker.ClassAnswered,
	dispatch.ClientError: checker.ClassClientError,
}
