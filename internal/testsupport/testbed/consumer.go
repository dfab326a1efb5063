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
	next        atomic.Int64
	mu          sync.Mutex
	resolutions map[string]resolution
	open        sync.WaitGroup
	// hot, if set, is the zone that most requests begin in.
	hot atomic.Pointer[ids.Name]
}

type resolution struct {
	zone    ids.Name
	proxies []string
	until   time.Time
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
		for _, w := range c.Plan.Routes {
			for seat := range heldEach {
				if w.Repeatable {
					c.open.Go(func() { c.hold(ctx, home, w, seat) })
				}
			}
		}
	}
	gap := time.Duration(float64(time.Second) / c.Plan.Rate)
	tick := time.NewTicker(gap)
	defer tick.Stop()
	room := make(chan struct{}, maxActive)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
			select {
			case room <- struct{}{}:
				c.open.Go(func() { c.one(); <-room })
			default:
			}
		}
	}
	c.open.Wait()
}

func (c *Clients) draw() blueprint.Route {
	x := rand.Float64()
	for _, w := range c.Plan.Routes {
		if x -= w.Share; x < 0 {
			return w
		}
	}
	return c.Plan.Routes[0]
}

// one is one request with its repeats.
func (c *Clients) one() {
	w, n := c.draw(), c.next.Add(1)
	// Some ask for the route that operators move about.
	loose := rand.IntN(15) == 0
	if loose {
		w = blueprint.Route{Name: blueprint.FlippedRoute, Prefix: "/" + blueprint.FlippedRoute, Repeatable: true}
	}
	home := rand.IntN(c.Plan.Zones)
	if h := c.hot.Load(); h != nil && rand.IntN(100) < hotShare {
		for i := range c.Plan.Zones {
			if c.Plan.Zone(i) == *h {
				home = i
			}
		}
	}
	token, mark := fmt.Sprintf("t%d", n), ""
	if !w.Repeatable {
		mark = fmt.Sprintf("%s-%d-%x", w.Name, n, rand.Uint32())
	}
	due := time.Now().Add(3 * attemptTimeout)
	for try := 1; try <= maxAttempts && time.Now().Before(due); try++ {
		g := c.send(w, home, token, mark, try)
		g.NoAnswerOwed = loose
		c.Checker.RequestAnswered(g)
		// Now and then one that has its answer asks again all the same.
		if g.Class == "misused" || g.Class == "answered" && (mark == "" || rand.IntN(8) > 0) {
			return
		}
		// A final "may have run" is not asked again by a machine, as often as
		// not; these ones do, to see that nothing runs twice.
		time.Sleep(time.Duration(200*try)*time.Millisecond + time.Duration(rand.IntN(200))*time.Millisecond)
	}
}

// where asks the directory, and keeps to its answer for its lifetime.
func (c *Clients) where(w blueprint.Route, home ids.Name, slot int) (resolution, bool) {
	key := key(home, w, slot)
	c.mu.Lock()
	have, ok := c.resolutions[key]
	c.mu.Unlock()
	if ok && time.Now().Before(have.until) {
		return have, true
	}
	for _, f := range c.Registries() {
		res, err := from(c.at(home), 500*time.Millisecond).Get(fmt.Sprintf("http://%s/v1/where?cell=%s&route=%s", f, home, w.Name))
		if err != nil {
			continue
		}
		var ans struct {
			Zone     ids.Name `json:"cell"`
			Proxies  []string `json:"proxies"`
			Lifetime int64    `json:"lifetime_ms"`
		}
		err = json.NewDecoder(res.Body).Decode(&ans)
		res.Body.Close()
		if err != nil || res.StatusCode != 200 || len(ans.Proxies) == 0 {
			continue
		}
		c.Checker.DirectoryAnswered(checker.DirectoryAnswer{At: time.Now(), ClientZone: home, ProxyZone: ans.Zone, Route: w.Name})
		have = resolution{ans.Zone, ans.Proxies, time.Now().Add(time.Duration(ans.Lifetime) * time.Millisecond)}
		c.mu.Lock()
		c.resolutions[key] = have
		c.mu.Unlock()
		return have, true
	}
	return have, false
}

// slots is how many clients of a zone and route ask for themselves.
const slots = 8

func key(home ids.Name, w blueprint.Route, slot int) string {
	return fmt.Sprintf("%s/%s/%d", home, w.Name, slot)
}

// at is where the clients of a zone call from.
func (c *Clients) at(zone ids.Name) string {
	for i := range c.Plan.Zones {
		if c.Plan.Zone(i) == zone {
			return clientAt(i)
		}
	}
	return clientAt(0)
}

func (c *Clients) forget(w blueprint.Route, home ids.Name, slot int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.resolutions, key(home, w, slot))
}

func (c *Clients) send(w blueprint.Route, home int, token, mark string, try int) checker.ClientResponse {
	zone := c.Plan.Zone(home)
	slot := rand.IntN(slots)
	to, ok := c.where(w, zone, slot)
	if !ok {
		now := time.Now()
		return checker.ClientResponse{Sent: now, At: now, Token: token, IdempotencyKey: mark, Attempt: try, Class: "unreached"}
	}
	at := to.proxies[rand.IntN(len(to.proxies))]
	trip := c.Delay(clientAt(home), host(at))
	time.Sleep(trip)
	defer time.Sleep(trip)
	g, _ := c.request(context.Background(), from(clientAt(home), attemptTimeout+time.Second), w, at, to.zone, token, mark, try)
	if g.Class != "answered" {
		c.forget(w, zone, slot)
	}
	return g
}

// request sends one attempt to a proxy; closes tells that its connection ends.
func (c *Clients) request(ctx context.Context, client *http.Client, w blueprint.Route, at string, zone ids.Name, token, mark string, try int) (g checker.ClientResponse, closes bool) {
	g = checker.ClientResponse{Sent: time.Now(), Token: token, IdempotencyKey: mark, Attempt: try, Class: "lost", Proxy: at, Zone: zone}
	defer func() { g.At = time.Now() }()
	uri := fmt.Sprintf("%s/item?token=%s&service=%s", w.Prefix, token, w.Service)
	method, body := http.MethodGet, ""
	if !w.Repeatable {
		method, body = http.MethodPost, `{"for":"`+token+`"}`
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at+uri, strings.NewReader(body))
	if err != nil {
		g.Problem = err.Error()
		return g, false
	}
	// This client must not send by itself what it may not repeat.
	req.GetBody = nil
	req.Header.Set("Time-Left", strconv.Itoa(int(attemptTimeout.Milliseconds())))
	req.Header.Set("Attempt", strconv.Itoa(try))
	if mark != "" {
		req.Header["Idempotency-Key"] = []string{mark}
	}
	res, err := client.Do(req)
	if err != nil {
		g.Problem = err.Error()
		return g, false
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		g.Problem = err.Error()
		return g, false
	}
	g.Status, g.Class, g.Body = res.StatusCode, res.Header.Get("Dunlinwell-Class"), string(raw)
	if g.Class == "answered" {
		g.Problem = judge(raw, uri, mark)
	}
	return g, res.Close
}
