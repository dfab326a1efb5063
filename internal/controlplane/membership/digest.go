package membership

import (
	"encoding/binary"
	"hash"
	"hash/fnv"

	"dunlinwell/internal/base/ids"
)

// digestParts is the number of parts that a list's digest is split into. One differing member
// causes the transfer of one part: 25 members in a list of 1,600. All daemons must use the same
// number.
const digestParts = 64

// digestPart returns the part of the list that a member belongs to.
func digestPart(id ids.DaemonID) int { return int(ringPosition(id) % digestParts) }

// memberDigest returns the checksum of one member. The digest of a part is the XOR of its members'
// digests, so that it can be updated for one member without reading the others.
func memberDigest(m Member) uint64 {
	h := fnv.New64a()
	hashMember(h, m)
	return h.Sum64()
}

// listDigest returns the checksum of a list that isn't incremental.
func listDigest(members []Member) uint64 {
	h := fnv.New64a()
	for _, m := range members {
		hashMember(h, m)
	}
	return h.Sum64()
}

// hashMember adds a member's ID and the fields that Member.supersedes compares to a hash.
func hashMember(h hash.Hash64, m Member) {
	dead := uint64(0)
	if m.Dead {
		dead = 1
	}
	h.Write([]byte(m.ID))
	var raw [24]byte
	binary.BigEndian.PutUint64(raw[:], uint64(m.Incarnation))
	binary.BigEndian.PutUint64(raw[8:], uint64(m.Sequence))
	binary.BigEndian.PutUint64(raw[16:], dead)
	h.Write(raw[:])
}

// currentDigest returns the checksum of the whole list, which heartbeats carry.
func (l *List) currentDigest() uint64 {
	if l.digestStale {
		if l.Incremental {
			l.digest = l.combinePartDigests()
		} else {
			l.digest = listDigest(l.All())
		}
		l.digestStale = false
	}
	return l.digest
}

// combinePartDigests returns the checksum of an incremental list, computed from the digests of
// its parts.
func (l *List) combinePartDigests() uint64 {
	h := fnv.New64a()
	var raw [8]byte
	for _, part := range l.partDigests {
		binary.BigEndian.PutUint64(raw[:], part)
		h.Write(raw[:])
	}
	return h.Sum64()
}
