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
	// workerCount limits the number of concurrent heartbeats.
	workerCount = 16
	// heartbeatTimeout limits the wait for a registry's response before the next registry is tried.
	heartbeatTimeout = 2 * time.Second
	// maxHeartbeatDelay limits the backlog of heartbeats. A longer backlog is skipped, because
	// targets of a real fleet wouldn't send it at once.
	maxHeartbeatDelay = time.Second
	// targetsPerSubnet is the number of targets that share the third octet of their loopback
	// addresses.
	targetsPerSubnet = 250
)

// heartbeatSender sends the heartbeats of all simulated targets, which don't accept connections.
type heartbeatSender struct {
	fleet      *fleet
	httpClient http.Client
	sequence   atomic.Uint64
	// acknowledged and failed are numbers of heartbeats.
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

func newHeartbeatSender(f *fleet) *heartbeatSender {
	return &heartbeatSender{fleet: f, httpClient: http.Client{Timeout: heartbeatTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: workerCount}}}
}

// run sends one heartbeat of each target per HeartbeatInterval, spread evenly over the interval,
// until the context ends.
func (s *heartbeatSender) run(ctx context.Context) {
	if s.fleet.Targets == 0 {
		return
	}
	indices := make(chan int)
	var workers sync.WaitGroup
	for range workerCount {
		workers.Go(func() {
			for n := range indices {
				s.sendHeartbeat(ctx, n)
			}
		})
	}
	spacing := s.fleet.HeartbeatInterval / time.Duration(s.fleet.Targets)
	for n, due := 0, time.Now(); ctx.Err() == nil; n++ {
		due = due.Add(spacing)
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
		case indices <- n % s.fleet.Targets:
		}
	}
	close(indices)
	workers.Wait()
}

// sendHeartbeat sends the nth target's heartbeat to its registry, or to the next ones if that
// fails.
func (s *heartbeatSender) sendHeartbeat(ctx context.Context, n int) {
	body := mustJSON(s.nextAnnouncement(n))
	registries := s.fleet.running(registryRole)
	for i := range registries {
		url := "http://" + registries[(n+i)%len(registries)].httpAddress + "/v1/announce"
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
		if err != nil {
			return
		}
		res, err := s.httpClient.Do(req)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, res.Body) // allows reuse of the connection
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			s.acknowledged.Add(1)
			return
		}
	}
	s.failed.Add(1)
}

// nextAnnouncement returns the nth target's next heartbeat.
func (s *heartbeatSender) nextAnnouncement(n int) announcement {
	f := s.fleet
	return announcement{
		Address:  fmt.Sprintf("127.%d.%d.%d:8000", f.LoopbackBlock, firstTargetOctet+n/targetsPerSubnet, n%targetsPerSubnet+1),
		Capacity: 16, Zone: f.Zone(n), Incarnation: 1, Instance: fmt.Sprintf("target-%d", n+1), IntervalMillis: f.HeartbeatInterval.Milliseconds(),
		Occupancy: n % 7, Sequence: s.sequence.Add(1), Service: f.Service(n), Warmth: 1,
	}
}
