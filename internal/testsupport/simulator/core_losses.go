package simulator

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/consensus"
)

// coreCatchUp is how long a core machine still counts as lost after it returns, or after its first
// start if it is new. At most one may be lost at a time.
const coreCatchUp = 4 * time.Second

// lossCheckInterval is how often the state of the core is checked.
const lossCheckInterval = 50 * millisecond

// coreLosses tracks losses and impairments of the core.
type coreLosses struct {
	// machinesBeingReplaced counts machine replacements that have not finished.
	machinesBeingReplaced int
	// unimpairedSince is the last time at which a store was impaired or a disk was lost. recovered
	// is set once coreCatchUp has passed without impairment since the last disk loss.
	unimpairedSince ids.Time
	recovered       bool
}

// recordDiskLoss records that a disk was lost or is about to be lost.
func (w *World) recordDiskLoss() { w.losses.recovered, w.losses.unimpairedSince = false, w.now }

// trackCoreLosses periodically records which core machines count as lost.
func (w *World) trackCoreLosses() {
	for _, p := range w.remainingProcesses(membership.Store) {
		if w.impaired(p) {
			p.impairedAt, w.losses.unimpairedSince = w.now, w.now
		}
	}
	if w.losses.machinesBeingReplaced > 0 {
		w.losses.unimpairedSince = w.now
	}
	if w.now.Sub(w.losses.unimpairedSince) >= coreCatchUp {
		w.losses.recovered = true
	}
	w.schedule(lossCheckInterval, w.trackCoreLosses)
}

// impaired reports whether a store is down, frozen, slow or partitioned.
func (w *World) impaired(p *process) bool {
	if !p.up || p.frozen || p.disk.stalled || p.disk.slowdown > 0 || w.network.loss > 0 {
		return true
	}
	for _, other := range w.remainingProcesses(membership.Store) {
		if other != p && (w.partitioned(p, other) || w.partitioned(other, p)) {
			return true
		}
	}
	return false
}

// lossTolerated reports whether the system must survive the loss of a core machine or its disk now.
// It doesn't while a machine is being replaced or before all voters are in place. With EagerLosses,
// voters need not be in place if the core was unimpaired for coreCatchUp since the last disk loss
// and no other machine counts as lost.
func (w *World) lossTolerated(p *process) bool {
	switch {
	case w.losses.machinesBeingReplaced > 0:
		return false
	case w.votersInPlace():
		return true
	case !w.EagerLosses || !w.losses.recovered:
		return false
	}
	for _, other := range w.remainingProcesses(membership.Store) {
		if other != p && w.now.Sub(other.impairedAt) < coreCatchUp {
			return false
		}
	}
	return true
}

// whenLossTolerated calls do with a core machine whose loss is tolerated. It draws a machine every
// lossCheckInterval until one qualifies or the faults end.
func (w *World) whenLossTolerated(draw func() *process, do func(*process)) {
	if w.now >= w.faultsEnd() {
		return
	}
	if p := draw(); w.lossTolerated(p) {
		do(p)
		return
	}
	w.schedule(lossCheckInterval, func() { w.whenLossTolerated(draw, do) })
}

// votersInPlace reports whether all voters of the newest voter set are stores that have not been
// removed, with no learner and no reconfiguration under way.
func (w *World) votersInPlace() bool {
	var newest consensus.VoterSet
	stores := map[uint64]bool{}
	for _, p := range w.processes {
		if p.role != membership.Store || p.removed {
			continue
		}
		stores[p.disk.storeID] = true
		if raw, ok := p.disk.Get(voterSetRecord); ok {
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
