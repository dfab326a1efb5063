// Package parcel packs what our processes say to one another: a fixed header
// and a body of encoding/binary fields, both with limits checked first.
package wire

import (
	"bytes"
	"encoding/binary"
	"io"
	"reflect"

	"dunlinwell/internal/base/errs"
)

const (
	// Version is the wire format spoken here. Bodies grow only at their end,
	// so a reader of any version takes what it knows and skips the rest.
	Version = 1
	// MaxBodySize bounds a frame, the largest of which is a whole configuration; it is
	// checked before anything is allocated.
	MaxBodySize = 96 << 20
	// initialBodyBuffer is what a frame gets before its bytes are there.
	initialBodyBuffer = 1 << 20
	magic             = 0x6477
)

// Kind tells what message a frame holds.
type Kind uint16

// Head stands before every body.
type Header struct {
	Magic   uint16
	Version uint8
	Flags   uint8
	Kind    Kind
	Length  uint32
	Epoch   uint64
	Number  uint64
}

const headerSize = 26

var (
	typesByKind = map[Kind]reflect.Type{}
	kindsByType = map[reflect.Type]Kind{}
)

// Register ties a message type to its kind. Slices call it for their own
// messages as the program starts; a kind taken twice is a mistake in the code.
func Register(k Kind, msg any) bool {
	t := reflect.TypeOf(msg)
	if _, used := typesByKind[k]; used {
		panic("parcel: kind taken twice: " + t.String())
	}
	typesByKind[k], kindsByType[t] = t, k
	return true
}

// Name gives the kind's message type; empty for one that is not known here.
func (k Kind) Name() string {
	if t, ok := typesByKind[k]; ok {
		return t.String()
	}
	return ""
}

// KindOfMessage gives the kind that a message goes as; 0 for none.
func KindOfMessage(msg any) Kind { return kindsByType[reflect.TypeOf(msg)] }

// KindOfFrame gives the kind of a packed frame.
func KindOfFrame(frame []byte) Kind {
	if len(frame) < headerSize {
		return 0
	}
	return Kind(binary.BigEndian.Uint16(frame[4:]))
}

// Size is the length of the whole frame.
func (h Header) Size() int { return headerSize + int(h.Length) }

// FrameSize tells how long the frame is that some bytes begin with.
func FrameSize(raw []byte) (int, error) {
	var h Header
	if len(raw) < headerSize {
		return 0, errs.New("read head", "", "cut short")
	}
	if _, err := binary.Decode(raw[:headerSize], binary.BigEndian, &h); err != nil || h.Magic != magic || h.Length > MaxBodySize {
		return 0, errs.New("read head", "", "malformed frame")
	}
	return h.Size(), nil
}

// Epoched is met by messages sent under a duty's epoch.
type Epoched interface{ MessageEpoch() uint64 }

// Numbered is met by messages that count along a connection.
type Numbered interface{ MessageNumber() uint64 }

// Pack makes a frame of a message.
func Encode(msg any) ([]byte, error) {
	k, ok := kindsByType[reflect.TypeOf(msg)]
	if !ok {
		return nil, errs.New("pack", "", "no kind for %T", msg)
	}
	var buf bytes.Buffer
	buf.Write(make([]byte, headerSize))
	if err := encodeValue(&buf, reflect.ValueOf(msg)); err != nil {
		return nil, errs.Wrap(err, "pack", "")
	}
	h := Header{Magic: magic, Version: Version, Kind: k, Length: uint32(buf.Len() - headerSize)}
	if h.Length > MaxBodySize {
		return nil, errs.New("pack", "", "%T of %d bytes is over the limit", msg, h.Length)
	}
	if e, ok := msg.(Epoched); ok {
		h.Epoch = e.MessageEpoch()
	}
	if n, ok := msg.(Numbered); ok {
		h.Number = n.MessageNumber()
	}
	out := buf.Bytes()
	if _, err := binary.Encode(out[:headerSize], binary.BigEndian, &h); err != nil {
		return nil, errs.Wrap(err, "pack head", "")
	}
	return out, nil
}

// Read takes one frame. A message of an unknown kind comes back nil without
// an error: a newer peer may say things that we don't know yet.
func Read(r io.Reader) (Header, any, error) {
	var raw [headerSize]byte
	var h Header
	if _, err := io.ReadFull(r, raw[:]); err != nil {
		return h, nil, errs.Wrap(err, "read head", "")
	}
	if _, err := binary.Decode(raw[:], binary.BigEndian, &h); err != nil {
		return h, nil, errs.Wrap(err, "read head", "")
	}
	// Bounds first: a bad length must not cost memory.
	if h.Magic != magic || h.Length > MaxBodySize || h.Version == 0 {
		return h, nil, errs.New("read head", "", "malformed frame: magic %x version %d length %d", h.Magic, h.Version, h.Length)
	}
	body, err := readBody(r, int(h.Length))
	if err != nil {
		return h, nil, errs.Wrap(err, "read body", "")
	}
	if h.Flags == flagDeflated {
		if body, err = inflate(body); err != nil {
			return h, nil, errs.Wrap(err, "read body", "")
		}
	}
	msg, err := Decode(h.Kind, body)
	return h, msg, err
}

// readBody reads a body, which grows only as its bytes come.
func readBody(r io.Reader, length int) ([]byte, error) {
	body := make([]byte, min(length, initialBodyBuffer))
	_, err := io.ReadFull(r, body)
	for err == nil && len(body) < length {
		have := len(body)
		body = append(body, make([]byte, min(have, length-have))...)
		_, err = io.ReadFull(r, body[have:])
	}
	return body, err
}

// ReadBytes takes a frame that is already in hand, as on disk.
func ReadBytes(raw []byte) (Header, any, error) { return Read(bytes.NewReader(raw)) }

// Open unpacks a body; nil for a kind that is not known here.
func Decode(k Kind, body []byte) (any, error) {
	t, ok := typesByKind[k]
	if !ok {
		return nil, nil
	}
	v := reflect.New(t).Elem()
	if err := decodeValue(bytes.NewReader(body), v); err != nil {
		return nil, errs.Wrap(err, "unpack "+t.String(), "")
	}
	return v.Interface(), nil
}
