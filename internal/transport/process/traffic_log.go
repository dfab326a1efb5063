package process

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"dunlinwell/internal/base/event"
)

const (
	// trafficLogInterval is short enough to see what a fault costs while it lasts.
	trafficLogInterval = 20 * time.Second
	// trafficLogKinds is how many kinds of message a summary names.
	trafficLogKinds = 5
)

// logTraffic logs, every trafficLogInterval, the bytes sent since the last summary and
// the kinds that made up most of them.
func (t *Transport) logTraffic(ctx context.Context) {
	ticker := time.NewTicker(trafficLogInterval)
	defer ticker.Stop()
	logged := map[string]uint64{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		total, largest := sentSince(logged, t.Stats.Snapshot())
		t.Log.Event(event.LevelInfo, logTrafficSummary, "bytes", strconv.FormatUint(total, 10), "most", strings.Join(largest, ","))
	}
}

// kindBytes is how much of one kind was sent.
type kindBytes struct {
	kind  string
	bytes uint64
}

// sentSince gives the bytes sent beyond those logged, in all and for the largest
// kinds (as KIND:BYTES), and updates logged.
func sentSince(logged map[string]uint64, counts []Traffic) (total uint64, largest []string) {
	var sent []kindBytes
	for _, traffic := range counts {
		if traffic.Direction != Sent {
			continue
		}
		since := traffic.Bytes - logged[traffic.Kind]
		sent = append(sent, kindBytes{traffic.Kind, since})
		total += since
		logged[traffic.Kind] = traffic.Bytes
	}
	slices.SortFunc(sent, func(a, b kindBytes) int {
		return cmp.Or(-cmp.Compare(a.bytes, b.bytes), cmp.Compare(a.kind, b.kind))
	})
	for _, s := range sent[:min(trafficLogKinds, len(sent))] {
		largest = append(largest, s.kind+":"+strconv.FormatUint(s.bytes, 10))
	}
	return total, largest
}
