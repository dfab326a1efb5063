package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"dunlinwell/internal/base/ids"
)

const (
	heartbeatInterval = time.Second
	// heartbeatTimeout leaves some time to try a second registry within the interval.
	heartbeatTimeout = 700 * time.Millisecond
)

// heartbeat is the body of POST /v1/announce.
type heartbeat struct {
	Address        string         `json:"address"`
	Capacity       int            `json:"capacity"`
	Zone           ids.Name       `json:"cell"`
	Incarnation    int64          `json:"incarnation"`
	Instance       ids.InstanceID `json:"instance"`
	IntervalMillis int64          `json:"interval_ms"`
	Draining       bool           `json:"leaving"`
	Occupancy      int64          `json:"occupancy"`
	Sequence       int64          `json:"sequence"`
	Service        ids.Name       `json:"service"`
	Warmth         float64        `json:"warmth"`
}

// announceLoop sends heartbeats until the context is done, except while the target is frozen.
func (t *Target) announceLoop(ctx context.Context) {
	for {
		t.freezeLock.RLock()
		if ctx.Err() == nil {
			t.announce()
		}
		t.freezeLock.RUnlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// announce sends a heartbeat to one registry after another until one acknowledges it, and
// reports whether one did.
func (t *Target) announce() bool {
	body := t.nextHeartbeat()
	for _, registry := range t.Registries() {
		res, err := clientFrom(ipOf(t.Address), heartbeatTimeout).Post("http://"+registry+"/v1/announce", "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

func (t *Target) nextHeartbeat() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	return mustJSON(heartbeat{
		Address: t.Address, Capacity: t.Capacity, Zone: t.Zone, Incarnation: t.incarnation, Instance: t.Instance,
		IntervalMillis: heartbeatInterval.Milliseconds(), Draining: t.draining, Occupancy: t.inFlight.Load(),
		Sequence: t.sequence, Service: t.Service, Warmth: t.warmth(),
	})
}

// mustJSON encodes a value of one of this package's types, whose encoding can't fail.
func mustJSON(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}
