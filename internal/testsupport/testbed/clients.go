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

// Classes of responses that clients act on. Daemons send the first two; the client
// assigns the others.
const (
	classAnswered = "answered"
	classMisused  = "misused"
	// classLost means that the connection broke before the response was complete.
	classLost = "lost"
	// classUnreached means that the directory returned no proxy.
	classUnreached = "unreached"
)

const (
	// attemptTimeout is the deadline of each attempt; requestTimeout bounds a request
	// with all its attempts.
	attemptTimeout = 4 * time.Second
	requestTimeout = 3 * attemptTimeout
	maxAttempts    = 4
	// maxActive bounds the concurrent requests while the fleet doesn't respond.
	maxActive = 4000
	// hotZonePercent is the percentage of requests that come from a hot zone.
	hotZonePercent = 60
	// reassignedRouteOneIn is the inverse of the share of requests for the route that
	// operators reassign.
	reassignedRouteOneIn = 15
	// repeatAnsweredOneIn is the inverse of the share of answered non-idempotent requests
	// that are sent again; the repetition must get the same response.
	repeatAnsweredOneIn = 8
	// retryPause is multiplied by the number of attempts so far; up to maxRetryJitter is
	// added.
	retryPause     = 200 * time.Millisecond
	maxRetryJitter = 200 // ms
)

// Clients is a group of stand-in clients. They resolve routes at the directory, cache
// resolutions for their lifetime, send a deadline and an idempotency key, and retry.
// Some hold a connection open until the proxy closes it.
type Clients struct {
	Plan    blueprint.Plan
	Checker *checker.Checker
	// Registries returns the HTTP addresses of the registries in the order to try.
	Registries func() []string
	// Delay returns the one-way latency between two IP addresses, which clients add.
	Delay   func(from, to string) time.Duration
	Testbed *Testbed

	lastID atomic.Int64
	// mu guards resolutions, which is keyed by resolutionKey.
	mu          sync.Mutex
	resolutions map[string]resolution
	pending     sync.WaitGroup
	// hotZone, if set, is the zone from which most requests come.
	hotZone atomic.Pointer[ids.Name]
}

// request is a client's logical request, which may take several attempts.
type request struct {
	route blueprint.Route
	// zoneIndex is the client's zone.
	zoneIndex int
	// token identifies the request in the target's executions.
	token string
	// idempotencyKey is empty for an idempotent request.
	idempotencyKey string
}

// Run sends requests at the plan's rate until the context is done, and returns when
// the last of them has finished.
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

// newRequest returns a random request according to the plan's shares.
func (c *Clients) newRequest() request {
	r := request{route: c.randomRoute()}
	n := c.lastID.Add(1)
	if rand.IntN(reassignedRouteOneIn) == 0 {
		r.route = blueprint.Route{Name: blueprint.ReassignedRoute, Prefix: "/" + blueprint.ReassignedRoute, Repeatable: true}
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

// sendWithRetries sends a request until it is answered, or its deadline or the maximum
// of attempts is reached. It also retries non-idempotent requests that may have been
// executed, which must not be executed twice.
func (c *Clients) sendWithRetries(r request) {
	deadline := time.Now().Add(requestTimeout)
	for attempt := 1; attempt <= maxAttempts && time.Now().Before(deadline); attempt++ {
		response := c.sendOnce(r, attempt)
		// Operators remove this route from time to time.
		response.ResponseOptional = r.route.Name == blueprint.ReassignedRoute
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

// sendOnce resolves the route and sends one attempt to one of its proxies. It drops the
// cached resolution if the attempt wasn't answered.
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
	// Wait slightly longer than the deadline sent, so that the proxy's response still arrives.
	client := clientFrom(ip, attemptTimeout+time.Second)
	response, _ := c.sendAttempt(context.Background(), client, r, proxy, resolved.zone, attempt)
	if response.Class != classAnswered {
		c.dropResolution(r.route, zone, slot)
	}
	return response
}
