package delta

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

const (
	// anchorLength is how many equal bytes make a place where both strings continue
	// alike. Shorter ones, such as the punctuation of JSON, recur by chance.
	anchorLength = 24
	// initialWindow is how far ahead a common place is searched for at first: more
	// than one changed item, and little enough to search for each of many.
	initialWindow = 4 << 10
	// windowGrowth multiplies the window each time that nothing was found in it.
	windowGrowth = 4
	// compareStep is how many bytes are compared in one call.
	compareStep = 4 << 10
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum gives the checksum (CRC-32C) by which a difference identifies its base
// and its result.
func Checksum(raw []byte) uint32 { return crc32.Checksum(raw, castagnoli) }

// Diff gives the difference that leads from base to next.
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
		skip, insert := nextCommonPlace(base[baseOffset:], next[nextOffset:])
		w.insert(next[nextOffset : nextOffset+insert])
		baseOffset, nextOffset = baseOffset+skip, nextOffset+insert
	}
	w.flush()
	return w.output
}

// header identifies the base and the result, by length and checksum.
func header(base, next []byte) []byte {
	out := binary.AppendUvarint(nil, uint64(len(base)))
	out = binary.BigEndian.AppendUint32(out, Checksum(base))
	out = binary.AppendUvarint(out, uint64(len(next)))
	return binary.BigEndian.AppendUint32(out, Checksum(next))
}

// commonPrefix gives the number of bytes with which both strings begin alike.
func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	offset := 0
	// bytes.Equal compares long runs by vector instructions.
	for offset+compareStep <= n && bytes.Equal(a[offset:offset+compareStep], b[offset:offset+compareStep]) {
		offset += compareStep
	}
	for offset < n && a[offset] == b[offset] {
		offset++
	}
	return offset
}

// nextCommonPlace finds where both strings continue alike: after skip bytes of the
// base and insert new bytes of next. It searches ever larger windows; without a
// common place it gives the whole of both.
func nextCommonPlace(base, next []byte) (skip, insert int) {
	for window := initialWindow; ; window *= windowGrowth {
		a, b := base[:min(window, len(base))], next[:min(window, len(next))]
		if skip, insert, found := nearestCommonAnchor(a, b); found {
			return skip, insert
		}
		if len(a) == len(base) && len(b) == len(next) {
			return len(base), len(next)
		}
	}
}

// nearestCommonAnchor finds the place of b that equals an anchor of a with the
// fewest skipped and inserted bytes together: much of a configuration is alike, and
// a far match would copy another item's bytes.
func nearestCommonAnchor(a, b []byte) (skip, insert int, found bool) {
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

// anchorPositions gives the first position of each anchor, by its hash. Anchors
// stand side by side; of equal ones the first is the nearest.
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

// commonSuffix gives the number of bytes with which both strings end alike.
func commonSuffix(a, b []byte) int {
	n := 0
	for n < min(len(a), len(b)) && a[len(a)-n-1] == b[len(b)-n-1] {
		n++
	}
	return n
}

// hashAnchor mixes the bytes of an anchor. Equal hashes are only a hint: the bytes
// are compared in full. The factors are those of splitmix64 and MurmurHash3.
func hashAnchor(raw []byte) uint32 {
	x := binary.LittleEndian.Uint64(raw) * 0x9e3779b97f4a7c15
	x = (x ^ binary.LittleEndian.Uint64(raw[8:])) * 0xff51afd7ed558ccd
	x = (x ^ binary.LittleEndian.Uint64(raw[16:])) * 0xc4ceb9fe1a85ec53
	return uint32(x >> 32)
}
