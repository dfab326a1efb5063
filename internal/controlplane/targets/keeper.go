package targets

import (
	"encoding/binary"
	"hash"
	"hash/fnv"

	"dunlinwell/internal/base/ids"
)

// ConfirmRegistrars counts targets as heard whose keeper is there: it would have told. Those
// of a keeper that is gone, or runs anew, are silent until they speak again.
func (t *Table) ConfirmRegistrars(now ids.Time, isRunning func(ids.DaemonID, ids.RunID) bool) {
	for _, e := range t.entries {
		if e.Gone || e.Target.Registrar == "" || e.Target.Registrar == t.Self {
			e.registrarLost = false
			continue
		}
		if e.registrarLost = !isRunning(e.Target.Registrar, e.RegistrarRunID); !e.registrarLost {
			e.lastHeard = max(e.lastHeard, now)
		}
	}
}

// maxMissedWithoutRegistrar is how many intervals a target may be silent whose keeper was
// lost. It may go on telling a keeper that is only cut off from us, and whoever
// uses it sees for themselves.
const maxMissedWithoutRegistrar = 10

// refutesDeath tells whether a target that another copy holds for gone has spoken
// here since that verdict.
func (e *entry) refutesDeath(update Target) bool {
	return update.Gone && !e.Gone && update.Incarnation == e.Incarnation && update.Sequence >= e.Target.Sequence && update.Sequence < e.latestSequence
}

// Digest sums up who is there, so that two copies that differ find it out.
func (t *Table) Digest() uint64 {
	sum := uint64(0)
	for _, p := range t.PartDigests() {
		sum ^= p
	}
	return sum
}

// digestParts is into how many parts a copy is summed up, so that only the parts
// that differ are sent.
const digestParts = 64

// PartDigests sums up who is there, part by part.
func (t *Table) PartDigests() []uint64 {
	digests := make([]uint64, digestParts)
	for id, e := range t.entries {
		if !e.Gone {
			digests[digestPart(id)] ^= e.digest(id)
		}
	}
	return digests
}

// InDifferingParts gives the targets in the parts where another copy has other sums, with
// the sequence of each one's last word: what a copy knows is as new as that.
func (t *Table) InDifferingParts(now ids.Time, theirs []uint64) []Target {
	if len(theirs) != digestParts {
		return nil
	}
	ours := t.PartDigests()
	var out []Target
	for _, target := range t.All(now) {
		if part := digestPart(target.Instance); ours[part] != theirs[part] {
			target.Sequence = t.LatestSequence(target.Instance)
			out = append(out, target)
		}
	}
	return out
}

func digestPart(id ids.InstanceID) int {
	h := fnv.New64a()
	h.Write([]byte(id))
	return int(h.Sum64() % digestParts)
}

// ProxyDigest sums up what proxies go by: two copies with the same sum go by the same
// words, on cold times too.
func (t *Table) ProxyDigest() uint64 {
	sum := uint64(0)
	for id, e := range t.entries {
		if !e.Gone {
			sum ^= e.proxyDigest(id)
		}
	}
	return sum
}

func (e *entry) digest(id ids.InstanceID) uint64 {
	h := e.identityHash(id)
	h.Write([]byte(e.Target.Registrar))
	return h.Sum64()
}

func (e *entry) proxyDigest(id ids.InstanceID) uint64 {
	h := e.identityHash(id)
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], uint64(e.ProxySequence))
	h.Write(raw[:])
	return h.Sum64()
}

// identityHash begins a sum over one target.
func (e *entry) identityHash(id ids.InstanceID) hash.Hash64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	h.Write([]byte{0, byte(e.Incarnation)})
	if e.Leaving {
		h.Write([]byte{1})
	}
	return h
}
