package testbed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/testsupport/blueprint"
	"dunlinwell/internal/testsupport/checker"
)

// The classes of responses that clients act on. Daemons send the first two;
// the client decides on the others itself.
const (
	classAnswered = "answered"
	classMisused  = "misused"
	// classLost: the connection broke before the whole response came.
	classLost = "lost"
	// classUnreached: the directory named no proxy.
	classUnreached = "unreached"
)

const (
	// attemptTimeout is the time that each attempt says it has left; requestTimeout,
	// three times that, bounds a request with all its attempts.
	attemptTimeout = 4 * time.Second
	requestTimeout = 3 * attemptTimeout
	maxAttempts    = 4
	// maxActive bounds the requests under way while a fleet doesn't answer.
	maxActive = 4000
	// hotZonePercent is how many of a hundred requests come from a hot zone.
	hotZonePercent = 60
	// flippedRouteOneIn: one of so many requests is for the route that operators move.
	flippedRouteOneIn = 15
	// repeatAnsweredOneIn: one of so many unrepeatable requests is sent again although it was
	// answered: it must get the same answer.
	repeatAnsweredOneIn = 8
	// retryPause, for each attempt before, and up to maxRetryJitter more are the pause
	// before the next attempt.
	retryPause     = 200 * time.Millisecond
	maxRetryJitter = 200 // ms
)

// Clients are stand-in clients. They resolve a route at the directory, keep the
// answer for its lifetime, send deadline and idempotency key, and retry. Some
// hold a connection open for as long as it lasts.
type Clients struct {
	Plan    blueprint.Plan
	Checker *checker.Checker
	// Registries returns the HTTP addresses of the registries, in the order to ask.
	Registries func() []string
	// Delay is the time one way between two IP addresses, which clients wait.
	Delay   func(from, to string) time.Duration
	Testbed *Testbed

	lastID atomic.Int64
	// mu guards resolutions, which are by resolutionKey.
	mu          sync.Mutex
	resolutions map[string]resolution
	pending     sync.WaitGroup
	// hotZone, if set, is the zone that most requests come from.
	hotZone atomic.Pointer[ids.Name]
}

// request is one request of a client, with all its attempts.
type request struct {
	route blueprint.Route
	// zoneIndex is the client's zone.
	zoneIndex int
	// token identifies the request in the target's executions.
	token string
	// idempotencyKey is empty for a repeatable request.
	idempotencyKey string
}

// Run sends requests at the plan's rate until the context ends, and returns when
// the last has ended.
func (c *Clients) Run(ctx context.Context) {
	c.resolutions = map[string]resolution{}
	c.startHeldConnections(ctx)
	ticker := time.NewTicker(time.Duration(float64(time.Second) / c.Plan.Rate))
	defer ticker.Stop()
	slots := make(chan struct{}, maxActive)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			select {
			case slots <- struct{}{}:
				c.pending.Go(func() {
					c.sendWithRetries(c.newRequest())
					<-slots
				})
			default:
			}
		}
	}
	c.pending.Wait()
}

// newRequest draws a request by the plan's shares.
func (c *Clients) newRequest() request {
	r := request{route: c.randomRoute()}
	n := c.lastID.Add(1)
	if rand.IntN(flippedRouteOneIn) == 0 {
		r.route = blueprint.Route{Name: blueprint.FlippedRoute, Prefix: "/" + blueprint.FlippedRoute, Repeatable: true}
	}
	r.zoneIndex = rand.IntN(c.Plan.Zones)
	if hot := c.hotZone.Load(); hot != nil && rand.IntN(100) < hotZonePercent {
		r.zoneIndex = c.Testbed.zoneIndex(*hot)
	}
	r.token = fmt.Sprintf("t%d", n)
	if !r.route.Repeatable {
		r.idempotencyKey = fmt.Sprintf("%s-%d-%x", r.route.Name, n, rand.Uint32())
	}
	return r
}

func (c *Clients) randomRoute() blueprint.Route {
	x := rand.Float64()
	for _, route := range c.Plan.Routes {
		if x -= route.Share; x < 0 {
			return route
		}
	}
	return c.Plan.Routes[0]
}

// sendWithRetries sends a request until it is answered, or too late. A response
// "may have run" is retried as well, unlike a careful program would, to see that
// nothing runs twice.
func (c *Clients) sendWithRetries(r request) {
	deadline := time.Now().Add(requestTimeout)
	for attempt := 1; attempt <= maxAttempts && time.Now().Before(deadline); attempt++ {
		response := c.sendOnce(r, attempt)
		// The route that operators move is missing at times.
		response.ResponseOptional = r.route.Name == blueprint.FlippedRoute
		c.Checker.AttemptEnded(response)
		if response.Class == classMisused {
			return
		}
		if response.Class == classAnswered && (r.idempotencyKey == "" || rand.IntN(repeatAnsweredOneIn) > 0) {
			return
		}
		time.Sleep(time.Duration(attempt)*retryPause + time.Duration(rand.IntN(maxRetryJitter))*time.Millisecond)
	}
}

// sendOnce resolves the route, sends one attempt to one of its proxies, and
// forgets the resolution if that wasn't answered.
func (c *Clients) sendOnce(r request, attempt int) checker.ClientResponse {
	zone := c.Plan.Zone(r.zoneIndex)
	slot := rand.IntN(clientsPerRoute)
	resolved, ok := c.resolve(r.route, zone, slot)
	if !ok {
		now := time.Now()
		return checker.ClientResponse{Sent: now, At: now, Token: r.token, IdempotencyKey: r.idempotencyKey, Attempt: attempt, Class: classUnreached}
	}
	proxy := resolved.randomProxy()
	ip := clientAddress(r.zoneIndex)
	latency := c.Delay(ip, ipOf(proxy))
	time.Sleep(latency)
	defer time.Sleep(latency)
	// The client waits a little longer than the deadline that it sends.
	client := clientFrom(ip, attemptTimeout+time.Second)
	response, _ := c.sendAttempt(context.Background(), client, r, proxy, resolved.zone, attempt)
	if response.Class != classAnswered {
		c.forgetResolution(r.route, zone, slot)
	}
	return response
}
