package process

import (
	"cmp"
	"slices"
	"sync"

	"dunlinwell/internal/transport/wire"
)

// Direction is what happened to a frame. It is the label "way" of the metrics
// wire_messages_total and wire_bytes_total. Discarded frames have a separate value for each
// reason.
type Direction string

// Directions of frames that weren't discarded.
const (
	Sent     Direction = "sent"
	Received Direction = "received"
	// Dropped is a frame that was not sent because the peer's queue was full or the peer
	// was unreachable.
	Dropped Direction = "lost"
)

// unknownKindName is Traffic.Kind of frames whose kind isn't registered.
const unknownKindName = "unknown"

// Traffic holds the number and total size of frames of one kind in one direction.
type Traffic struct {
	Direction Direction
	// Kind is the name of the kind, as returned by wire.Kind.Name.
	Kind            string
	Messages, Bytes uint64
}

// TrafficStats counts frames by direction and kind. A nil *TrafficStats counts nothing.
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
	key := trafficKey{direction, kind}
	traffic := t.byKind[key]
	if traffic == nil {
		if t.byKind == nil {
			t.byKind = map[trafficKey]*Traffic{}
		}
		traffic = &Traffic{Direction: direction, Kind: cmp.Or(kind.Name(), unknownKindName)}
		t.byKind[key] = traffic
	}
	traffic.Messages++
	traffic.Bytes += uint64(size)
}

// Snapshot returns the current counts, ordered by direction and kind.
func (t *TrafficStats) Snapshot() []Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	var counts []Traffic
	for _, traffic := range t.byKind {
		counts = append(counts, *traffic)
	}
	slices.SortFunc(counts, func(a, b Traffic) int {
		return cmp.Or(cmp.Compare(a.Direction, b.Direction), cmp.Compare(a.Kind, b.Kind))
	})
	return counts
}
