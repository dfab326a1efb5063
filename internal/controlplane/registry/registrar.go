package registry

import (
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/targets"
)

// assignRegistrar sets a target's registrar, the registry that receives its next
// heartbeats. The current registrar is preferred, because each change of it has to be
// sent to all peers.
func (r *Registry) assignRegistrar(now ids.Time, target *targets.Target) {
	if previous, known := r.Targets.Get(now, target.Instance); known {
		target.Registrar = previous.Registrar
	}
	registrar := r.registrarFor(now, *target)
	target.Registrar, target.RegistrarRunID = registrar.ID, registrar.RunID
}

// registrarFor returns the registry that a target should send heartbeats to: the one in
// the nearest zone, to avoid cross-region heartbeats. It returns the zero Member unless
// Options.Incremental is set.
func (r *Registry) registrarFor(now ids.Time, target targets.Target) membership.Member {
	if !r.options.Incremental {
		return membership.Member{}
	}
	r.updateAssignment(now)
	var best membership.Member
	for _, candidate := range r.assignment.registries {
		if best.ID == "" || r.isBetterRegistrar(target, candidate, best) {
			best = candidate
		}
	}
	return best
}

// isBetterRegistrar reports whether candidate is preferred over best as a target's
// registrar: first by distance, then the current registrar, then by rendezvous hashing.
func (r *Registry) isBetterRegistrar(target targets.Target, candidate, best membership.Member) bool {
	if order := r.compareDistance(target.Zone, candidate.Zone, best.Zone); order != 0 {
		return order < 0
	}
	if target.Registrar == candidate.ID || target.Registrar == best.ID {
		return target.Registrar == candidate.ID
	}
	return compareHash(ids.DaemonID(target.Instance), candidate.ID, best.ID) < 0
}
