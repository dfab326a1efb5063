package delta

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

const (
	// anchorLength is the minimum length of a match after a change, in bytes. Shorter
	// sequences, such as JSON punctuation, often match by chance.
	anchorLength = 24
	// initialWindow is the size of the first window that is searched for a match, in
	// bytes. It exceeds the size of a typical configuration item.
	initialWindow = 4 << 10
	// windowGrowth is the factor by which the window grows after a search without a match.
	windowGrowth = 4
	// compareStep is the number of bytes compared by one call of bytes.Equal.
	compareStep = 4 << 10
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum returns the CRC-32C checksum of raw. A delta identifies its base and its
// result by it.
func Checksum(raw []byte) uint32 { return crc32.Checksum(raw, castagnoli) }

// Diff returns a delta that transforms base into next.
func Diff(base, next []byte) []byte {
	w := editWriter{output: header(base, next)}
	baseOffset, nextOffset := 0, 0
	for nextOffset < len(next) {
		n := commonPrefix(base[baseOffset:], next[nextOffset:])
		w.copy(baseOffset, n)
		baseOffset, nextOffset = baseOffset+n, nextOffset+n
		if nextOffset == len(next) {
			break
		}
		skip, insert := nextMatch(base[baseOffset:], next[nextOffset:])
		w.insert(next[nextOffset : nextOffset+insert])
		baseOffset, nextOffset = baseOffset+skip, nextOffset+insert
	}
	w.flush()
	return w.output
}

// header returns the header of a delta: the lengths and checksums of base and next.
func header(base, next []byte) []byte {
	out := binary.AppendUvarint(nil, uint64(len(base)))
	out = binary.BigEndian.AppendUint32(out, Checksum(base))
	out = binary.AppendUvarint(out, uint64(len(next)))
	return binary.BigEndian.AppendUint32(out, Checksum(next))
}

// commonPrefix returns the length of the longest common prefix of a and b.
func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	offset := 0
	// bytes.Equal uses vector instructions.
	for offset+compareStep <= n && bytes.Equal(a[offset:offset+compareStep], b[offset:offset+compareStep]) {
		offset += compareStep
	}
	for offset < n && a[offset] == b[offset] {
		offset++
	}
	return offset
}

// nextMatch finds the next match: base[skip:] and next[insert:] begin with the same bytes.
// It searches in growing windows. Without a match it returns the lengths of base and next.
func nextMatch(base, next []byte) (skip, insert int) {
	for window := initialWindow; ; window *= windowGrowth {
		a, b := base[:min(window, len(base))], next[:min(window, len(next))]
		if skip, insert, found := nearestAnchorMatch(a, b); found {
			return skip, insert
		}
		if len(a) == len(base) && len(b) == len(next) {
			return len(base), len(next)
		}
	}
}

// nearestAnchorMatch finds the match between an anchor of a and b for which the sum of
// skipped and inserted bytes is smallest. Items of a configuration are similar, so a more
// distant match would often belong to a different item.
func nearestAnchorMatch(a, b []byte) (skip, insert int, found bool) {
	positions := anchorPositions(a)
	bestDistance := len(a) + len(b)
	for offset := 0; offset+anchorLength <= len(b) && offset < bestDistance; offset++ {
		position, known := positions[hashAnchor(b[offset:])]
		if !known || position+offset >= bestDistance || !bytes.Equal(a[position:position+anchorLength], b[offset:offset+anchorLength]) {
			continue
		}
		extension := commonSuffix(a[:position], b[:offset])
		skip, insert, found, bestDistance = position-extension, offset-extension, true, position+offset
	}
	return skip, insert, found
}

// anchorPositions splits raw into adjacent anchors and maps the hash of each to its first
// position, which is the nearest.
func anchorPositions(raw []byte) map[uint32]int {
	positions := make(map[uint32]int, len(raw)/anchorLength)
	for offset := 0; offset+anchorLength <= len(raw); offset += anchorLength {
		hash := hashAnchor(raw[offset:])
		if _, known := positions[hash]; !known {
			positions[hash] = offset
		}
	}
	return positions
}

// commonSuffix returns the length of the longest common suffix of a and b.
func commonSuffix(a, b []byte) int {
	n := 0
	for n < min(len(a), len(b)) && a[len(a)-n-1] == b[len(b)-n-1] {
		n++
	}
	return n
}

// hashAnchor returns a hash of the first anchorLength bytes of raw. Hashes may collide, so
// callers compare the bytes as well. The multipliers are from splitmix64 and MurmurHash3.
func hashAnchor(raw []byte) uint32 {
	x := binary.LittleEndian.Uint64(raw) * 0x9e3779b97f4a7c15
	x = (x ^ binary.LittleEndian.Uint64(raw[8:])) * 0xff51afd7ed558ccd
	x = (x ^ binary.LittleEndian.Uint64(raw[16:])) * 0xc4ceb9fe1a85ec53
	return uint32(x >> 32)
}
