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
	// anchor is how many equal bytes tell that both strings go on alike.
	anchor = 24
	// firstWindow is how far ahead a common place is looked for at first.
	firstWindow = 4 << 10
)

var table = crc32.MakeTable(crc32.Castagnoli)

// Sum is the checksum by which a difference knows its base and its outcome.
func Sum(raw []byte) uint32 { return crc32.Checksum(raw, table) }

// Make gives the difference that leads from base to next. Its length goes by
// what differs, and not by how long the two are.
func Make(base, next []byte) []byte {
	w := writer{out: header(base, next)}
	from, to := 0, 0
	for to < len(next) {
		n := commonPrefix(base[from:], next[to:])
		w.copy(from, n)
		from, to = from+n, to+n
		if to == len(next) {
			break
		}
		skip, insert := resume(base[from:], next[to:])
		w.insert(next[to : to+insert])
		from, to = from+skip, to+insert
	}
	w.flush()
	return w.out
}

// header names the base and the outcome, by length and checksum.
func header(base, next []byte) []byte {
	out := binary.AppendUvarint(nil, uint64(len(base)))
	out = binary.BigEndian.AppendUint32(out, Sum(base))
	out = binary.AppendUvarint(out, uint64(len(next)))
	return binary.BigEndian.AppendUint32(out, Sum(next))
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

// resume finds where both strings go on alike: so many bytes of the base are
// left out and so many of the next are new. It looks ever further ahead.
func resume(base, next []byte) (skip, insert int) {
	for window := firstWindow; ; window *= 4 {
		a, b := base[:min(window, len(base))], next[:min(window, len(next))]
		if skip, insert, found := align(a, b); found {
			return skip, insert
		}
		if len(a) == len(base) && len(b) == len(next) {
			return len(base), len(next)
		}
	}
}

// align looks for the nearest place of b that also stands at an anchor of a: the
// one with the least left out and new together, as much of a policy is alike.
func align(a, b []byte) (skip, insert int, found bool) {
	places := make(map[uint32]int, len(a)/anchor)
	for at := 0; at+anchor <= len(a); at += anchor {
		// Of equal anchors the first is the nearest.
		h := hash(a[at:])
		if _, known := places[h]; !known {
			places[h] = at
		}
	}
	best := len(a) + len(b)
	for at := 0; at+anchor <= len(b) && at < best; at++ {
		place, known := places[hash(b[at:])]
		if !known || place+at >= best || !bytes.Equal(a[place:place+anchor], b[at:at+anchor]) {
			continue
		}
		back := 0
		for back < min(place, at) && a[place-back-1] == b[at-back-1] {
			back++
		}
		skip, insert, found, best = place-back, at-back, true, place+at
	}
	return skip, insert, found
}

// hash mixes the bytes of an anchor; whatever it gives is compared in full.
func hash(raw []byte) uint32 {
	x := binary.LittleEndian.Uint64(raw) * 0x9e3779b97f4a7c15
	x = (x ^ binary.LittleEndian.Uint64(raw[8:])) * 0xff51afd7ed558ccd
	x = (x ^ binary.LittleEndian.Uint64(raw[16:])) * 0xc4ceb9fe1a85ec53
	return uint32(x >> 32)
}

// Apply gives what a difference leads to from its base. A base that is not the
// one it was made from, or a difference that was damaged, is an error.
func Apply(base, difference []byte) ([]byte, error) {
	r := reader{raw: difference}
	baseLength, baseSum := r.number(), r.sum()
	length, sum := r.number(), r.sum()
	if r.bad || baseLength != uint64(len(base)) || baseSum != Sum(base) {
		return nil, errs.New("apply difference", "", "it is for another base")
	}
	next, err := r.edits(base, length)
	if err != nil {
		return nil, err
	}
	if Sum(next) != sum {
		return nil, errs.New("apply difference", "", "the outcome fails its checksum")
	}
	return next, nil
}
