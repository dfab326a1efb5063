package registry

import (
	"cmp"
	"hash/fnv"
	"slices"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
)

// registriesPerProxy is the number of registries that push to each proxy; more than one, so
// that one may fail.
const registriesPerProxy = 2

// assignment describes how the proxies are divided among the registries. Each registry
// computes it independently from the members and peers that it knows.
type assignment struct {
	// registries are those that share the proxies: this one and its trusted peers,
	// sorted by ID.
	registries []membership.Member
	// proxies are those assigned to this registry; nil before the first computation.
	proxies []membership.Member
	// key identifies the membership version and the registries that the assignment was
	// computed from.
	key uint64
}

// assignedProxies returns the proxies that this registry pushes to: all live proxies
// unless Options.Incremental is set.
func (r *Registry) assignedProxies(now ids.Time) []membership.Member {
	if !r.options.Incremental {
		return r.Live(membership.Proxy)
	}
	r.updateAssignment(now)
	return r.assignment.proxies
}

// updateAssignment recomputes the assignment if the membership or the trusted registries
// have changed.
func (r *Registry) updateAssignment(now ids.Time) {
	registries := r.trustedRegistries(now)
	key := assignmentKey(registries, r.Version())
	if r.assignment.proxies != nil && r.assignment.key == key {
		return
	}
	r.assignment = assignment{registries: registries, proxies: []membership.Member{}, key: key}
	for _, proxy := range r.Live(membership.Proxy) {
		if r.isAssigned(proxy, registries) {
			r.assignment.proxies = append(r.assignment.proxies, proxy)
		}
	}
}

// trustedRegistries returns this registry and its trusted peers. A peer that still sends
// heartbeats is included even if it was declared dead, as it may be about to refute that.
func (r *Registry) trustedRegistries(now ids.Time) []membership.Member {
	var registries []membership.Member
	for _, member := range r.All() {
		if member.Role != membership.Registry {
			continue
		}
		if member.ID == r.Self.ID || r.peers.isTrusted(now, member.ID, member.RunID) {
			registries = append(registries, member)
		}
	}
	return registries
}

func assignmentKey(registries []membership.Member, membershipVersion uint64) uint64 {
	hash := fnv.New64a()
	for _, member := range registries {
		hash.Write([]byte(member.ID))
	}
	return hash.Sum64() ^ membershipVersion
}

// isAssigned reports whether this registry is among those of the given registries that
// push to a proxy: the nearest one, and others chosen by rendezvous hashing.
func (r *Registry) isAssigned(proxy membership.Member, registries []membership.Member) bool {
	if len(registries) <= registriesPerProxy {
		return true
	}
	ranked := slices.Clone(registries)
	slices.SortFunc(ranked, func(a, b membership.Member) int {
		return cmp.Or(compareHash(proxy.ID, a.ID, b.ID), cmp.Compare(a.ID, b.ID))
	})
	nearest := r.nearestRegistry(proxy, ranked)
	if nearest.ID == r.Self.ID {
		return true
	}
	ranked = slices.DeleteFunc(ranked, func(member membership.Member) bool { return member.ID == nearest.ID })
	return slices.ContainsFunc(ranked[:registriesPerProxy-1], func(member membership.Member) bool { return member.ID == r.Self.ID })
}

// nearestRegistry returns the registry whose zone is nearest to a proxy's. Ties are broken
// by rendezvous hashing.
func (r *Registry) nearestRegistry(proxy membership.Member, registries []membership.Member) membership.Member {
	return slices.MinFunc(registries, func(a, b membership.Member) int {
		return cmp.Or(r.compareDistance(proxy.Zone, a.Zone, b.Zone), compareHash(proxy.ID, a.ID, b.ID))
	})
}

// isBackupFor reports whether another registry is the primary one for a proxy. Pushes that
// aren't urgent are then delayed here, as the proxy will likely have the content by then.
func (r *Registry) isBackupFor(proxy membership.Member) bool {
	registries := r.assignment.registries
	return len(registries) > 0 && r.nearestRegistry(proxy, registries).ID != r.Self.ID
}

// compareDistance orders two zones by their distance from a third.
func (r *Registry) compareDistance(from, a, b ids.Name) int {
	view := r.configuration.view
	return cmp.Compare(view.Distance(from, a), view.Distance(from, b))
}

// compareHash orders two registries by their rendezvous hash for a key, so that a key
// keeps its registry when others join or leave.
func compareHash(key, a, b ids.DaemonID) int {
	return cmp.Compare(rendezvousHash(key, a), rendezvousHash(key, b))
}

func rendezvousHash(key, candidate ids.DaemonID) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(key))
	hash.Write([]byte{0})
	hash.Write([]byte(candidate))
	return hash.Sum64()
}
