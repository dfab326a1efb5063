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

// Consumers are stand-in consumers: they ask where to go, trust the answer for
// as long as it says, carry a deadline and a mark, and ask again as a person's
// program would. Some hold a connection for as long as they are let.
type Consumers struct {
	Plan       blueprint.Plan
	Truth      *checker.Truth
	Registries func() []string
	// Delay is the time one way between two IP numbers.
	Delay func(from, to string) time.Duration
	Stage *Stage
	next  atomic.Int64
	mu    sync.Mutex
	ways  map[string]way
	open  sync.WaitGroup
	// hot, if set, is the cell that most requests begin in.
	hot atomic.Pointer[ids.Name]
}

type way struct {
	cell    ids.Name
	proxies []string
	until   time.Time
}

const (
	patience   = 4 * time.Second
	mostTries  = 4
	mostActive = 4000
	// hotShare is how many of a hundred requests begin in a hot cell.
	hotShare = 60
)

// Run sends requests at the plan's rate until the context ends, then waits for
// those under way.
func (c *Consumers) Run(ctx context.Context) {
	c.ways = map[string]way{}
	for home := range c.Plan.Cells {
		for _, w := range c.Plan.Ways {
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
	room := make(chan struct{}, mostActive)
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

func (c *Consumers) draw() blueprint.Way {
	x := rand.Float64()
	for _, w := range c.Plan.Ways {
		if x -= w.Share; x < 0 {
			return w
		}
	}
	return c.Plan.Ways[0]
}

// one is one request with its repeats.
func (c *Consumers) one() {
	w, n := c.draw(), c.next.Add(1)
	// Some ask for the route that operators move about.
	loose := rand.IntN(15) == 0
	if loose {
		w = blueprint.Way{Route: blueprint.Flip, Prefix: "/" + blueprint.Flip, Repeatable: true}
	}
	home := rand.IntN(c.Plan.Cells)
	if h := c.hot.Load(); h != nil && rand.IntN(100) < hotShare {
		for i := range c.Plan.Cells {
			if c.Plan.Cell(i) == *h {
				home = i
			}
		}
	}
	token, mark := fmt.Sprintf("t%d", n), ""
	if !w.Repeatable {
		mark = fmt.Sprintf("%s-%d-%x", w.Route, n, rand.Uint32())
	}
	due := time.Now().Add(3 * patience)
	for try := 1; try <= mostTries && time.Now().Before(due); try++ {
		g := c.send(w, home, token, mark, try)
		g.Loose = loose
		c.Truth.Respond(g)
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
func (c *Consumers) where(w blueprint.Way, home ids.Name, slot int) (way, bool) {
	key := key(home, w, slot)
	c.mu.Lock()
	have, ok := c.ways[key]
	c.mu.Unlock()
	if ok && time.Now().Before(have.until) {
		return have, true
	}
	for _, f := range c.Registries() {
		res, err := from(c.at(home), 500*time.Millisecond).Get(fmt.Sprintf("http://%s/v1/where?cell=%s&route=%s", f, home, w.Route))
		if err != nil {
			continue
		}
		var ans struct {
			Cell     ids.Name `json:"cell"`
			Proxies  []string `json:"proxies"`
			Lifetime int64    `json:"lifetime_ms"`
		}
		err = json.NewDecoder(res.Body).Decode(&ans)
		res.Body.Close()
		if err != nil || res.StatusCode != 200 || len(ans.Proxies) == 0 {
			continue
		}
		c.Truth.Pointed(checker.Asked{At: time.Now(), Home: home, To: ans.Cell, Route: w.Route})
		have = way{ans.Cell, ans.Proxies, time.Now().Add(time.Duration(ans.Lifetime) * time.Millisecond)}
		c.mu.Lock()
		c.ways[key] = have
		c.mu.Unlock()
		return have, true
	}
	return have, false
}

// slots is how many consumers of a cell and route ask for themselves.
const slots = 8

func key(home ids.Name, w blueprint.Way, slot int) string {
	return fmt.Sprintf("%s/%s/%d", home, w.Route, slot)
}

// at is where the consumers of a cell call from.
func (c *Consumers) at(cell ids.Name) string {
	for i := range c.Plan.Cells {
		if c.Plan.Cell(i) == cell {
			return consumerAt(i)
		}
	}
	return consumerAt(0)
}

func (c *Consumers) forget(w blueprint.Way, home ids.Name, slot int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.ways, key(home, w, slot))
}

func (c *Consumers) send(w blueprint.Way, home int, token, mark string, try int) checker.Got {
	cell := c.Plan.Cell(home)
	slot := rand.IntN(slots)
	to, ok := c.where(w, cell, slot)
	if !ok {
		now := time.Now()
		return checker.Got{Sent: now, At: now, Token: token, Mark: mark, Attempt: try, Class: "unreached"}
	}
	at := to.proxies[rand.IntN(len(to.proxies))]
	trip := c.Delay(consumerAt(home), host(at))
	time.Sleep(trip)
	defer time.Sleep(trip)
	g, _ := c.request(context.Background(), from(consumerAt(home), patience+time.Second), w, at, to.cell, token, mark, try)
	if g.Class != "answered" {
		c.forget(w, cell, slot)
	}
	return g
}

// request sends one attempt to a proxy; closes tells that its connection ends.
func (c *Consumers) request(ctx context.Context, client *http.Client, w blueprint.Way, at string, cell ids.Name, token, mark string, try int) (g checker.Got, closes bool) {
	g = checker.Got{Sent: time.Now(), Token: token, Mark: mark, Attempt: try, Class: "lost", Proxy: at, Cell: cell}
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
	req.Header.Set("Time-Left", strconv.Itoa(int(patience.Milliseconds())))
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
