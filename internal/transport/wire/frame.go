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
	// MaxBody bounds a frame, the largest of which is a whole policy; it is
	// checked before anything is allocated.
	MaxBody = 96 << 20
	// firstRoom is what a frame gets before its bytes are there.
	firstRoom = 1 << 20
	magic     = 0x6477
)

// Kind tells what message a frame holds.
type Kind uint16

// Head stands before every body.
type Header struct {
	Magic   uint16
	Version uint8
	Spare   uint8
	Kind    Kind
	Length  uint32
	Epoch   uint64
	Number  uint64
}

const headSize = 26

var (
	kinds = map[Kind]reflect.Type{}
	names = map[reflect.Type]Kind{}
)

// Register ties a message type to its kind. Slices call it for their own
// messages as the program starts; a kind taken twice is a mistake in the code.
func Register(k Kind, msg any) bool {
	t := reflect.TypeOf(msg)
	if _, used := kinds[k]; used {
		panic("parcel: kind taken twice: " + t.String())
	}
	kinds[k], names[t] = t, k
	return true
}

// Name gives the kind's message type; empty for one that is not known here.
func (k Kind) Name() string {
	if t, ok := kinds[k]; ok {
		return t.String()
	}
	return ""
}

// KindFor gives the kind that a message goes as; 0 for none.
func KindFor(msg any) Kind { return names[reflect.TypeOf(msg)] }

// KindOf gives the kind of a packed frame.
func KindOf(frame []byte) Kind {
	if len(frame) < headSize {
		return 0
	}
	return Kind(binary.BigEndian.Uint16(frame[4:]))
}

// Size is the length of the whole frame.
func (h Header) Size() int { return headSize + int(h.Length) }

// FrameSize tells how long the frame is that some bytes begin with.
func FrameSize(raw []byte) (int, error) {
	var h Header
	if len(raw) < headSize {
		return 0, errs.New("read head", "", "cut short")
	}
	if _, err := binary.Decode(raw[:headSize], binary.BigEndian, &h); err != nil || h.Magic != magic || h.Length > MaxBody {
		return 0, errs.New("read head", "", "malformed frame")
	}
	return h.Size(), nil
}

// Epoched is met by messages sent under a duty's epoch.
type Epoched interface{ UnderEpoch() uint64 }

// Numbered is met by messages that count along a connection.
type Numbered interface{ CountedAs() uint64 }

// Pack makes a frame of a message.
func Encode(msg any) ([]byte, error) {
	k, ok := names[reflect.TypeOf(msg)]
	if !ok {
		return nil, errs.New("pack", "", "no kind for %T", msg)
	}
	var buf bytes.Buffer
	buf.Write(make([]byte, headSize))
	if err := put(&buf, reflect.ValueOf(msg)); err != nil {
		return nil, errs.Wrap(err, "pack", "")
	}
	h := Header{Magic: magic, Version: Version, Kind: k, Length: uint32(buf.Len() - headSize)}
	if h.Length > MaxBody {
		return nil, errs.New("pack", "", "%T of %d bytes is over the limit", msg, h.Length)
	}
	if e, ok := msg.(Epoched); ok {
		h.Epoch = e.UnderEpoch()
	}
	if n, ok := msg.(Numbered); ok {
		h.Number = n.CountedAs()
	}
	out := buf.Bytes()
	if _, err := binary.Encode(out[:headSize], binary.BigEndian, &h); err != nil {
		return nil, errs.Wrap(err, "pack head", "")
	}
	return out, nil
}

// Read takes one frame. A message of an unknown kind comes back nil without
// an error: a newer peer may say things that we don't know yet.
func Read(r io.Reader) (Header, any, error) {
	var raw [headSize]byte
	var h Header
	if _, err := io.ReadFull(r, raw[:]); err != nil {
		return h, nil, errs.Wrap(err, "read head", "")
	}
	if _, err := binary.Decode(raw[:], binary.BigEndian, &h); err != nil {
		return h, nil, errs.Wrap(err, "read head", "")
	}
	// Bounds first: a bad length must not cost memory.
	if h.Magic != magic || h.Length > MaxBody || h.Version == 0 {
		return h, nil, errs.New("read head", "", "malformed frame: magic %x version %d length %d", h.Magic, h.Version, h.Length)
	}
	body, err := take(r, int(h.Length))
	if err != nil {
		return h, nil, errs.Wrap(err, "read body", "")
	}
	if h.Spare == deflated {
		if body, err = inflate(body); err != nil {
			return h, nil, errs.Wrap(err, "read body", "")
		}
	}
	msg, err := Decode(h.Kind, body)
	return h, msg, err
}

// take reads a body, which grows only as its bytes come.
func take(r io.Reader, length int) ([]byte, error) {
	body := make([]byte, min(length, firstRoom))
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
	t, ok := kinds[k]
	if !ok {
		return nil, nil
	}
	v := reflect.New(t).Elem()
	if err := get(bytes.NewReader(body), v); err != nil {
		return nil, errs.Wrap(err, "unpack "+t.String(), "")
	}
	return v.Interface(), nil
}
