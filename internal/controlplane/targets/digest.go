package targets

import (
	"encoding/binary"
	"hash"
	"hash/fnv"

	"dunlinwell/internal/base/ids"
)

// digestParts is the number of parts that a table's digest is split into, so that copies only
// exchange the targets of the parts that differ. All registries must use the same number.
const digestParts = 64

// Digest returns a checksum of the live targets and their registrars. Two copies with the same
// digest hold the same targets.
func (t *Table) Digest() uint64 {
	digest := uint64(0)
	for _, part := range t.PartDigests() {
		digest ^= part
	}
	return digest
}

// PartDigests returns the digest of each part of the table.
func (t *Table) PartDigests() []uint64 {
	digests := make([]uint64, digestParts)
	for id, e := range t.entries {
		if !e.Dead {
			digests[digestPart(id)] ^= e.digest(id)
		}
	}
	return digests
}

// InDifferingParts returns the targets of the parts whose digests differ from those of another
// copy, each with the sequence number of its latest heartbeat. It returns nil if the other copy
// has a different number of parts.
func (t *Table) InDifferingParts(now ids.Time, theirs []uint64) []Target {
	if len(theirs) != digestParts {
		return nil
	}
	ours := t.PartDigests()
	var differing []Target
	for _, target := range t.All(now) {
		if part := digestPart(target.Instance); ours[part] != theirs[part] {
			target.Sequence = t.LatestSequence(target.Instance)
			differing = append(differing, target)
		}
	}
	return differing
}

// ProxyDigest returns a checksum of the state of the live targets that is visible to proxies. Two
// copies with the same digest lead to the same routing decisions, including slow starts.
func (t *Table) ProxyDigest() uint64 {
	digest := uint64(0)
	for id, e := range t.entries {
		if !e.Dead {
			digest ^= e.proxyDigest(id)
		}
	}
	return digest
}

// digestPart returns the part of the table that a target belongs to.
func digestPart(id ids.InstanceID) int {
	h := fnv.New64a()
	h.Write([]byte(id))
	return int(h.Sum64() % digestParts)
}

// digest returns the target's contribution to Digest.
func (e *entry) digest(id ids.InstanceID) uint64 {
	h := e.identityHash(id)
	h.Write([]byte(e.Registrar))
	return h.Sum64()
}

// proxyDigest returns the target's contribution to ProxyDigest.
func (e *entry) proxyDigest(id ids.InstanceID) uint64 {
	h := e.identityHash(id)
	var sequence [8]byte
	binary.BigEndian.PutUint64(sequence[:], uint64(e.ProxySequence))
	h.Write(sequence[:])
	return h.Sum64()
}

// identityHash returns a hash of the fields that are part of all digests: the instance, the lowest
// byte of its incarnation, and whether it is draining.
func (e *entry) identityHash(id ids.InstanceID) hash.Hash64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	h.Write([]byte{0, byte(e.Incarnation)})
	if e.Draining {
		h.Write([]byte{1})
	}
	return h
}
