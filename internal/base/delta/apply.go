package delta

import (
	"encoding/binary"
	"errors"

	"dunlinwell/internal/base/errs"
)

// ErrWrongBase is returned by Apply when the delta was computed from a different base, or
// its header is malformed.
var ErrWrongBase = errors.New("delta does not match the base")

// ErrCorrupt is returned by Apply when the edits of a delta are malformed.
var ErrCorrupt = errors.New("corrupt delta")

// ErrChecksumMismatch is returned by Apply when the checksum of the result differs from
// the one in the delta.
var ErrChecksumMismatch = errors.New("checksum mismatch in the result")

// maxLength limits the result, so that a corrupt length can't cause a large allocation.
// It equals wire.MaxBodySize, the limit for a value that is sent in full.
const maxLength = 96 << 20

const (
	stepApply      = "apply delta"
	checksumLength = 4
)

// Apply returns the result of applying delta to base. The error is ErrWrongBase,
// ErrCorrupt or ErrChecksumMismatch.
func Apply(base, delta []byte) ([]byte, error) {
	r := editReader{remaining: delta}
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

// editReader parses a delta.
type editReader struct {
	remaining []byte
	// malformed is set after a failed read.
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

// applyEdits builds the result, which must have the given length. It returns false if an
// edit exceeds the bounds of the base, the delta or that length.
func (r *editReader) applyEdits(base []byte, length uint64) ([]byte, bool) {
	if length > maxLength {
		return nil, false
	}
	next := make([]byte, 0, min(length, uint64(len(base)+len(r.remaining))))
	for len(r.remaining) > 0 {
		insertLength := r.uvarint()
		if r.malformed || insertLength > uint64(len(r.remaining)) {
			return nil, false
		}
		next = append(next, r.remaining[:insertLength]...)
		r.remaining = r.remaining[insertLength:]
		copyOffset, copyLength := r.uvarint(), r.uvarint()
		if r.malformed || copyOffset > uint64(len(base)) || copyLength > uint64(len(base))-copyOffset || uint64(len(next))+copyLength > length {
			return nil, false
		}
		next = append(next, base[copyOffset:copyOffset+copyLength]...)
	}
	return next, uint64(len(next)) == length
}
