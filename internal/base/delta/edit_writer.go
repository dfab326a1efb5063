package delta

import "encoding/binary"

// editWriter writes edits. Each edit inserts bytes and then copies bytes from the base.
// The last edit stays pending until it is known to be complete.
type editWriter struct {
	output []byte
	// inserted holds the bytes to insert of the pending edit.
	inserted []byte
	// copyOffset and copyLength are the range of the base that the pending edit copies.
	// The length is 0 if it copies nothing so far.
	copyOffset int
	copyLength int
}

// copy copies length bytes of the base, from an offset.
func (w *editWriter) copy(offset, length int) {
	if length == 0 {
		return
	}
	w.flushCopy()
	w.copyOffset, w.copyLength = offset, length
}

// insert inserts bytes that aren't in the base.
func (w *editWriter) insert(raw []byte) {
	w.flushCopy()
	w.inserted = append(w.inserted, raw...)
}

// flushCopy writes the pending edit if it copies bytes, as it is complete then.
func (w *editWriter) flushCopy() {
	if w.copyLength > 0 {
		w.writeEdit()
	}
}

// flush writes the pending edit, if any.
func (w *editWriter) flush() {
	if w.copyLength > 0 || len(w.inserted) > 0 {
		w.writeEdit()
	}
}

func (w *editWriter) writeEdit() {
	w.output = binary.AppendUvarint(w.output, uint64(len(w.inserted)))
	w.output = append(w.output, w.inserted...)
	w.output = binary.AppendUvarint(w.output, uint64(w.copyOffset))
	w.output = binary.AppendUvarint(w.output, uint64(w.copyLength))
	w.inserted, w.copyOffset, w.copyLength = nil, 0, 0
}
