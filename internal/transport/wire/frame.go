package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"reflect"

	"dunlinwell/internal/base/errs"
)

// ErrUnregisteredType is returned by Encode for a message whose type isn't registered.
var ErrUnregisteredType = errors.New("unregistered message type")

// initialBodyBuffer is the maximum size of the buffer that is allocated for a body before
// its bytes arrive. The buffer of a larger body grows as the bytes arrive.
const initialBodyBuffer = 1 << 20

// Steps in errors of this package.
const (
	stepEncode     = "encode message"
	stepReadHeader = "read header"
	stepReadBody   = "read body"
)

// Epoched is implemented by messages that carry the fencing token (epoch) of a
// singleton role.
type Epoched interface{ MessageEpoch() uint64 }

// Numbered is implemented by messages that carry a sequence number (ids.StreamNumber).
type Numbered interface{ MessageNumber() uint64 }

// Encode returns the frame of a message. The error is ErrUnregisteredType, ErrFrameTooLarge
// or ErrUnsupportedType.
func Encode(message any) ([]byte, error) {
	kind, known := kindsByType[reflect.TypeOf(message)]
	if !known {
		return nil, errs.New(stepEncode, "", "%w: %T", ErrUnregisteredType, message)
	}
	var buffer bytes.Buffer
	buffer.Write(make([]byte, headerSize))
	if err := encodeValue(&buffer, reflect.ValueOf(message)); err != nil {
		return nil, errs.Wrap(err, stepEncode, "")
	}
	h := Header{Magic: magic, Version: Version, Kind: kind, Length: uint32(buffer.Len() - headerSize)}
	if h.Length > MaxBodySize {
		return nil, errs.New(stepEncode, "", "%w: %T of %d bytes", ErrFrameTooLarge, message, h.Length)
	}
	if e, ok := message.(Epoched); ok {
		h.Epoch = e.MessageEpoch()
	}
	if n, ok := message.(Numbered); ok {
		h.Number = n.MessageNumber()
	}
	frame := buffer.Bytes()
	if _, err := binary.Encode(frame[:headerSize], binary.BigEndian, &h); err != nil {
		return nil, errs.Wrap(err, "encode header", "")
	}
	return frame, nil
}

// Read reads one frame. The message is nil, without an error, if its kind is unknown, as it
// may come from a peer of a newer version. The error is ErrMalformedFrame, ErrFrameTooLarge,
// ErrBodyTooShort or one of the reader. With an error, the header may be incomplete.
func Read(r io.Reader) (Header, any, error) {
	var raw [headerSize]byte
	var h Header
	if _, err := io.ReadFull(r, raw[:]); err != nil {
		return h, nil, errs.Wrap(err, stepReadHeader, "")
	}
	if _, err := binary.Decode(raw[:], binary.BigEndian, &h); err != nil {
		return h, nil, errs.Wrap(err, stepReadHeader, "")
	}
	if err := h.validate(); err != nil {
		return h, nil, err
	}
	if h.Version == 0 {
		return h, nil, errs.New(stepReadHeader, "", "%w: version 0", ErrMalformedFrame)
	}
	body, err := readBody(r, int(h.Length))
	if err == nil && h.Flags == flagDeflated {
		body, err = inflate(body)
	}
	if err != nil {
		return h, nil, errs.Wrap(err, stepReadBody, "")
	}
	message, err := Decode(h.Kind, body)
	return h, message, err
}

// readBody reads a body into a buffer that grows as the bytes arrive.
func readBody(r io.Reader, length int) ([]byte, error) {
	body := make([]byte, min(length, initialBodyBuffer))
	_, err := io.ReadFull(r, body)
	for err == nil && len(body) < length {
		read := len(body)
		body = append(body, make([]byte, min(read, length-read))...)
		_, err = io.ReadFull(r, body[read:])
	}
	return body, err
}

// ReadBytes reads a frame from memory, such as a record from disk.
func ReadBytes(raw []byte) (Header, any, error) { return Read(bytes.NewReader(raw)) }

// Decode decodes the body of a message. The message is nil if the kind is unknown.
func Decode(kind Kind, body []byte) (any, error) {
	t, known := typesByKind[kind]
	if !known {
		return nil, nil
	}
	v := reflect.New(t).Elem()
	if err := decodeValue(bytes.NewReader(body), v); err != nil {
		return nil, errs.Wrap(err, "decode "+t.String(), "")
	}
	return v.Interface(), nil
}
