package testbed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/testsupport/blueprint"
	"dunlinwell/internal/testsupport/checker"
)

const (
	// heldConnectionsPerRoute is the number of clients for each zone and idempotent
	// route that hold a connection open.
	heldConnectionsPerRoute = 2
	// heldRequestInterval is the average interval between requests on a held connection;
	// actual intervals range from half to one and a half times that.
	heldRequestInterval = 400 * time.Millisecond
	// unresolvedPause is the pause after the directory returned no proxy, reconnectPause
	// the pause before the next connection.
	unresolvedPause = 500 * time.Millisecond
	reconnectPause  = 200 * time.Millisecond
)

// startHeldConnections starts the clients that hold connections open, which run until
// the context is done.
func (c *Clients) startHeldConnections(ctx context.Context) {
	for zoneIndex := range c.Plan.Zones {
		for _, route := range c.Plan.Routes {
			for slot := range heldConnectionsPerRoute {
				if route.Repeatable {
					c.pending.Go(func() { c.holdConnections(ctx, zoneIndex, route, slot) })
				}
			}
		}
	}
}

// holdConnections runs one client, which opens a new connection whenever the last has
// been closed.
func (c *Clients) holdConnections(ctx context.Context, zoneIndex int, route blueprint.Route, slot int) {
	zone := c.Plan.Zone(zoneIndex)
	for n := 0; ctx.Err() == nil; n++ {
		// A separate slot, so that no cached resolution is shared with other clients.
		resolved, ok := c.resolve(route, zone, clientsPerRoute+slot)
		if !ok {
			sleepContext(ctx, unresolvedPause)
			continue
		}
		name := fmt.Sprintf("held-%s-%s-%d-%d", zone, route.Name, slot, n)
		c.sendUntilClosed(ctx, request{route: route, zoneIndex: zoneIndex}, resolved, name)
		sleepContext(ctx, reconnectPause)
	}
}

// sendUntilClosed sends requests over one connection until it is closed, and reports
// that to the checker unless the client itself closed it.
func (c *Clients) sendUntilClosed(ctx context.Context, r request, resolved resolution, name string) {
	transport := &http.Transport{DialContext: dialerFrom(clientAddress(r.zoneIndex)).DialContext, MaxConnsPerHost: 1, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Timeout: attemptTimeout, Transport: transport}
	proxy := resolved.randomProxy()
	for n := 0; ctx.Err() == nil; n++ {
		reused := false
		traced := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
			GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused },
		})
		r.token = fmt.Sprintf("%s-%d", name, n)
		response, closes := c.sendAttempt(traced, client, r, proxy, resolved.zone, 1)
		// The first request opens the connection, so it wasn't sent on a held one.
		response.LongLived = n > 0
		if n > 0 && !reused && response.Class != classUnreached {
			c.connectionClosed(proxy, resolved.zone, "closed between two requests")
			return
		}
		c.Checker.AttemptEnded(response)
		// On its own timeout the client closes the connection, such as after a request to
		// a frozen target.
		if strings.Contains(response.Problem, "Client.Timeout") {
			return
		}
		if response.Class == classLost || response.Class == classUnreached {
			c.connectionClosed(proxy, resolved.zone, response.Problem)
			return
		}
		if closes {
			c.connectionClosed(proxy, resolved.zone, "closed after a response")
			return
		}
		sleepContext(ctx, heldRequestInterval/2+time.Duration(rand.Int64N(int64(heldRequestInterval))))
	}
}

// connectionClosed reports the end of a held connection.
func (c *Clients) connectionClosed(proxy string, zone ids.Name, why string) {
	now := time.Now()
	c.Checker.ConnectionClosed(checker.ClosedConnection{At: now, Proxy: proxy, Zone: zone, Reason: why, Excused: c.Testbed.IsImpaired(proxy, now)})
}
