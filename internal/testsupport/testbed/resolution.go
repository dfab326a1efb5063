package testbed

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/testsupport/blueprint"
	"dunlinwell/internal/testsupport/checker"
)

const (
	// clientsPerRoute is the number of independent clients for each zone and route.
	clientsPerRoute = 8
	// resolveTimeout is short so that the next registry is tried soon.
	resolveTimeout = 500 * time.Millisecond
)

// resolution is a response of the directory, valid until expiresAt.
type resolution struct {
	zone      ids.Name
	proxies   []string
	expiresAt time.Time
}

func (r resolution) randomProxy() string { return r.proxies[rand.IntN(len(r.proxies))] }

// directoryResponse is the part of the response to GET /v1/where that clients use.
type directoryResponse struct {
	Zone           ids.Name `json:"cell"`
	Proxies        []string `json:"proxies"`
	LifetimeMillis int64    `json:"lifetime_ms"`
}

// resolutionKey returns the key of a client's cached resolution.
func resolutionKey(zone ids.Name, route blueprint.Route, slot int) string {
	return fmt.Sprintf("%s/%s/%d", zone, route.Name, slot)
}

// resolve returns the cached resolution if it is still valid, or else queries one registry
// after another. It returns false if none of them returns a proxy.
func (c *Clients) resolve(route blueprint.Route, zone ids.Name, slot int) (resolution, bool) {
	key := resolutionKey(zone, route, slot)
	c.mu.Lock()
	cached, ok := c.resolutions[key]
	c.mu.Unlock()
	if ok && time.Now().Before(cached.expiresAt) {
		return cached, true
	}
	for _, registry := range c.Registries() {
		answer, ok := c.queryDirectory(registry, route, zone)
		if !ok {
			continue
		}
		c.Checker.DirectoryAnswered(checker.DirectoryAnswer{At: time.Now(), ClientZone: zone, ProxyZone: answer.Zone, Route: route.Name})
		resolved := resolution{answer.Zone, answer.Proxies, time.Now().Add(time.Duration(answer.LifetimeMillis) * time.Millisecond)}
		c.mu.Lock()
		c.resolutions[key] = resolved
		c.mu.Unlock()
		return resolved, true
	}
	return cached, false
}

// queryDirectory queries one registry. It returns false unless the response has a proxy.
func (c *Clients) queryDirectory(registry string, route blueprint.Route, zone ids.Name) (directoryResponse, bool) {
	ip := clientAddress(c.Testbed.zoneIndex(zone))
	res, err := clientFrom(ip, resolveTimeout).Get(fmt.Sprintf("http://%s/v1/where?cell=%s&route=%s", registry, zone, route.Name))
	if err != nil {
		return directoryResponse{}, false
	}
	defer func() { _ = res.Body.Close() }()
	var answer directoryResponse
	err = json.NewDecoder(res.Body).Decode(&answer)
	return answer, err == nil && res.StatusCode == http.StatusOK && len(answer.Proxies) > 0
}

func (c *Clients) dropResolution(route blueprint.Route, zone ids.Name, slot int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.resolutions, resolutionKey(zone, route, slot))
}
