package delta

import (
	"encoding/binary"

	"dunlinwell/internal/base/errs"
)

// Edits are pairs: so many bytes that are new, then a run of the base's bytes,
// by where it begins and how long it is.

type editWriter struct {
	output     []byte
	inserted   []byte
	copyFrom   int
	copyLength int
}

// copy adds a run of the base's bytes.
func (w *editWriter) copy(from, n int) {
	if n == 0 {
		return
	}
	w.flushCopy()
	w.copyFrom, w.copyLength = from, n
}

// insert adds new bytes behind the runs so far.
func (w *editWriter) insert(raw []byte) {
	w.flushCopy()
	w.inserted = append(w.inserted, raw...)
}

// flushCopy writes the last run, with what was new before it.
func (w *editWriter) flushCopy() {
	if w.copyLength == 0 {
		return
	}
	w.writeEdit()
}

func (w *editWriter) writeEdit() {
	w.output = binary.AppendUvarint(w.output, uint64(len(w.inserted)))
	w.output = append(w.output, w.inserted...)
	w.output = binary.AppendUvarint(w.output, uint64(w.copyFrom))
	w.output = binary.AppendUvarint(w.output, uint64(w.copyLength))
	w.inserted, w.copyFrom, w.copyLength = nil, 0, 0
}

func (w *editWriter) flush() {
	if w.copyLength > 0 || len(w.inserted) > 0 {
		w.writeEdit()
	}
}

type editReader struct {
	remaining []byte
	malformed bool
}

func (r *editReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.remaining)
	if n <= 0 {
		r.malformed = true
		return 0
	}
	r.remaining = r.remaining[n:]
	return v
}

func (r *editReader) checksum() uint32 {
	if len(r.remaining) < 4 {
		r.malformed = true
		return 0
	}
	v := binary.BigEndian.Uint32(r.remaining)
	r.remaining = r.remaining[4:]
	return v
}

// maxLength bounds an outcome, as the wire bounds a value sent whole.
const maxLength = 96 << 20

// ErrCorrupt: a difference does not belong to its base, or is damaged.
var ErrCorrupt = errs.New("apply difference", "", "it is damaged")

// applyEdits builds the outcome, which is to be of a stated length; nothing is taken
// from beyond either string, and it has a bound.
func (r *editReader) applyEdits(base []byte, length uint64) ([]byte, error) {
	if length > maxLength {
		return nil, ErrCorrupt
	}
	next := make([]byte, 0, min(length, uint64(len(base)+len(r.remaining))))
	for len(r.remaining) > 0 {
		insert := r.uvarint()
		if r.malformed || insert > uint64(len(r.remaining)) {
			return nil, ErrCorrupt
		}
		next = append(next, r.remaining[:insert]...)
		r.remaining = r.remaining[insert:]
		from, run := r.uvarint(), r.uvarint()
		if r.malformed || from > uint64(len(base)) || run > uint64(len(base))-from || uint64(len(next))+run > length {
			return nil, ErrCorrupt
		}
		next = append(next, base[from:from+run]...)
	}
	if uint64(len(next)) != length {
		return nil, ErrCorrupt
	}
	return next, nil
}
