package wire

import (
	"encoding/binary"
	"errors"

	"dunlinwell/internal/base/errs"
)

// ErrMalformedFrame is returned for bytes that aren't a frame: too few, or with
// another magic number or an impossible version.
var ErrMalformedFrame = errors.New("malformed frame")

// ErrFrameTooLarge is returned when a body is larger than MaxBodySize, or claims to
// be.
var ErrFrameTooLarge = errors.New("frame over the size limit")

const (
	// Version is the version of the format. It changes only with one that today's
	// readers can't read; fields added to a message don't change it.
	Version = 1
	// MaxBodySize bounds a body, in bytes. The largest is a whole configuration.
	MaxBodySize = 96 << 20

	magic = 0x6477
)

// Header stands before every body.
type Header struct {
	Magic   uint16
	Version uint8
	// Flags is 0 or flagDeflated.
	Flags uint8
	Kind  Kind
	// Length is that of the body, in bytes.
	Length uint32
	// Epoch is that of an Epoched message, else 0.
	Epoch uint64
	// Number is that of a Numbered message, else 0.
	Number uint64
}

// The header's size and the places of some of its fields, in bytes.
const (
	headerSize   = 26
	flagsOffset  = 3
	kindOffset   = 4
	lengthOffset = 6
)

// Size gives the length of the whole frame, in bytes.
func (h Header) Size() int { return headerSize + int(h.Length) }

// FrameSize gives the length of the frame with which raw begins, in bytes. The error
// is ErrMalformedFrame or ErrFrameTooLarge.
func FrameSize(raw []byte) (int, error) {
	if len(raw) < headerSize {
		return 0, errs.New(stepReadHeader, "", "%w: cut short", ErrMalformedFrame)
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

// validate checks the magic number and the length, before the length costs memory.
func (h Header) validate() error {
	if h.Magic != magic {
		return errs.New(stepReadHeader, "", "%w: magic %x version %d length %d", ErrMalformedFrame, h.Magic, h.Version, h.Length)
	}
	if h.Length > MaxBodySize {
		return errs.New(stepReadHeader, "", "%w: length %d", ErrFrameTooLarge, h.Length)
	}
	return nil
}
