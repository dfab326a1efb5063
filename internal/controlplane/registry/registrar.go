package registry

import (
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/targets"
)

// assignRegistrar sets a target's registrar to the registry that its next heartbeats will
// go to, so that the registrar, whose change all peers must hear of, seldom changes.
func (r *Registry) assignRegistrar(now ids.Time, target *targets.Target) {
	if previous, known := r.Targets.Get(now, target.Instance); known {
		target.Registrar = previous.Registrar
	}
	registrar := r.registrarFor(now, *target)
	target.Registrar, target.RegistrarRunID = registrar.ID, registrar.RunID
}

// registrarFor gives the registry that a target should send heartbeats to: the one whose
// zone is nearest, so that heartbeats don't cross regions without need. It gives no
// member without Options.Incremental.
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

// isBetterRegistrar compares two registries as the registrar of a target: the nearer one
// wins, then the current registrar, then rendezvous hashing decides.
func (r *Registry) isBetterRegistrar(target targets.Target, candidate, best membership.Member) bool {
	if order := r.compareDistance(target.Zone, candidate.Zone, best.Zone); order != 0 {
		return order < 0
	}
	if target.Registrar == candidate.ID || target.Registrar == best.ID {
		return target.Registrar == candidate.ID
	}
	return compareHash(ids.DaemonID(target.Instance), candidate.ID, best.ID) < 0
}
