package hoist

import (
	"cmp"
	"slices"
	"sync"

	"dunlinwell/internal/parcel"
)

// Way is where a message went.
type Way string

// Lost are those that a full line had no room for.
const (
	Sent     Way = "sent"
	Received Way = "received"
	Lost     Way = "lost"
)

// Flow is what went one way, of one kind.
type Flow struct {
	Way             Way
	Kind            string
	Messages, Bytes uint64
}

// Tally counts frames by way and kind; a nil one counts nothing.
type Tally struct {
	mu    sync.Mutex
	flows map[flowKey]*Flow
}

type flowKey struct {
	way  Way
	kind parcel.Kind
}

func (t *Tally) count(w Way, k parcel.Kind, size int) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flows[flowKey{w, k}]
	if f == nil {
		if t.flows == nil {
			t.flows = map[flowKey]*Flow{}
		}
		f = &Flow{Way: w, Kind: cmp.Or(k.Name(), "unknown")}
		t.flows[flowKey{w, k}] = f
	}
	f.Messages++
	f.Bytes += uint64(size)
}

// Flows gives what was counted so far, in a steady order.
func (t *Tally) Flows() []Flow {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Flow
	for _, f := range t.flows {
		out = append(out, *f)
	}
	slices.SortFunc(out, func(a, b Flow) int { return cmp.Or(cmp.Compare(a.Way, b.Way), cmp.Compare(a.Kind, b.Kind)) })
	return out
}
