package membership

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"dunlinwell/internal/base/ids"
)

// ring has the live members in order of a hash of their ids. Each member is watched by
// the ones that follow it.
type ring struct {
	members []Member
	// doubled is the ring twice in a row, so that the neighbours of any member are one
	// slice of it.
	doubled []Member
	// index is the position of each member in members.
	index map[ids.DaemonID]int
}

// newRing makes a ring of live members, which are in order already.
func newRing(members []Member) *ring {
	r := &ring{members: members, doubled: slices.Concat(members, members), index: make(map[ids.DaemonID]int, len(members))}
	for i, m := range members {
		r.index[m.ID] = i
	}
	return r
}

// watchers returns the k members that follow a member; they watch it.
func (r *ring) watchers(id ids.DaemonID, k int) []Member {
	i, ok := r.index[id]
	if !ok {
		return nil
	}
	return r.doubled[i+1 : i+1+min(k, len(r.members)-1)]
}

// watched returns the k members that precede a member; it watches them.
func (r *ring) watched(id ids.DaemonID, k int) []Member {
	i, ok := r.index[id]
	if !ok {
		return nil
	}
	k = min(k, len(r.members)-1)
	end := i + len(r.members)
	return r.doubled[end-k : end]
}

// ringPosition is a member's position on the ring.
func ringPosition(id ids.DaemonID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}

// sortByRingPosition orders members by their position on the ring, and members at the
// same position by id.
func sortByRingPosition(members []Member) {
	positions := make(map[ids.DaemonID]uint64, len(members))
	for _, m := range members {
		positions[m.ID] = ringPosition(m.ID)
	}
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(positions[a.ID], positions[b.ID]), cmp.Compare(a.ID, b.ID))
	})
}

// currentRing returns the ring of the members that are live now.
func (l *List) currentRing() *ring {
	if l.ring == nil {
		live := slices.DeleteFunc(slices.Collect(maps.Values(l.members)), func(m Member) bool { return m.Dead })
		sortByRingPosition(live)
		l.ring = newRing(live)
	}
	return l.ring
}

// liveMembers returns the live members in order of the ring.
func (l *List) liveMembers() []Member { return slices.Clip(l.currentRing().members) }
