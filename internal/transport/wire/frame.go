package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"reflect"

	"dunlinwell/internal/base/errs"
)

// ErrUnregisteredType is returned by Encode for a message whose type has no kind.
var ErrUnregisteredType = errors.New("no kind is registered for the type")

// initialBodyBuffer is how much is allocated for a body before its bytes arrive. A
// larger body grows as it arrives.
const initialBodyBuffer = 1 << 20

// The steps that errors of this package name.
const (
	stepEncode     = "encode message"
	stepReadHeader = "read header"
	stepReadBody   = "read body"
)

// Epoched is implemented by messages that carry the fencing token (epoch) of a
// singleton role.
type Epoched interface{ MessageEpoch() uint64 }

// Numbered is implemented by messages that are counted along a connection.
type Numbered interface{ MessageNumber() uint64 }

// Encode makes a frame of a message. The error is ErrUnregisteredType,
// ErrFrameTooLarge or ErrUnsupportedType.
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

// Read reads one frame. A message of an unknown kind is nil without an error, as a
// newer peer may send what this version doesn't know. The errors are those of the
// reader, ErrMalformedFrame, ErrFrameTooLarge and ErrBodyTooShort; the header is
// as far as it was read.
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

// readBody reads a body into memory that grows only as its bytes arrive.
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

// ReadBytes reads a frame that is in memory, such as a record from disk.
func ReadBytes(raw []byte) (Header, any, error) { return Read(bytes.NewReader(raw)) }

// Decode reads the body of a message of a kind; the message is nil if the kind is
// unknown.
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
