package delta

import "encoding/binary"

// editWriter writes edits: each some new bytes, then a run of the base's bytes. It
// holds one edit back, which further new bytes begin.
type editWriter struct {
	output []byte
	// inserted are the new bytes of the edit that is held back.
	inserted []byte
	// copyFrom and copyLength are its run of the base's bytes; no run if the length
	// is 0.
	copyFrom   int
	copyLength int
}

// copy adds a run of the base's bytes.
func (w *editWriter) copy(from, length int) {
	if length == 0 {
		return
	}
	w.flushCopy()
	w.copyFrom, w.copyLength = from, length
}

// insert adds new bytes.
func (w *editWriter) insert(raw []byte) {
	w.flushCopy()
	w.inserted = append(w.inserted, raw...)
}

// flushCopy writes the edit that is held back if it has its run already.
func (w *editWriter) flushCopy() {
	if w.copyLength > 0 {
		w.writeEdit()
	}
}

// flush writes the edit that is held back, if any.
func (w *editWriter) flush() {
	if w.copyLength > 0 || len(w.inserted) > 0 {
		w.writeEdit()
	}
}

func (w *editWriter) writeEdit() {
	w.output = binary.AppendUvarint(w.output, uint64(len(w.inserted)))
	w.output = append(w.output, w.inserted...)
	w.output = binary.AppendUvarint(w.output, uint64(w.copyFrom))
	w.output = binary.AppendUvarint(w.output, uint64(w.copyLength))
	w.inserted, w.copyFrom, w.copyLength = nil, 0, 0
}
