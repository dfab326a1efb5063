package scaletest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// targets announce themselves, a few senders for all of them.
type targets struct {
	fleet        *fleet
	httpClient   http.Client
	sequence     atomic.Uint64
	acknowledged atomic.Uint64
	failed       atomic.Uint64
}

const senderCount = 16

func newTargets(f *fleet) *targets {
	return &targets{fleet: f, httpClient: http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: senderCount}}}
}

// run announces each target once an interval, spread over it, until the
// context ends.
func (t *targets) run(ctx context.Context) {
	if t.fleet.Targets == 0 {
		return
	}
	next := make(chan int)
	var all sync.WaitGroup
	for range senderCount {
		all.Go(func() {
			for n := range next {
				t.announce(ctx, n)
			}
		})
	}
	gap := t.fleet.AnnounceInterval / time.Duration(t.fleet.Targets)
	for n, due := 0, time.Now(); ctx.Err() == nil; n++ {
		due = due.Add(gap)
		// A sender that falls behind doesn't announce in bursts.
		if wait := time.Until(due); wait > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
		} else if wait < -time.Second {
			due = time.Now()
		}
		select {
		case <-ctx.Done():
		case next <- n % t.fleet.Targets:
		}
	}
	close(next)
	all.Wait()
}

// announce tells a registry, each target its own first.
func (t *targets) announce(ctx context.Context, n int) {
	raw, _ := json.Marshal(map[string]any{
		"instance": fmt.Sprintf("target-%d", n+1), "incarnation": 1, "sequence": t.sequence.Add(1),
		"service": t.fleet.Service(n), "cell": t.fleet.Zone(n), "address": fmt.Sprintf("127.%d.%d.%d:8000", t.fleet.LoopbackBlock, 200+n/250, n%250+1),
		"warmth": 1, "occupancy": n % 7, "capacity": 16, "interval_ms": t.fleet.AnnounceInterval.Milliseconds(),
	})
	registries := t.fleet.running("registry")
	for i := range registries {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+registries[(n+i)%len(registries)].httpAddress+"/v1/announce", bytes.NewReader(raw))
		if err != nil {
			return
		}
		res, err := t.httpClient.Do(r)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, res.Body)
		res.Body.Close()
		if res.StatusCode == http.StatusOK {
			t.acknowledged.Add(1)
			return
		}
	}
	t.failed.Add(1)
}
