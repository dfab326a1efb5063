package targets

import (
	"encoding/binary"
	"hash"
	"hash/fnv"

	"dunlinwell/internal/base/ids"
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
func (y *Table) Sum() uint64 {
	sum := uint64(0)
	for _, p := range y.Parts() {
		sum ^= p
	}
	return sum
}

// tableParts is into how many parts a copy is summed up, so that only the parts
// that differ are sent.
const tableParts = 64

// Parts sums up who is there, part by part.
func (y *Table) Parts() []uint64 {
	parts := make([]uint64, tableParts)
	for id, e := range y.list {
		if !e.Gone {
			parts[partOf(id)] ^= e.sum(id)
		}
	}
	return parts
}

// Differing gives the targets in the parts where another copy has other sums, with
// the sequence of each one's last word: what a copy knows is as new as that.
func (y *Table) Differing(now ids.Time, theirs []uint64) []Target {
	if len(theirs) != tableParts {
		return nil
	}
	ours := y.Parts()
	var out []Target
	for _, t := range y.All(now) {
		if i := partOf(t.Instance); ours[i] != theirs[i] {
			t.Sequence = y.Newest(t.Instance)
			out = append(out, t)
		}
	}
	return out
}

func partOf(id ids.Instance) int {
	h := fnv.New64a()
	h.Write([]byte(id))
	return int(h.Sum64() % tableParts)
}

// Exact sums up what proxies go by: two copies with the same sum go by the same
// words, on cold times too.
func (y *Table) Exact() uint64 {
	sum := uint64(0)
	for id, e := range y.list {
		if !e.Gone {
			sum ^= e.exact(id)
		}
	}
	return sum
}

func (e *entry) sum(id ids.Instance) uint64 {
	h := e.identity(id)
	h.Write([]byte(e.Target.Keeper))
	return h.Sum64()
}

func (e *entry) exact(id ids.Instance) uint64 {
	h := e.identity(id)
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], uint64(e.Material))
	h.Write(raw[:])
	return h.Sum64()
}

// identity begins a sum over one target.
func (e *entry) identity(id ids.Instance) hash.Hash64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	h.Write([]byte{0, byte(e.Incarnation)})
	if e.Leaving {
		h.Write([]byte{1})
	}
	return h
}
