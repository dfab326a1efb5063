package simulator

import (
	"fmt"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/testsupport/blueprint"
	"dunlinwell/internal/testsupport/checker"
)

// client is the name of all clients in partitions and exchanges.
const client = "client"

// clientState is the state of the simulated clients.
type clientState struct {
	requests    int
	stopped     bool
	connections map[string]longLivedConnection
	// disconnectShare is the share of attempts whose client disconnects before the response.
	disconnectShare float64
}

// longLivedConnection is an open connection of a client, on which it sends requests without a
// directory lookup.
type longLivedConnection struct {
	proxy ids.Address
	zone  ids.Name
	until ids.Time
}

// longLivedClientsPerRoute returns the number of clients per zone and route that keep connections.
// It is small if connections are short, so that they are still reused.
func (w *World) longLivedClientsPerRoute() int {
	if w.ConnectionLifetime >= time.Minute {
		return 40
	}
	return 3
}

const (
	// attemptTimeout is how long a client waits for the response to an attempt.
	attemptTimeout = 4 * time.Second
	// maxAttempts is the maximum number of attempts of a request.
	maxAttempts = 4
)

// arrivals sends requests at Options.Rate until the clients are stopped.
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

// pendingRequest is one attempt of a request, with the fields that its retries share.
type pendingRequest struct {
	route          blueprint.Route
	zone           ids.Name
	token          string
	idempotencyKey ids.IdempotencyKey
	attempt        int
	// sendsAttemptCount is set if the client sends its attempt number.
	sendsAttemptCount bool
	// connection is the key in clientState.connections; empty if the client keeps no connection.
	connection string
}

// newRequest draws a request and returns its first attempt.
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
	// Some requests use the route that operators move between services.
	if w.operators.routeFlipped && w.random.IntN(12) == 0 {
		request.route = blueprint.Route{Name: blueprint.ReassignedRoute, Repeatable: true}
	}
	if w.ClientZone != nil {
		request.zone = w.ClientZone(w, request.zone)
	}
	if w.ShortConnectionShare == 0 || w.random.Float64() >= w.ShortConnectionShare {
		request.connection = fmt.Sprintf("%s/%s/%d", request.zone, request.route.Name, w.random.IntN(w.longLivedClientsPerRoute()))
	}
	request.token = fmt.Sprintf("%s:t%d", request.route.Name, w.clients.requests)
	request.sendsAttemptCount = request.route.Repeatable || w.random.IntN(4) > 0 || w.allNumberAttempts
	if !request.route.Repeatable {
		request.idempotencyKey = ids.IdempotencyKey("m" + request.token)
	}
	return request
}

// sendRequest sends an attempt over a long-lived connection or to a proxy that the directory
// returns.
func (w *World) sendRequest(request *pendingRequest) {
	response := checker.ClientResponse{Sent: w.wallTime(), Token: request.token, IdempotencyKey: string(request.idempotencyKey), Attempt: request.attempt, Class: checker.ClassUnreached, ResponseOptional: request.route.Name == blueprint.ReassignedRoute}
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
		if w.ConnectionLifetime > 0 && request.connection != "" {
			w.clients.connections[request.connection] = longLivedConnection{proxy, resolution.Zone, w.now.Add(w.randomDuration(w.ConnectionLifetime/2, w.ConnectionLifetime*3/2))}
		}
		w.deliver(request, response, proxy)
	}, func() { w.responded(request, response) })
}

// responded records the end of an attempt and retries with the same idempotency key if the request
// was not answered.
func (w *World) responded(request *pendingRequest, response checker.ClientResponse) {
	if response.At.IsZero() {
		response.At = w.wallTime()
	}
	w.Checker.AttemptEnded(response)
	// Clients drop broken connections.
	if response.LongLived && (response.Class == checker.ClassUnreached || response.Class == checker.ClassLost) {
		delete(w.clients.connections, request.connection)
	}
	w.trace("%s attempt %d %s %s at %s", request.token, request.attempt, response.Class, response.Body, response.Proxy)
	// Some clients retry an answered request, which must return the same response.
	done := response.Class == checker.ClassAnswered && (request.idempotencyKey == "" || w.random.IntN(8) > 0)
	if done || response.Class == checker.ClassClientError || request.attempt >= maxAttempts {
		return
	}
	next := *request
	next.attempt++
	w.schedule(w.randomDuration(200*time.Millisecond, time.Duration(request.attempt)*600*time.Millisecond), func() { w.sendRequest(&next) })
}

// closeIfDrained closes a long-lived connection after a response if the proxy's zone is drained, as
// the front end does, so that no further requests arrive on it.
func (w *World) closeIfDrained(p *process, request *pendingRequest, response checker.ClientResponse) {
	if !response.LongLived || !p.dispatchers.servingState.ZoneDrained && !w.Defect.CloseLongLivedConnections {
		return
	}
	delete(w.clients.connections, request.connection)
	// A proxy without a lease serves no requests and may not know that the zone was restored.
	w.Checker.ConnectionClosed(checker.ClosedConnection{At: w.wallTime(), Proxy: p.name, Zone: p.zone, Reason: "after a response", Excused: !p.dispatchers.servingState.LeaseValid})
}
