package process

import (
	"cmp"
	"slices"
	"sync"

	"dunlinwell/internal/transport/wire"
)

// Way is where a message went.
type Direction string

// Lost are those that a full line had no room for.
const (
	Sent     Direction = "sent"
	Received Direction = "received"
	Dropped  Direction = "lost"
)

// Flow is what went one way, of one kind.
type Traffic struct {
	Direction       Direction
	Kind            string
	Messages, Bytes uint64
}

// Tally counts frames by way and kind; a nil one counts nothing.
type TrafficStats struct {
	mu     sync.Mutex
	byKind map[trafficKey]*Traffic
}

type trafficKey struct {
	direction Direction
	kind      wire.Kind
}

func (t *TrafficStats) count(direction Direction, kind wire.Kind, size int) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	traffic := t.byKind[trafficKey{direction, kind}]
	if traffic == nil {
		if t.byKind == nil {
			t.byKind = map[trafficKey]*Traffic{}
		}
		traffic = &Traffic{Direction: direction, Kind: cmp.Or(kind.Name(), "unknown")}
		t.byKind[trafficKey{direction, kind}] = traffic
	}
	traffic.Messages++
	traffic.Bytes += uint64(size)
}

// Snapshot gives what was counted so far, in a steady order.
func (t *TrafficStats) Snapshot() []Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Traffic
	for _, f := range t.byKind {
		out = append(out, *f)
	}
	slices.SortFunc(out, func(a, b Traffic) int {
		return cmp.Or(cmp.Compare(a.Direction, b.Direction), cmp.Compare(a.Kind, b.Kind))
	})
	return out
}
