package targets

import (
	"encoding/binary"
	"hash/fnv"

	"dunlinwell/internal/ids"
)

// Vouch counts targets as heard whose keeper is there: it would have told. Those
// of a keeper that is gone, or runs anew, are silent until they speak again.
func (y *Table) Vouch(now ids.Time, there func(ids.Daemon, ids.RunID) bool) {
	for _, e := range y.list {
		if e.Gone || e.Target.Keeper == "" || e.Target.Keeper == y.Self {
			e.orphan = false
			continue
		}
		if e.orphan = !there(e.Target.Keeper, e.Run); !e.orphan {
			e.heard = max(e.heard, now)
		}
	}
}

// orphanSilences is how many intervals a target may be silent whose keeper was
// lost. It may go on telling a keeper that is only cut off from us, and whoever
// uses it sees for themselves.
const orphanSilences = 10

// insists tells whether a target that another copy holds for gone has spoken
// here since that verdict.
func (e *entry) insists(t Target) bool {
	return t.Gone && !e.Gone && t.Incarnation == e.Incarnation && t.Sequence >= e.Target.Sequence && t.Sequence < e.newest
}

// Sum sums up who is there, so that two copies that differ find it out.
func (y *Table) Sum() uint64 { return y.sum(false) }

// Exact sums up, besides, what each last said that was new: two copies with the
// same one go by the same words, on cold times too.
func (y *Table) Exact() uint64 { return y.sum(true) }

func (y *Table) sum(exact bool) uint64 {
	sum := uint64(0)
	for id, e := range y.list {
		if e.Gone {
			continue
		}
		h := fnv.New64a()
		h.Write([]byte(id))
		h.Write([]byte{0, byte(e.Incarnation)})
		if e.Leaving {
			h.Write([]byte{1})
		}
		h.Write([]byte(e.Target.Keeper))
		if exact {
			var raw [8]byte
			binary.BigEndian.PutUint64(raw[:], uint64(e.Target.Sequence))
			h.Write(raw[:])
		}
		sum ^= h.Sum64()
	}
	return sum
}
