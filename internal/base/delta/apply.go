package delta

import (
	"encoding/binary"
	"errors"

	"dunlinwell/internal/base/errs"
)

// ErrWrongBase is returned by Apply when the difference was made from another base,
// or names none that can be read.
var ErrWrongBase = errors.New("it is for another base")

// ErrCorrupt is returned by Apply when the edits of a difference are damaged.
var ErrCorrupt = errors.New("it is damaged")

// ErrChecksumMismatch is returned by Apply when the result isn't the string that
// the difference was made for.
var ErrChecksumMismatch = errors.New("the outcome fails its checksum")

// maxLength bounds a result, as the wire bounds a value that is sent whole
// (wire.MaxBodySize), so that a damaged length costs no memory.
const maxLength = 96 << 20

const (
	stepApply      = "apply difference"
	checksumLength = 4
)

// Apply gives the string that a difference leads to from its base. The error is
// ErrWrongBase, ErrCorrupt or ErrChecksumMismatch.
func Apply(base, difference []byte) ([]byte, error) {
	r := editReader{remaining: difference}
	baseLength, baseChecksum := r.uvarint(), r.checksum()
	length, checksum := r.uvarint(), r.checksum()
	if r.malformed || baseLength != uint64(len(base)) || baseChecksum != Checksum(base) {
		return nil, errs.Wrap(ErrWrongBase, stepApply, "")
	}
	next, ok := r.applyEdits(base, length)
	if !ok {
		return nil, errs.Wrap(ErrCorrupt, stepApply, "")
	}
	if Checksum(next) != checksum {
		return nil, errs.Wrap(ErrChecksumMismatch, stepApply, "")
	}
	return next, nil
}

// editReader reads a difference from its front.
type editReader struct {
	remaining []byte
	// malformed is set once something couldn't be read.
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
	if len(r.remaining) < checksumLength {
		r.malformed = true
		return 0
	}
	v := binary.BigEndian.Uint32(r.remaining)
	r.remaining = r.remaining[checksumLength:]
	return v
}

// applyEdits builds the result, which must have the given length. It reports false
// for edits that reach beyond the base, the difference or that length.
func (r *editReader) applyEdits(base []byte, length uint64) ([]byte, bool) {
	if length > maxLength {
		return nil, false
	}
	next := make([]byte, 0, min(length, uint64(len(base)+len(r.remaining))))
	for len(r.remaining) > 0 {
		insert := r.uvarint()
		if r.malformed || insert > uint64(len(r.remaining)) {
			return nil, false
		}
		next = append(next, r.remaining[:insert]...)
		r.remaining = r.remaining[insert:]
		from, run := r.uvarint(), r.uvarint()
		if r.malformed || from > uint64(len(base)) || run > uint64(len(base))-from || uint64(len(next))+run > length {
			return nil, false
		}
		next = append(next, base[from:from+run]...)
	}
	return next, uint64(len(next)) == length
}
