package simulator

import (
	"fmt"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/testsupport/blueprint"
	"dunlinwell/internal/testsupport/checker"
)

// client is the name of clients in partitions and exchanges.
const client = "consumer"

// clientState is the state of the stand-in clients.
type clientState struct {
	requests    int
	stopped     bool
	connections map[string]longLivedConnection
	// leaveShare is the share of attempts whose client leaves before long.
	leaveShare float64
}

// longLivedConnection is an open connection of a client, which sends requests on it without asking
// the directory.
type longLivedConnection struct {
	proxy ids.Address
	zone  ids.Name
	until ids.Time
}

// longLivedClientsPerRoute is how many clients of a zone and route keep connections. There are few
// if connections are kept briefly, or none would be used twice.
func (w *World) longLivedClientsPerRoute() int {
	if w.HoldConnectionsFor >= time.Minute {
		return 40
	}
	return 3
}

const (
	// attemptTimeout is how long a client waits for the response to an attempt.
	attemptTimeout = 4 * time.Second
	// maxAttempts is how often a client sends a request at most.
	maxAttempts = 4
)

// arrivals sends requests at the plan's rate until the clients are stopped.
func (w *World) arrivals() {
	if w.clients.stopped {
		return
	}
	gap := time.Duration(float64(time.Second) / w.Rate)
	w.schedule(w.randomDuration(gap/2, gap*3/2), func() {
		w.clients.requests++
		w.sendRequest(w.newRequest())
		w.arrivals()
	})
}

// pendingRequest is an attempt of a request, with what its retries share.
type pendingRequest struct {
	route          blueprint.Route
	zone           ids.Name
	token          string
	idempotencyKey ids.IdempotencyKey
	attempt        int
	// sendsAttemptCount: the client sends the number of each attempt.
	sendsAttemptCount bool
	// connection identifies the client among those that keep connections; empty if it
	// keeps none.
	connection string
}

// newRequest draws the first attempt of a request.
func (w *World) newRequest() *pendingRequest {
	request := &pendingRequest{zone: w.Plan.Zone(w.random.IntN(w.Plan.Zones)), attempt: 1}
	draw := w.random.Float64()
	request.route = w.Plan.Routes[0]
	for _, route := range w.Plan.Routes {
		if draw -= route.Share; draw < 0 {
			request.route = route
			break
		}
	}
	// Some use the route that operators move between services.
	if w.operators.routeFlipped && w.random.IntN(12) == 0 {
		request.route = blueprint.Route{Name: blueprint.FlippedRoute, Repeatable: true}
	}
	if w.Hot != nil {
		request.zone = w.Hot(w, request.zone)
	}
	if w.BriefConnectionShare == 0 || w.random.Float64() >= w.BriefConnectionShare {
		request.connection = fmt.Sprintf("%s/%s/%d", request.zone, request.route.Name, w.random.IntN(w.longLivedClientsPerRoute()))
	}
	request.token = fmt.Sprintf("%s:t%d", request.route.Name, w.clients.requests)
	request.sendsAttemptCount = request.route.Repeatable || w.random.IntN(4) > 0 || w.allNumberAttempts
	if !request.route.Repeatable {
		request.idempotencyKey = ids.IdempotencyKey("m" + request.token)
	}
	return request
}

// sendRequest sends an attempt on a kept connection, or to where the directory says.
func (w *World) sendRequest(request *pendingRequest) {
	response := checker.ClientResponse{Sent: w.wallTime(), Token: request.token, IdempotencyKey: string(request.idempotencyKey), Attempt: request.attempt, Class: checker.ClassUnreached, ResponseOptional: request.route.Name == blueprint.FlippedRoute}
	if connection, ok := w.clients.connections[request.connection]; ok && w.now < connection.until && request.attempt == 1 {
		response.Zone, response.LongLived = connection.zone, true
		w.deliver(request, response, connection.proxy)
		return
	}
	w.callAnyRegistry(client, request.zone, func(id uint64) any {
		return registry.ResolveCall{ID: id, Zone: request.zone, Route: request.route.Name}
	}, func(answer registry.Response) {
		resolution, ok := answer.Body.(registry.Resolution)
		if !ok || len(resolution.Proxies) == 0 {
			w.responded(request, response)
			return
		}
		response.Zone = resolution.Zone
		w.Checker.DirectoryAnswered(checker.DirectoryAnswer{At: w.wallTime(), ClientZone: request.zone, ProxyZone: resolution.Zone, Route: request.route.Name})
		proxy := resolution.Proxies[w.random.IntN(len(resolution.Proxies))]
		if w.HoldConnectionsFor > 0 && request.connection != "" {
			w.clients.connections[request.connection] = longLivedConnection{proxy, resolution.Zone, w.now.Add(w.randomDuration(w.HoldConnectionsFor/2, w.HoldConnectionsFor*3/2))}
		}
		w.deliver(request, response, proxy)
	}, func() { w.responded(request, response) })
}

// responded records the end of an attempt. A client without an answer retries under the same
// idempotency key.
func (w *World) responded(request *pendingRequest, response checker.ClientResponse) {
	if response.At.IsZero() {
		response.At = w.wallTime()
	}
	w.Checker.AttemptEnded(response)
	// A client drops a connection that is dead.
	if response.LongLived && (response.Class == checker.ClassUnreached || response.Class == checker.ClassLost) {
		delete(w.clients.connections, request.connection)
	}
	w.trace("%s attempt %d %s %s at %s", request.token, request.attempt, response.Class, response.Body, response.Proxy)
	// At times a client that has its answer retries all the same: it must get the
	// same answer.
	done := response.Class == checker.ClassAnswered && (request.idempotencyKey == "" || w.random.IntN(8) > 0)
	if done || response.Class == checker.ClassClientError || request.attempt >= maxAttempts {
		return
	}
	next := *request
	next.attempt++
	w.schedule(w.randomDuration(200*time.Millisecond, time.Duration(request.attempt)*600*time.Millisecond), func() { w.sendRequest(&next) })
}

// closeIfDrained closes a long-lived connection after a response if the zone of its proxy is
// drained, as the real front end does, so that no new work comes down it.
func (w *World) closeIfDrained(p *process, request *pendingRequest, response checker.ClientResponse) {
	if !response.LongLived || !p.dispatchers.servingState.ZoneDrained && !w.Defect.CloseLongLived {
		return
	}
	delete(w.clients.connections, request.connection)
	// A proxy without a lease serves nobody anyway, and may not know that the draining ended.
	w.Checker.ConnectionClosed(checker.ClosedConnection{At: w.wallTime(), Proxy: p.name, Zone: p.zone, Reason: "after an answer", Excused: !p.dispatchers.servingState.LeaseValid})
}
