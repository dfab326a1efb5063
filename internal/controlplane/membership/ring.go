package membership

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"dunlinwell/internal/base/ids"
)

// ring holds the live members in the order of a hash of their IDs. Each member is watched by the
// members that follow it.
type ring struct {
	members []Member
	// doubled is members concatenated with itself, so that the neighbours of any member are a
	// contiguous slice.
	doubled []Member
	// index is the position of each member in members.
	index map[ids.DaemonID]int
}

// newRing returns a ring of live members, which must be sorted by ring position.
func newRing(members []Member) *ring {
	r := &ring{members: members, doubled: slices.Concat(members, members), index: make(map[ids.DaemonID]int, len(members))}
	for i, m := range members {
		r.index[m.ID] = i
	}
	return r
}

// watchers returns the members that watch a member: the k that follow it, or all others if there
// are fewer.
func (r *ring) watchers(id ids.DaemonID, k int) []Member {
	i, ok := r.index[id]
	if !ok {
		return nil
	}
	return r.doubled[i+1 : i+1+min(k, len(r.members)-1)]
}

// watched returns the members that a member watches: the k that precede it, or all others if
// there are fewer.
func (r *ring) watched(id ids.DaemonID, k int) []Member {
	i, ok := r.index[id]
	if !ok {
		return nil
	}
	k = min(k, len(r.members)-1)
	end := i + len(r.members)
	return r.doubled[end-k : end]
}

// ringPosition returns a member's position on the ring.
func ringPosition(id ids.DaemonID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}

// sortByRingPosition sorts members by their position on the ring, and by ID if the positions are
// equal.
func sortByRingPosition(members []Member) {
	positions := make(map[ids.DaemonID]uint64, len(members))
	for _, m := range members {
		positions[m.ID] = ringPosition(m.ID)
	}
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(positions[a.ID], positions[b.ID]), cmp.Compare(a.ID, b.ID))
	})
}

// currentRing returns the ring of the live members.
func (l *List) currentRing() *ring {
	if l.ring == nil {
		live := slices.DeleteFunc(slices.Collect(maps.Values(l.members)), func(m Member) bool { return m.Dead })
		sortByRingPosition(live)
		l.ring = newRing(live)
	}
	return l.ring
}

// liveMembers returns the live members in ring order.
func (l *List) liveMembers() []Member { return slices.Clip(l.currentRing().members) }
