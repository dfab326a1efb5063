package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/testsupport/blueprint"
	"dunlinwell/internal/testsupport/checker"
)

// Clients are stand-in clients: they ask where to go, trust the answer for
// as long as it says, carry a deadline and a mark, and ask again as a person's
// program would. Some hold a connection for as long as they are let.
type Clients struct {
	Plan       blueprint.Plan
	Checker    *checker.Checker
	Registries func() []string
	// Delay is the time one way between two IP numbers.
	Delay       func(from, to string) time.Duration
	Testbed     *Testbed
	lastID      atomic.Int64
	mu          sync.Mutex
	resolutions map[string]resolution
	pending     sync.WaitGroup
	// hot, if set, is the zone that most requests begin in.
	hotZone atomic.Pointer[ids.Name]
}

type resolution struct {
	zone      ids.Name
	proxies   []string
	expiresAt time.Time
}

const (
	attemptTimeout = 4 * time.Second
	maxAttempts    = 4
	maxActive      = 4000
	// hotShare is how many of a hundred requests begin in a hot zone.
	hotShare = 60
)

// Run sends requests at the plan's rate until the context ends, then waits for
// those under way.
func (c *Clients) Run(ctx context.Context) {
	c.resolutions = map[string]resolution{}
	for home := range c.Plan.Zones {
		for _, route := range c.Plan.Routes {
			for slot := range heldConnectionsPerRoute {
				if route.Repeatable {
					c.pending.Go(func() { c.holdConnections(ctx, home, route, slot) })
				}
			}
		}
	}
	gap := time.Duration(float64(time.Second) / c.Plan.Rate)
	tick := time.NewTicker(gap)
	defer tick.Stop()
	slots := make(chan struct{}, maxActive)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
			select {
			case slots <- struct{}{}:
				c.pending.Go(func() { c.sendWithRetries(); <-slots })
			default:
			}
		}
	}
	c.pending.Wait()
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

// sendWithRetries is one request with its repeats.
func (c *Clients) sendWithRetries() {
	route, n := c.randomRoute(), c.lastID.Add(1)
	// Some ask for the route that operators move about.
	toFlippedRoute := rand.IntN(15) == 0
	if toFlippedRoute {
		route = blueprint.Route{Name: blueprint.FlippedRoute, Prefix: "/" + blueprint.FlippedRoute, Repeatable: true}
	}
	zoneIndex := rand.IntN(c.Plan.Zones)
	if h := c.hotZone.Load(); h != nil && rand.IntN(100) < hotShare {
		for i := range c.Plan.Zones {
			if c.Plan.Zone(i) == *h {
				zoneIndex = i
			}
		}
	}
	token, idempotencyKey := fmt.Sprintf("t%d", n), ""
	if !route.Repeatable {
		idempotencyKey = fmt.Sprintf("%s-%d-%x", route.Name, n, rand.Uint32())
	}
	deadline := time.Now().Add(3 * attemptTimeout)
	for attempt := 1; attempt <= maxAttempts && time.Now().Before(deadline); attempt++ {
		response := c.sendOnce(route, zoneIndex, token, idempotencyKey, attempt)
		response.NoAnswerOwed = toFlippedRoute
		c.Checker.RequestAnswered(response)
		// Now and then one that has its answer asks again all the same.
		if response.Class == "misused" || response.Class == "answered" && (idempotencyKey == "" || rand.IntN(8) > 0) {
			return
		}
		// A final "may have run" is not asked again by a machine, as often as
		// not; these ones do, to see that nothing runs twice.
		time.Sleep(time.Duration(200*attempt)*time.Millisecond + time.Duration(rand.IntN(200))*time.Millisecond)
	}
}

// resolve asks the directory, and keeps to its answer for its lifetime.
func (c *Clients) resolve(route blueprint.Route, zone ids.Name, slot int) (resolution, bool) {
	key := resolutionKey(zone, route, slot)
	c.mu.Lock()
	have, ok := c.resolutions[key]
	c.mu.Unlock()
	if ok && time.Now().Before(have.expiresAt) {
		return have, true
	}
	for _, registry := range c.Registries() {
		res, err := clientFrom(c.zoneAddress(zone), 500*time.Millisecond).Get(fmt.Sprintf("http://%s/v1/where?cell=%s&route=%s", registry, zone, route.Name))
		if err != nil {
			continue
		}
		var answer struct {
			Zone     ids.Name `json:"cell"`
			Proxies  []string `json:"proxies"`
			Lifetime int64    `json:"lifetime_ms"`
		}
		err = json.NewDecoder(res.Body).Decode(&answer)
		res.Body.Close()
		if err != nil || res.StatusCode != 200 || len(answer.Proxies) == 0 {
			continue
		}
		c.Checker.DirectoryAnswered(checker.DirectoryAnswer{At: time.Now(), ClientZone: zone, ProxyZone: answer.Zone, Route: route.Name})
		have = resolution{answer.Zone, answer.Proxies, time.Now().Add(time.Duration(answer.Lifetime) * time.Millisecond)}
		c.mu.Lock()
		c.resolutions[key] = have
		c.mu.Unlock()
		return have, true
	}
	return have, false
}

// clientsPerRoute is how many clients of a zone and route ask for themselves.
const clientsPerRoute = 8

func resolutionKey(home ids.Name, w blueprint.Route, slot int) string {
	return fmt.Sprintf("%s/%s/%d", home, w.Name, slot)
}

// zoneAddress is where the clients of a zone call from.
func (c *Clients) zoneAddress(zone ids.Name) string {
	for i := range c.Plan.Zones {
		if c.Plan.Zone(i) == zone {
			return clientAddress(i)
		}
	}
	return clientAddress(0)
}

func (c *Clients) forgetResolution(route blueprint.Route, zone ids.Name, slot int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.resolutions, resolutionKey(zone, route, slot))
}

func (c *Clients) sendOnce(route blueprint.Route, zoneIndex int, token, idempotencyKey string, attempt int) checker.ClientResponse {
	zone := c.Plan.Zone(zoneIndex)
	slot := rand.IntN(clientsPerRoute)
	resolved, ok := c.resolve(route, zone, slot)
	if !ok {
		now := time.Now()
		return checker.ClientResponse{Sent: now, At: now, Token: token, IdempotencyKey: idempotencyKey, Attempt: attempt, Class: "unreached"}
	}
	at := resolved.proxies[rand.IntN(len(resolved.proxies))]
	latency := c.Delay(clientAddress(zoneIndex), ipOf(at))
	time.Sleep(latency)
	defer time.Sleep(latency)
	response, _ := c.sendAttempt(context.Background(), clientFrom(clientAddress(zoneIndex), attemptTimeout+time.Second), route, at, resolved.zone, token, idempotencyKey, attempt)
	if response.Class != "answered" {
		c.forgetResolution(route, zone, slot)
	}
	return response
}

// sendAttempt sends one attempt to a proxy; closes tells that its connection ends.
func (c *Clients) sendAttempt(ctx context.Context, client *http.Client, route blueprint.Route, at string, zone ids.Name, token, idempotencyKey string, attempt int) (response checker.ClientResponse, closes bool) {
	response = checker.ClientResponse{Sent: time.Now(), Token: token, IdempotencyKey: idempotencyKey, Attempt: attempt, Class: "lost", Proxy: at, Zone: zone}
	defer func() { response.At = time.Now() }()
	uri := fmt.Sprintf("%s/item?token=%s&service=%s", route.Prefix, token, route.Service)
	method, body := http.MethodGet, ""
	if !route.Repeatable {
		method, body = http.MethodPost, `{"for":"`+token+`"}`
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at+uri, strings.NewReader(body))
	if err != nil {
		response.Problem = err.Error()
		return response, false
	}
	// This client must not send by itself what it may not repeat.
	req.GetBody = nil
	req.Header.Set("Time-Left", strconv.Itoa(int(attemptTimeout.Milliseconds())))
	req.Header.Set("Attempt", strconv.Itoa(attempt))
	if idempotencyKey != "" {
		req.Header["Idempotency-Key"] = []string{idempotencyKey}
	}
	res, err := client.Do(req)
	if err != nil {
		response.Problem = err.Error()
		return response, false
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		response.Problem = err.Error()
		return response, false
	}
	response.Status, response.Class, response.Body = res.StatusCode, res.Header.Get("Dunlinwell-Class"), string(raw)
	if response.Class == "answered" {
		response.Problem = checkAnswer(raw, uri, idempotencyKey)
	}
	return response, res.Close
}
