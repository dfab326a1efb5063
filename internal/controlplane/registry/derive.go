package registry

import (
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/spill"
)

// Shares of what a cell's targets bear, for set points that nobody named. They
// stand as far apart as the source's: target between acceptable and maximum.
const (
	ofAcceptable = 0.6
	ofTarget     = 0.75
	ofMaximum    = 0.9
)

// bears gives what each cell's targets bear, in ms of work a second, as they
// state it themselves. A cold one bears little, a shut cell's nothing.
func (f *Registry) bears(now ids.Time) map[ids.Name]float64 {
	if !f.params.Derive {
		return nil
	}
	out := map[ids.Name]float64{}
	for _, t := range f.Targets.All(now) {
		if c := f.view.Cells[t.Cell]; t.Usable() && !c.Shut && !c.Emptied && t.Cold == 0 {
			out[t.Cell] += float64(t.Capacity) * 1000
		}
	}
	return out
}

// derive sets a cell's levels by what its targets bear.
func (f *Registry) derive(h *spill.Cell, bears float64) {
	bears = max(bears, 1)
	h.Acceptable, h.Target, h.Maximum = ofAcceptable*bears, ofTarget*bears, ofMaximum*bears
}
