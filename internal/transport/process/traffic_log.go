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
	// trafficLogInterval is the interval between two traffic summaries.
	trafficLogInterval = 20 * time.Second
	// trafficLogKinds is the number of message kinds listed in a summary.
	trafficLogKinds = 5
)

// logTraffic periodically logs the bytes sent since the last summary, and the kinds with the
// most bytes.
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
		t.Log.Event(event.LevelInfo, logTrafficSummary, "bytes", strconv.FormatUint(total, 10), "largest_kinds", strings.Join(largest, ","))
	}
}

// kindBytes is the number of bytes sent in messages of one kind.
type kindBytes struct {
	kind  string
	bytes uint64
}

// sentSince returns the bytes sent in addition to those in logged, in total and for the
// kinds with the most bytes (as KIND:BYTES). It updates logged.
func sentSince(logged map[string]uint64, counts []Traffic) (total uint64, largest []string) {
	var sent []kindBytes
	for _, traffic := range counts {
		if traffic.Direction != Sent {
			continue
		}
		newBytes := traffic.Bytes - logged[traffic.Kind]
		sent = append(sent, kindBytes{traffic.Kind, newBytes})
		total += newBytes
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
