package registry

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
)

// targetSyncInterval is the interval at which a registry without Options.Incremental
// sends its whole target table to its peers.
const targetSyncInterval = time.Second

// syncTargets sends the whole target table to the other registries when it is due.
// Incremental registries send changes instead, and detect lost ones by the digests in
// their heartbeats.
func (r *Registry) syncTargets(now ids.Time) {
	if now < r.nextTargetSync {
		return
	}
	r.nextTargetSync = now.Add(targetSyncInterval)
	if !r.options.Incremental {
		r.sendTargetsToPeers(r.Targets.All(now))
	}
}

// sendTargetsToPeers sends targets, if any, to the other live registries.
func (r *Registry) sendTargetsToPeers(list []targets.Target) {
	if len(list) > 0 {
		r.sendToPeers(targets.Update{Targets: list})
	}
}

// handleTargetUpdate merges the targets that another registry sent. Targets that were
// received as dead, but are in use after the merge, are sent to all peers as corrections.
func (r *Registry) handleTargetUpdate(now ids.Time, received []targets.Target) {
	changed := r.Targets.Merge(now, received...)
	r.handleChangedTargets(now, changed)
	if !r.options.Incremental {
		return
	}
	receivedAsDead := map[ids.InstanceID]bool{}
	for _, target := range received {
		receivedAsDead[target.Instance] = target.Dead
	}
	var corrections []targets.Target
	for _, target := range changed {
		if !target.Dead && receivedAsDead[target.Instance] {
			corrections = append(corrections, target)
		}
	}
	r.sendTargetsToPeers(corrections)
}
