package delta

import (
	"encoding/binary"

	"dunlinwell/internal/base/errs"
)

// Edits are pairs: so many bytes that are new, then a run of the base's bytes,
// by where it begins and how long it is.

type writer struct {
	out  []byte
	new  []byte
	from int
	run  int
}

// copy adds a run of the base's bytes.
func (w *writer) copy(from, n int) {
	if n == 0 {
		return
	}
	w.flushRun()
	w.from, w.run = from, n
}

// insert adds new bytes behind the runs so far.
func (w *writer) insert(raw []byte) {
	w.flushRun()
	w.new = append(w.new, raw...)
}

// flushRun writes the last run, with what was new before it.
func (w *writer) flushRun() {
	if w.run == 0 {
		return
	}
	w.pair()
}

func (w *writer) pair() {
	w.out = binary.AppendUvarint(w.out, uint64(len(w.new)))
	w.out = append(w.out, w.new...)
	w.out = binary.AppendUvarint(w.out, uint64(w.from))
	w.out = binary.AppendUvarint(w.out, uint64(w.run))
	w.new, w.from, w.run = nil, 0, 0
}

func (w *writer) flush() {
	if w.run > 0 || len(w.new) > 0 {
		w.pair()
	}
}

type reader struct {
	raw []byte
	bad bool
}

func (r *reader) number() uint64 {
	v, n := binary.Uvarint(r.raw)
	if n <= 0 {
		r.bad = true
		return 0
	}
	r.raw = r.raw[n:]
	return v
}

func (r *reader) sum() uint32 {
	if len(r.raw) < 4 {
		r.bad = true
		return 0
	}
	v := binary.BigEndian.Uint32(r.raw)
	r.raw = r.raw[4:]
	return v
}

// mostLength bounds an outcome, as the wire bounds a value sent whole.
const mostLength = 96 << 20

var errDamaged = errs.New("apply difference", "", "it is damaged")

// edits builds the outcome, which is to be of a stated length; nothing is taken
// from beyond either string, and it has a bound.
func (r *reader) edits(base []byte, length uint64) ([]byte, error) {
	if length > mostLength {
		return nil, errDamaged
	}
	next := make([]byte, 0, min(length, uint64(len(base)+len(r.raw))))
	for len(r.raw) > 0 {
		insert := r.number()
		if r.bad || insert > uint64(len(r.raw)) {
			return nil, errDamaged
		}
		next = append(next, r.raw[:insert]...)
		r.raw = r.raw[insert:]
		from, run := r.number(), r.number()
		if r.bad || from > uint64(len(base)) || run > uint64(len(base))-from || uint64(len(next))+run > length {
			return nil, errDamaged
		}
		next = append(next, base[from:from+run]...)
	}
	if uint64(len(next)) != length {
		return nil, errDamaged
	}
	return next, nil
}
