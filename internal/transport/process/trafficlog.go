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
	// wireEvery is how often what was sent is logged, and wireMost of how many
	// kinds.
	wireEvery = 20 * time.Second
	wireMost  = 5
)

// sayWire logs, now and then, what most of the bytes sent were.
func (p *Transport) sayWire(ctx context.Context) {
	tick := time.NewTicker(wireEvery)
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
		for _, f := range p.Stats.Flows() {
			if f.Direction != Sent {
				continue
			}
			rows = append(rows, row{f.Kind, f.Bytes - last[f.Kind]})
			all += f.Bytes - last[f.Kind]
			last[f.Kind] = f.Bytes
		}
		slices.SortFunc(rows, func(a, b row) int { return cmp.Or(-cmp.Compare(a.bytes, b.bytes), cmp.Compare(a.kind, b.kind)) })
		var parts []string
		for _, r := range rows[:min(wireMost, len(rows))] {
			parts = append(parts, r.kind+":"+strconv.FormatUint(r.bytes, 10))
		}
		p.Log.Event(event.LevelInfo, "wire", "bytes", strconv.FormatUint(all, 10), "most", strings.Join(parts, ","))
	}
}
