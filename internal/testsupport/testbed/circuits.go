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

// callers are the clients of stand-ins, one for each machine that calls: its
// connections come from its own IP number, so that cuts and delays touch them.
var callers = struct {
	sync.Mutex
	list map[string]*http.Client
}{list: map[string]*http.Client{}}

func dialer(ip string) *net.Dialer {
	return &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
}

// from gives the client of a machine.
func from(ip string, patience time.Duration) *http.Client {
	callers.Lock()
	defer callers.Unlock()
	key := fmt.Sprint(ip, patience)
	if callers.list[key] == nil {
		callers.list[key] = &http.Client{Timeout: patience, Transport: &http.Transport{
			DialContext:         dialer(ip).DialContext,
			MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second, DisableCompression: true,
		}}
	}
	return callers.list[key]
}

// clientAt is where a zone's clients call from.
func clientAt(zone int) string { return fmt.Sprintf("127.%d.9.1", block+zone) }

// heldEach is how many clients of a zone and repeatable route hold a connection
// for as long as they are let, and heldEvery how often each sends something.
const (
	heldEach  = 2
	heldEvery = 400 * time.Millisecond
)

// hold keeps one connection to one proxy until it ends, and tells who ended it.
func (c *Clients) hold(ctx context.Context, home int, w blueprint.Route, seat int) {
	zone := c.Plan.Zone(home)
	for n := 0; ctx.Err() == nil; n++ {
		to, ok := c.where(w, zone, slots+seat)
		if !ok {
			wait(ctx, 500*time.Millisecond)
			continue
		}
		c.keep(ctx, home, w, to, fmt.Sprintf("held-%s-%s-%d-%d", zone, w.Name, seat, n))
		wait(ctx, 200*time.Millisecond)
	}
}

// keep sends down one connection until it is not the same connection any more.
func (c *Clients) keep(ctx context.Context, home int, w blueprint.Route, to resolution, name string) {
	line := &http.Transport{DialContext: dialer(clientAt(home)).DialContext, MaxConnsPerHost: 1, DisableCompression: true}
	defer line.CloseIdleConnections()
	client := &http.Client{Timeout: attemptTimeout, Transport: line}
	at := to.proxies[rand.IntN(len(to.proxies))]
	for n := 0; ctx.Err() == nil; n++ {
		again := false
		trace := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { again = i.Reused }})
		g, closes := c.request(trace, client, w, at, to.zone, fmt.Sprintf("%s-%d", name, n), "", 1)
		g.Held = n > 0
		// The first one opens the connection; whatever comes of it, none was held.
		if n > 0 && !again && g.Class != "unreached" {
			c.ended(at, to.zone, "the next request found it closed")
			return
		}
		c.Checker.RequestAnswered(g)
		// Its own patience ended, as with a target that froze under the request.
		if strings.Contains(g.Problem, "Client.Timeout") {
			return
		}
		if g.Class == "lost" || g.Class == "unreached" {
			c.ended(at, to.zone, g.Problem)
			return
		}
		if closes {
			c.ended(at, to.zone, "closed after an answer")
			return
		}
		wait(ctx, heldEvery/2+time.Duration(rand.Int64N(int64(heldEvery))))
	}
}

func (c *Clients) ended(at string, zone ids.Name, why string) {
	now := time.Now()
	c.Checker.ConnectionClosed(checker.ClosedConnection{At: now, Proxy: at, Zone: zone, Why: why, Excused: c.Testbed.Excused(at, now)})
}

// judge tells whether an answer is the one to this very request.
func judge(raw []byte, uri, mark string) string {
	var b struct {
		URI  string `json:"uri"`
		Mark string `json:"mark"`
	}
	if err := json.Unmarshal(raw, &b); err != nil {
		return "not the target's bytes: " + err.Error()
	}
	want, _ := url.Parse(uri)
	got, err := url.Parse(b.URI)
	if err != nil || got.RequestURI() != want.RequestURI() || b.Mark != mark {
		return fmt.Sprintf("answer to %s with mark %q", b.URI, b.Mark)
	}
	return ""
}
