// Package delta gives the difference between two byte strings, and the second
// string again from the first and the difference. It knows nothing of what the
// bytes mean, so whoever applies a difference ends with the very same bytes.
package delta

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"dunlinwell/internal/base/errs"
)

const (
	// anchorLength is how many equal bytes tell that both strings go on alike.
	anchorLength = 24
	// initialWindow is how far ahead a common place is looked for at first.
	initialWindow = 4 << 10
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum is the checksum by which a difference knows its base and its outcome.
func Checksum(raw []byte) uint32 { return crc32.Checksum(raw, castagnoli) }

// Diff gives the difference that leads from base to next. Its length goes by
// what differs, and not by how long the two are.
func Diff(base, next []byte) []byte {
	w := editWriter{output: header(base, next)}
	from, to := 0, 0
	for to < len(next) {
		n := commonPrefix(base[from:], next[to:])
		w.copy(from, n)
		from, to = from+n, to+n
		if to == len(next) {
			break
		}
		skip, insert := nextCommonPlace(base[from:], next[to:])
		w.insert(next[to : to+insert])
		from, to = from+skip, to+insert
	}
	w.flush()
	return w.output
}

// header names the base and the outcome, by length and checksum.
func header(base, next []byte) []byte {
	out := binary.AppendUvarint(nil, uint64(len(base)))
	out = binary.BigEndian.AppendUint32(out, Checksum(base))
	out = binary.AppendUvarint(out, uint64(len(next)))
	return binary.BigEndian.AppendUint32(out, Checksum(next))
}

func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	// Long runs are compared by the machine's own means.
	const step = 4096
	at := 0
	for at+step <= n && bytes.Equal(a[at:at+step], b[at:at+step]) {
		at += step
	}
	for at < n && a[at] == b[at] {
		at++
	}
	return at
}

// nextCommonPlace finds where both strings go on alike: so many bytes of the base are
// left out and so many of the next are new. It looks ever further ahead.
func nextCommonPlace(base, next []byte) (skip, insert int) {
	for window := initialWindow; ; window *= 4 {
		a, b := base[:min(window, len(base))], next[:min(window, len(next))]
		if skip, insert, found := nearestCommonAnchor(a, b); found {
			return skip, insert
		}
		if len(a) == len(base) && len(b) == len(next) {
			return len(base), len(next)
		}
	}
}

// nearestCommonAnchor looks for the nearest place of b that also stands at an anchor of a: the
// one with the least left out and new together, as much of a configuration is alike.
func nearestCommonAnchor(a, b []byte) (skip, insert int, found bool) {
	positions := make(map[uint32]int, len(a)/anchorLength)
	for offset := 0; offset+anchorLength <= len(a); offset += anchorLength {
		// Of equal anchors the first is the nearest.
		h := hashAnchor(a[offset:])
		if _, known := positions[h]; !known {
			positions[h] = offset
		}
	}
	bestDistance := len(a) + len(b)
	for offset := 0; offset+anchorLength <= len(b) && offset < bestDistance; offset++ {
		position, known := positions[hashAnchor(b[offset:])]
		if !known || position+offset >= bestDistance || !bytes.Equal(a[position:position+anchorLength], b[offset:offset+anchorLength]) {
			continue
		}
		extension := 0
		for extension < min(position, offset) && a[position-extension-1] == b[offset-extension-1] {
			extension++
		}
		skip, insert, found, bestDistance = position-extension, offset-extension, true, position+offset
	}
	return skip, insert, found
}

// hashAnchor mixes the bytes of an anchor; whatever it gives is compared in full.
func hashAnchor(raw []byte) uint32 {
	x := binary.LittleEndian.Uint64(raw) * 0x9e3779b97f4a7c15
	x = (x ^ binary.LittleEndian.Uint64(raw[8:])) * 0xff51afd7ed558ccd
	x = (x ^ binary.LittleEndian.Uint64(raw[16:])) * 0xc4ceb9fe1a85ec53
	return uint32(x >> 32)
}

// Apply gives what a difference leads to from its base. A base that is not the
// one it was made from, or a difference that was damaged, is an error.
func Apply(base, difference []byte) ([]byte, error) {
	r := editReader{remaining: difference}
	baseLength, baseSum := r.uvarint(), r.checksum()
	length, sum := r.uvarint(), r.checksum()
	if r.malformed || baseLength != uint64(len(base)) || baseSum != Checksum(base) {
		return nil, errs.New("apply difference", "", "it is for another base")
	}
	next, err := r.applyEdits(base, length)
	if err != nil {
		return nil, err
	}
	if Checksum(next) != sum {
		return nil, errs.New("apply difference", "", "the outcome fails its checksum")
	}
	return next, nil
}
