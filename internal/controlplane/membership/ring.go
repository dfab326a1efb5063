package membership

import (
	"cmp"
	"hash/fnv"
	"slices"

	"dunlinwell/internal/base/ids"
)

// ringIndex is the ring of living members, with the place of each. It is drawn
// up anew after a change of the list.
type ringIndex struct {
	members []Member
	// doubled is the ring twice over, so that the watchers of any member are one
	// slice of it.
	doubled []Member
	at      map[ids.Daemon]int
}

func newRingIndex(members []Member) *ringIndex {
	x := &ringIndex{members: members, doubled: slices.Concat(members, members), at: make(map[ids.Daemon]int, len(members))}
	for i, m := range members {
		x.at[m.ID] = i
	}
	return x
}

// watchers gives the k members that come after a member on the ring.
func (x *ringIndex) watchers(id ids.Daemon, k int) []Member {
	i, ok := x.at[id]
	if !ok {
		return nil
	}
	return x.doubled[i+1 : i+1+min(k, len(x.members)-1)]
}

// watched gives the members that a member watches: the k before it on the ring.
func (x *ringIndex) watched(id ids.Daemon, k int) []Member {
	i, ok := x.at[id]
	if !ok {
		return nil
	}
	k = min(k, len(x.members)-1)
	end := i + len(x.members)
	return x.doubled[end-k : end]
}

func place(id ids.Daemon) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}

// ring orders members by their place; ids break ties.
func ring(members []Member) {
	at := make(map[ids.Daemon]uint64, len(members))
	for _, m := range members {
		at[m.ID] = place(m.ID)
	}
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(at[a.ID], at[b.ID]), cmp.Compare(a.ID, b.ID))
	})
}

// ringOf gives the ring as the list stands now.
func (r *List) ringOf() *ringIndex {
	if r.index == nil {
		var living []Member
		for _, m := range r.members {
			if !m.Gone {
				living = append(living, m)
			}
		}
		ring(living)
		r.index = newRingIndex(living)
	}
	return r.index
}

// livingMembers gives the members that aren't gone, in order of the ring.
func (r *List) livingMembers() []Member {
	list := r.ringOf().members
	return list[:len(list):len(list)]
}
