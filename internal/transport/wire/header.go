package wire

import (
	"encoding/binary"
	"errors"

	"dunlinwell/internal/base/errs"
)

// ErrMalformedFrame is returned for a frame that is shorter than a header, or that has a
// wrong magic number or an invalid version.
var ErrMalformedFrame = errors.New("malformed frame")

// ErrFrameTooLarge is returned when a body, or the length in a header, exceeds MaxBodySize.
var ErrFrameTooLarge = errors.New("frame exceeds the size limit")

const (
	// Version is the version of the format. It changes only if existing readers can't read
	// the new format, so not for fields that are added to a message.
	Version = 1
	// MaxBodySize is the maximum size of a body, in bytes. The largest bodies hold a whole
	// configuration.
	MaxBodySize = 96 << 20

	magic = 0x6477
)

// Header is the fixed-size header of a frame.
type Header struct {
	Magic   uint16
	Version uint8
	// Flags is 0 or flagDeflated.
	Flags uint8
	Kind  Kind
	// Length is the length of the body, in bytes.
	Length uint32
	// Epoch is the epoch of an Epoched message, otherwise 0.
	Epoch uint64
	// Number is the sequence number of a Numbered message, otherwise 0.
	Number uint64
}

// Size of the header and offsets of some of its fields, in bytes.
const (
	headerSize   = 26
	flagsOffset  = 3
	kindOffset   = 4
	lengthOffset = 6
)

// Size returns the length of the whole frame, in bytes.
func (h Header) Size() int { return headerSize + int(h.Length) }

// FrameSize returns the length, in bytes, of the frame at the beginning of raw. The error is
// ErrMalformedFrame or ErrFrameTooLarge.
func FrameSize(raw []byte) (int, error) {
	if len(raw) < headerSize {
		return 0, errs.New(stepReadHeader, "", "%w: shorter than a header", ErrMalformedFrame)
	}
	var h Header
	if _, err := binary.Decode(raw[:headerSize], binary.BigEndian, &h); err != nil {
		return 0, errs.Wrap(err, stepReadHeader, "")
	}
	if err := h.validate(); err != nil {
		return 0, err
	}
	return h.Size(), nil
}

// validate checks the magic number and the length, before memory is allocated for the body.
func (h Header) validate() error {
	if h.Magic != magic {
		return errs.New(stepReadHeader, "", "%w: magic %x version %d length %d", ErrMalformedFrame, h.Magic, h.Version, h.Length)
	}
	if h.Length > MaxBodySize {
		return errs.New(stepReadHeader, "", "%w: length %d", ErrFrameTooLarge, h.Length)
	}
	return nil
}
