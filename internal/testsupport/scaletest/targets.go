package scaletest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dunlinwell/internal/base/ids"
)

const (
	// senderCount bounds how many heartbeats are under way at once.
	senderCount = 16
	// heartbeatTimeout is how long a registry may take to answer before the next one
	// is tried.
	heartbeatTimeout = 2 * time.Second
	// maxHeartbeatDelay is how far the senders may fall behind before the backlog
	// is given up: sent at once, it would be a load that no real fleet makes.
	maxHeartbeatDelay = time.Second
	// targetsPerAddressRange is how many targets share the third number of their
	// loopback addresses.
	targetsPerAddressRange = 250
)

// targets sends the heartbeats of all stand-in targets. Nothing listens at their
// addresses.
type targets struct {
	fleet      *fleet
	httpClient http.Client
	sequence   atomic.Uint64
	// acknowledged and failed count heartbeats.
	acknowledged, failed atomic.Uint64
}

// announcement is the body of POST /v1/announce.
type announcement struct {
	Address        string   `json:"address"`
	Capacity       int      `json:"capacity"`
	Zone           ids.Name `json:"cell"`
	Incarnation    int      `json:"incarnation"`
	Instance       string   `json:"instance"`
	IntervalMillis int64    `json:"interval_ms"`
	Occupancy      int      `json:"occupancy"`
	Sequence       uint64   `json:"sequence"`
	Service        ids.Name `json:"service"`
	Warmth         float64  `json:"warmth"`
}

func newTargets(f *fleet) *targets {
	return &targets{fleet: f, httpClient: http.Client{Timeout: heartbeatTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: senderCount}}}
}

// run sends one heartbeat per target and AnnounceInterval, spread evenly over
// it, until the context ends.
func (t *targets) run(ctx context.Context) {
	if t.fleet.Targets == 0 {
		return
	}
	next := make(chan int)
	var senders sync.WaitGroup
	for range senderCount {
		senders.Go(func() {
			for n := range next {
				t.announce(ctx, n)
			}
		})
	}
	gap := t.fleet.AnnounceInterval / time.Duration(t.fleet.Targets)
	for n, due := 0, time.Now(); ctx.Err() == nil; n++ {
		due = due.Add(gap)
		if delay := time.Until(due); delay > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(delay):
			}
		} else if delay < -maxHeartbeatDelay {
			due = time.Now()
		}
		select {
		case <-ctx.Done():
		case next <- n % t.fleet.Targets:
		}
	}
	close(next)
	senders.Wait()
}

// announce sends the nth target's heartbeat to its registrar, or to the next
// registry if that one doesn't answer.
func (t *targets) announce(ctx context.Context, n int) {
	body := mustJSON(t.announcement(n))
	registries := t.fleet.running(registryRole)
	for i := range registries {
		url := "http://" + registries[(n+i)%len(registries)].httpAddress + "/v1/announce"
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
		if err != nil {
			return
		}
		res, err := t.httpClient.Do(req)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, res.Body) // so that the connection is used again
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			t.acknowledged.Add(1)
			return
		}
	}
	t.failed.Add(1)
}

// announcement is the nth target's next heartbeat.
func (t *targets) announcement(n int) announcement {
	f := t.fleet
	return announcement{
		Address:  fmt.Sprintf("127.%d.%d.%d:8000", f.LoopbackBlock, firstTargetNumber+n/targetsPerAddressRange, n%targetsPerAddressRange+1),
		Capacity: 16, Zone: f.Zone(n), Incarnation: 1, Instance: fmt.Sprintf("target-%d", n+1), IntervalMillis: f.AnnounceInterval.Milliseconds(),
		Occupancy: n % 7, Sequence: t.sequence.Add(1), Service: f.Service(n), Warmth: 1,
	}
}
