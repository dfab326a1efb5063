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
	mu    sync.Mutex
	flows map[flowKey]*Traffic
}

type flowKey struct {
	way  Direction
	kind wire.Kind
}

func (t *TrafficStats) count(w Direction, k wire.Kind, size int) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flows[flowKey{w, k}]
	if f == nil {
		if t.flows == nil {
			t.flows = map[flowKey]*Traffic{}
		}
		f = &Traffic{Direction: w, Kind: cmp.Or(k.Name(), "unknown")}
		t.flows[flowKey{w, k}] = f
	}
	f.Messages++
	f.Bytes += uint64(size)
}

// Flows gives what was counted so far, in a steady order.
func (t *TrafficStats) Flows() []Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Traffic
	for _, f := range t.flows {
		out = append(out, *f)
	}
	slices.SortFunc(out, func(a, b Traffic) int {
		return cmp.Or(cmp.Compare(a.Direction, b.Direction), cmp.Compare(a.Kind, b.Kind))
	})
	return out
}
