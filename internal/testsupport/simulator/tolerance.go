package simulator

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/consensus"
)

// catchUp is how long a core machine still counts as lost after it is back, or
// after its start if it is new. One may be lost at once.
const catchUp = 4 * time.Second

const lossCheckInterval = 50 * millisecond

// coreLosses is what counts as lost of the core.
type coreLosses struct {
	// vacant counts machines that have no successor yet.
	vacant int
	// calmSince is since when no store has been impaired, and recovered tells
	// that there was a calm of catchUp after the last disk was lost.
	calmSince ids.Time
	recovered bool
}

// lose notes that a disk is lost, or is about to be.
func (w *World) lose() { w.losses.recovered, w.losses.calmSince = false, w.now }

// watchLosses notes, again and again, which core machines count as lost.
func (w *World) watchLosses() {
	for _, p := range w.living(membership.Store) {
		if w.impaired(p) {
			p.impairedAt, w.losses.calmSince = w.now, w.now
		}
	}
	if w.losses.vacant > 0 {
		w.losses.calmSince = w.now
	}
	if w.now.Sub(w.losses.calmSince) >= catchUp {
		w.losses.recovered = true
	}
	w.later(lossCheckInterval, w.watchLosses)
}

// impaired tells whether a store is down, frozen, slowed or cut off.
func (w *World) impaired(p *process) bool {
	if !p.up || p.frozen || p.disk.stalled || p.disk.slow > 0 || w.network.loss > 0 {
		return true
	}
	for _, q := range w.living(membership.Store) {
		if q != p && (w.severed(p, q) || w.severed(q, p)) {
			return true
		}
	}
	return false
}

// severed tells whether a cut keeps what one process sends from another.
func (w *World) severed(from, to *process) bool {
	for _, c := range w.cuts {
		if c.crosses(from.name, from.zone, to.name, to.zone) {
			return true
		}
	}
	return false
}

// tolerates tells whether a core machine may be lost for good, or its disk: not
// while a successor is due, nor before all voters hold their places. Eager losses
// don't wait for that: the core had catchUp without trouble since the last such
// loss, and no other machine counts as lost.
func (w *World) tolerates(p *process) bool {
	switch {
	case w.losses.vacant > 0:
		return false
	case w.settledVoters():
		return true
	case !w.EagerLosses || !w.losses.recovered:
		return false
	}
	for _, q := range w.living(membership.Store) {
		if q != p && w.now.Sub(q.impairedAt) < catchUp {
			return false
		}
	}
	return true
}

// whenTolerated does something to a core machine as soon as it may be lost;
// until then it waits its turn.
func (w *World) whenTolerated(draw func() *process, do func(*process)) {
	if w.now >= w.quiet() {
		return
	}
	if p := draw(); w.tolerates(p) {
		do(p)
		return
	}
	w.later(lossCheckInterval, func() { w.whenTolerated(draw, do) })
}

// settledVoters tells whether stores that live on hold all places of the voter set,
// each with a complete copy.
func (w *World) settledVoters() bool {
	var newest consensus.VoterSet
	stores := map[uint64]bool{}
	for _, p := range w.procs {
		if p.role != membership.Store || p.lost {
			continue
		}
		stores[p.disk.store] = true
		if raw, ok := p.disk.Get("meta/roster"); ok {
			if r, ok := consensus.DecodeVoterSet(raw); ok && r.Number > newest.Number {
				newest = r
			}
		}
	}
	if newest.Number == 0 || len(newest.Incoming)+len(newest.Learners) > 0 {
		return false
	}
	for _, s := range newest.Voters {
		if !stores[s.ID] {
			return false
		}
	}
	return true
}
