package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/testsupport/blueprint"
	"dunlinwell/internal/testsupport/checker"
)

// httpClients are the clients of stand-ins, one for each machine that calls: its
// connections come from its own IP number, so that cuts and delays touch them.
var httpClients = struct {
	sync.Mutex
	list map[string]*http.Client
}{list: map[string]*http.Client{}}

func dialerFrom(ip string) *net.Dialer {
	return &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
}

// clientFrom gives the client of a machine.
func clientFrom(ip string, timeout time.Duration) *http.Client {
	httpClients.Lock()
	defer httpClients.Unlock()
	key := fmt.Sprint(ip, timeout)
	if httpClients.list[key] == nil {
		httpClients.list[key] = &http.Client{Timeout: timeout, Transport: &http.Transport{
			DialContext:         dialerFrom(ip).DialContext,
			MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second, DisableCompression: true,
		}}
	}
	return httpClients.list[key]
}

// clientAddress is where a zone's clients call from.
func clientAddress(zone int) string { return fmt.Sprintf("127.%d.9.1", loopbackBlock+zone) }

// heldEach is how many clients of a zone and repeatable route hold a connection
// for as long as they are let, and heldEvery how often each sends something.
const (
	heldConnectionsPerRoute = 2
	heldRequestInterval     = 400 * time.Millisecond
)

// holdConnections keeps one connection to one proxy until it ends, and tells who ended it.
func (c *Clients) holdConnections(ctx context.Context, zoneIndex int, route blueprint.Route, slot int) {
	zone := c.Plan.Zone(zoneIndex)
	for n := 0; ctx.Err() == nil; n++ {
		resolved, ok := c.resolve(route, zone, clientsPerRoute+slot)
		if !ok {
			sleepContext(ctx, 500*time.Millisecond)
			continue
		}
		c.sendUntilClosed(ctx, zoneIndex, route, resolved, fmt.Sprintf("held-%s-%s-%d-%d", zone, route.Name, slot, n))
		sleepContext(ctx, 200*time.Millisecond)
	}
}

// sendUntilClosed sends down one connection until it is not the same connection any more.
func (c *Clients) sendUntilClosed(ctx context.Context, zoneIndex int, route blueprint.Route, resolved resolution, name string) {
	transport := &http.Transport{DialContext: dialerFrom(clientAddress(zoneIndex)).DialContext, MaxConnsPerHost: 1, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Timeout: attemptTimeout, Transport: transport}
	at := resolved.proxies[rand.IntN(len(resolved.proxies))]
	for n := 0; ctx.Err() == nil; n++ {
		reused := false
		trace := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused }})
		response, closes := c.sendAttempt(trace, client, route, at, resolved.zone, fmt.Sprintf("%s-%d", name, n), "", 1)
		response.Held = n > 0
		// The first one opens the connection; whatever comes of it, none was held.
		if n > 0 && !reused && response.Class != "unreached" {
			c.connectionClosed(at, resolved.zone, "the next request found it closed")
			return
		}
		c.Checker.RequestAnswered(response)
		// Its own patience ended, as with a target that froze under the request.
		if strings.Contains(response.Problem, "Client.Timeout") {
			return
		}
		if response.Class == "lost" || response.Class == "unreached" {
			c.connectionClosed(at, resolved.zone, response.Problem)
			return
		}
		if closes {
			c.connectionClosed(at, resolved.zone, "closed after an answer")
			return
		}
		sleepContext(ctx, heldRequestInterval/2+time.Duration(rand.Int64N(int64(heldRequestInterval))))
	}
}

func (c *Clients) connectionClosed(at string, zone ids.Name, why string) {
	now := time.Now()
	c.Checker.ConnectionClosed(checker.ClosedConnection{At: now, Proxy: at, Zone: zone, Why: why, Excused: c.Testbed.IsImpaired(at, now)})
}

// checkAnswer tells whether an answer is the one to this very request.
func checkAnswer(raw []byte, uri, idempotencyKey string) string {
	var b struct {
		URI  string `json:"uri"`
		Mark string `json:"mark"`
	}
	if err := json.Unmarshal(raw, &b); err != nil {
		return "not the target's bytes: " + err.Error()
	}
	want, _ := url.Parse(uri)
	got, err := url.Parse(b.URI)
	if err != nil || got.RequestURI() != want.RequestURI() || b.Mark != idempotencyKey {
		return fmt.Sprintf("answer to %s with mark %q", b.URI, b.Mark)
	}
	return ""
}
