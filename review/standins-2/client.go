package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"
)

// answer is what a client saw of one try.
type answer struct {
	status     int
	seal       string
	retryAfter time.Duration
	failure    string
	address    string // of the proxy that took the request
	sent, end  time.Time
}

// client is one stand-in client: it asks the directory, and sends each try on a new connection.
type client struct {
	f         *fleet
	zone      string
	http      *http.Client
	addresses []string
	until     time.Time
}

func (f *fleet) newClient(zone string) *client {
	return &client{f: f, zone: zone, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// resolve returns an address of a proxy; empty if the directory names none.
func (c *client) resolve() string {
	if time.Now().After(c.until) {
		order := append([]*machine{}, c.f.cores...)
		for i, m := range order {
			if m.zone == c.zone {
				order[0], order[i] = order[i], order[0]
			}
		}
		query := url.Values{"name": {"review.example"}, "region_name": {regions[c.zone]}, "zone_name": {c.zone}}
		for _, m := range order {
			response, err := control.Get("http://" + m.address(directoryPort) + "/resolve?" + query.Encode())
			if err != nil {
				continue
			}
			var body struct {
				Addresses []string `json:"addresses"`
				Lifetime  float64  `json:"lifetime_s"`
			}
			err = json.NewDecoder(response.Body).Decode(&body)
			_ = response.Body.Close()
			if err == nil && response.StatusCode == http.StatusOK && len(body.Addresses) > 0 {
				c.addresses = body.Addresses
				c.until = time.Now().Add(time.Duration(min(body.Lifetime, 5) * float64(time.Second)))
				break
			}
		}
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[rand.Intn(len(c.addresses))]
}

// try sends one try with an id of its own.
func (c *client) try(attempt, method, path string, size int, left time.Duration) answer {
	address := c.resolve()
	if address == "" {
		return answer{failure: "the directory names no proxy"}
	}
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(make([]byte, size)))
	if err != nil {
		return answer{failure: err.Error()}
	}
	request.Host = "review.example"
	request.Header.Set("X-Attempt-Id", attempt)
	request.Header.Set("X-Deadline-Milliseconds", strconv.FormatInt(left.Milliseconds(), 10))
	c.f.record.log("client %s: %s sent to %s", c.zone, attempt, address)
	sent := time.Now()
	response, err := c.http.Do(request)
	if err != nil {
		c.f.record.log("client %s: %s got no answer: %v", c.zone, attempt, err)
		return answer{failure: err.Error(), address: address, sent: sent, end: time.Now()}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	a := answer{status: response.StatusCode, seal: response.Header.Get("X-Server-Seal"), address: address, sent: sent, end: time.Now()}
	if err != nil {
		a.failure = err.Error()
	}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	text := ""
	if a.seal == "" {
		text = string(body)
	}
	c.f.record.log("client %s: %s answered %d %s %s", c.zone, attempt, a.status, a.seal, text)
	return a
}

// load sends requests at a rate until the time is over, with up to two further tries each after a
// refusal, and returns the answers by attempt id.
func (f *fleet) load(name string, perSecond int, during time.Duration, method, path string, size int, deadline time.Duration) map[string]answer {
	answers := map[string]answer{}
	var mu sync.Mutex
	var all sync.WaitGroup
	end := time.Now().Add(during)
	const clients = 6
	for i := range clients {
		all.Add(1)
		go func() {
			defer all.Done()
			c := f.newClient(zoneNames[i%len(zoneNames)])
			var sends sync.WaitGroup
			for n := 0; time.Now().Before(end); n++ {
				c.resolve()
				address, until := c.addresses, c.until
				sends.Add(1)
				go func() {
					defer sends.Done()
					own := &client{f: f, zone: c.zone, http: c.http, addresses: address, until: until.Add(time.Second)}
					began := time.Now()
					for try := 1; try <= 3; try++ {
						id := fmt.Sprintf("%s-%d-%d-try%d", name, i, n, try)
						left := deadline - time.Since(began)
						a := own.try(id, method, path, size, left)
						mu.Lock()
						answers[id] = a
						mu.Unlock()
						if a.status != 503 && a.status != 429 || left < 200*time.Millisecond {
							return
						}
						time.Sleep(min(max(a.retryAfter, 10*time.Millisecond), left/3))
					}
				}()
				time.Sleep(time.Duration(float64(time.Second) * clients / float64(perSecond) * (0.5 + rand.Float64())))
			}
			sends.Wait()
		}()
	}
	all.Wait()
	return answers
}
