package membership

import (
	"cmp"
	"hash/fnv"
	"slices"

	"dunlinwell/internal/base/ids"
)

// ring is the ring of living members, with the place of each. It is drawn
// up anew after a change of the list.
type ring struct {
	members []Member
	// doubled is the ring twice over, so that the watchers of any member are one
	// slice of it.
	doubled []Member
	index   map[ids.DaemonID]int
}

func newRing(members []Member) *ring {
	r := &ring{members: members, doubled: slices.Concat(members, members), index: make(map[ids.DaemonID]int, len(members))}
	for i, m := range members {
		r.index[m.ID] = i
	}
	return r
}

// watchers gives the k members that come after a member on the ring.
func (r *ring) watchers(id ids.DaemonID, k int) []Member {
	i, ok := r.index[id]
	if !ok {
		return nil
	}
	return r.doubled[i+1 : i+1+min(k, len(r.members)-1)]
}

// watched gives the members that a member watches: the k before it on the ring.
func (r *ring) watched(id ids.DaemonID, k int) []Member {
	i, ok := r.index[id]
	if !ok {
		return nil
	}
	k = min(k, len(r.members)-1)
	end := i + len(r.members)
	return r.doubled[end-k : end]
}

func ringPosition(id ids.DaemonID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}

// sortByRingPosition orders members by their place; ids break ties.
func sortByRingPosition(members []Member) {
	positions := make(map[ids.DaemonID]uint64, len(members))
	for _, m := range members {
		positions[m.ID] = ringPosition(m.ID)
	}
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(positions[a.ID], positions[b.ID]), cmp.Compare(a.ID, b.ID))
	})
}

// currentRing gives the ring as the list stands now.
func (l *List) currentRing() *ring {
	if l.ring == nil {
		var living []Member
		for _, m := range l.members {
			if !m.Gone {
				living = append(living, m)
			}
		}
		sortByRingPosition(living)
		l.ring = newRing(living)
	}
	return l.ring
}

// liveMembers gives the members that aren't gone, in order of the ring.
func (l *List) liveMembers() []Member {
	list := l.currentRing().members
	return list[:len(list):len(list)]
}
