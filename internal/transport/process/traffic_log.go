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
	// trafficLogInterval is how often what was sent is logged, and wireMost of how many
	// kinds.
	trafficLogInterval = 20 * time.Second
	trafficLogKinds    = 5
)

// logTraffic logs, now and then, what most of the bytes sent were.
func (t *Transport) logTraffic(ctx context.Context) {
	tick := time.NewTicker(trafficLogInterval)
	defer tick.Stop()
	last := map[string]uint64{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		type row struct {
			kind  string
			bytes uint64
		}
		var rows []row
		all := uint64(0)
		for _, f := range t.Stats.Snapshot() {
			if f.Direction != Sent {
				continue
			}
			rows = append(rows, row{f.Kind, f.Bytes - last[f.Kind]})
			all += f.Bytes - last[f.Kind]
			last[f.Kind] = f.Bytes
		}
		slices.SortFunc(rows, func(a, b row) int { return cmp.Or(-cmp.Compare(a.bytes, b.bytes), cmp.Compare(a.kind, b.kind)) })
		var parts []string
		for _, r := range rows[:min(trafficLogKinds, len(rows))] {
			parts = append(parts, r.kind+":"+strconv.FormatUint(r.bytes, 10))
		}
		t.Log.Event(event.LevelInfo, "wire", "bytes", strconv.FormatUint(all, 10), "most", strings.Join(parts, ","))
	}
}
