package membership

import (
	"encoding/binary"
	"hash"
	"hash/fnv"

	"dunlinwell/internal/base/ids"
)

// digestParts is the number of parts that a list's digest is split into. Of 1,600
// members, one that differs costs the transfer of a part of 25. All daemons must use
// the same number.
const digestParts = 64

// digestPart is the part of the list that a member belongs to.
func digestPart(id ids.DaemonID) int { return int(ringPosition(id) % digestParts) }

// memberDigest is the checksum of one member. A part's digest is the exclusive or of
// those of its members, so that a change of one member needs no other.
func memberDigest(m Member) uint64 {
	h := fnv.New64a()
	hashMember(h, m)
	return h.Sum64()
}

// listDigest is the checksum of a list that isn't incremental.
func listDigest(members []Member) uint64 {
	h := fnv.New64a()
	for _, m := range members {
		hashMember(h, m)
	}
	return h.Sum64()
}

// hashMember adds a member to a hash: its id, and what Member.supersedes compares.
func hashMember(h hash.Hash64, m Member) {
	gone := uint64(0)
	if m.Dead {
		gone = 1
	}
	h.Write([]byte(m.ID))
	var raw [24]byte
	binary.BigEndian.PutUint64(raw[:], uint64(m.Incarnation))
	binary.BigEndian.PutUint64(raw[8:], uint64(m.Sequence))
	binary.BigEndian.PutUint64(raw[16:], gone)
	h.Write(raw[:])
}

// currentDigest is the checksum of the whole list, which heartbeats carry.
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

// combinePartDigests is the checksum of an incremental list, made from its parts.
func (l *List) combinePartDigests() uint64 {
	h := fnv.New64a()
	var raw [8]byte
	for _, part := range l.partDigests {
		binary.BigEndian.PutUint64(raw[:], part)
		h.Write(raw[:])
	}
	return h.Sum64()
}
