package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"reflect"
	"testing"

	"github.com/matryer/is"
)

type oldPart struct{ Name string }

type newPart struct {
	Name string
	Size uint32
}

type oldMessage struct{ List []oldPart }

type newMessage struct {
	List  []newPart
	Extra []byte
	Share float64
}

var _ = Register(900, oldMessage{}) && Register(901, newMessage{})

// During a rolling restart, fields added by a newer version must be skipped, and fields
// missing from an older version must be zero.
func TestDecode_AcceptsOlderAndNewerVersions(t *testing.T) {
	is := is.New(t)
	raw, err := Encode(newMessage{List: []newPart{{"a", 7}, {"b", 8}}, Extra: []byte("x"), Share: 0.5})
	is.NoErr(err)
	msg, err := Decode(900, raw[headerSize:])
	is.NoErr(err)
	is.Equal(msg, oldMessage{List: []oldPart{{"a"}, {"b"}}})
	raw, err = Encode(oldMessage{List: []oldPart{{"c"}}})
	is.NoErr(err)
	msg, err = Decode(901, raw[headerSize:])
	is.NoErr(err)
	is.Equal(msg, newMessage{List: []newPart{{"c", 0}}})
}

// A message of an unknown kind must not cause an error or affect the next frame.
func TestRead_SkipsUnknownKinds(t *testing.T) {
	is := is.New(t)
	raw, err := Encode(oldMessage{List: []oldPart{{"c"}}})
	is.NoErr(err)
	binary.BigEndian.PutUint16(raw[4:], 999)
	good, err := Encode(oldMessage{})
	is.NoErr(err)
	r := bytes.NewReader(append(raw, good...))
	_, msg, err := Read(r)
	is.NoErr(err)
	is.Equal(msg, nil)
	_, msg, err = Read(r)
	is.NoErr(err)
	is.Equal(msg, oldMessage{})
}

// A malformed frame must cause an error.
func TestRead_RejectsMalformedFrames(t *testing.T) {
	good, err := Encode(newMessage{List: []newPart{{"a", 7}}, Extra: []byte("xyz")})
	is.New(t).NoErr(err)
	for name, c := range map[string]struct {
		damage func(frame []byte)
		want   error
	}{
		"length too large":     {func(frame []byte) { binary.BigEndian.PutUint32(frame[6:], MaxBodySize+1) }, ErrFrameTooLarge},
		"wrong magic":          {func(frame []byte) { frame[0] = 0 }, ErrMalformedFrame},
		"version 0":            {func(frame []byte) { frame[2] = 0 }, ErrMalformedFrame},
		"list count too large": {func(frame []byte) { binary.BigEndian.PutUint32(frame[headerSize+4:], 0xffffffff) }, ErrBodyTooShort},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			frame := bytes.Clone(good)
			c.damage(frame)
			_, _, err := Read(bytes.NewReader(frame))
			is.True(errors.Is(err, c.want))
		})
	}
	t.Run("truncated at any byte", func(t *testing.T) {
		is := is.New(t)
		for cut := range good {
			_, _, err := Read(bytes.NewReader(good[:cut]))
			is.True(err != nil)
		}
	})
}

func TestFrameSize(t *testing.T) {
	is := is.New(t)
	frame, err := Encode(oldMessage{})
	is.NoErr(err)
	size, err := FrameSize(append(bytes.Clone(frame), 1, 2, 3))
	is.NoErr(err)
	is.Equal(size, len(frame))
	_, err = FrameSize(frame[:headerSize-1])
	is.True(errors.Is(err, ErrMalformedFrame))
}

func TestEncode_RejectsUnregisteredAndUnsupportedTypes(t *testing.T) {
	is := is.New(t)
	_, err := Encode(struct{}{})
	is.True(errors.Is(err, ErrUnregisteredType))
	err = encodeValue(&bytes.Buffer{}, reflect.ValueOf(map[string]string{}))
	is.True(errors.Is(err, ErrUnsupportedType))
}

// A large frame must be accepted, but memory for it must be allocated only as the bytes
// arrive, so that a corrupt length can't exhaust memory.
func TestRead_AllocatesAsBytesArrive(t *testing.T) {
	is := is.New(t)
	large, err := Encode(newMessage{Extra: bytes.Repeat([]byte("x"), 40<<20)})
	is.NoErr(err)
	_, msg, err := Read(bytes.NewReader(large))
	is.NoErr(err)
	is.Equal(len(msg.(newMessage).Extra), 40<<20)
	is.Equal(testing.Benchmark(func(b *testing.B) {
		for range b.N {
			_, _, _ = Read(bytes.NewReader(large[:headerSize+10]))
		}
	}).AllocedBytesPerOp() < 2*initialBodyBuffer, true)
}

// FuzzDecode checks that decoding an arbitrary body as any kind doesn't panic.
func FuzzDecode(f *testing.F) {
	good, err := Encode(newMessage{List: []newPart{{"a", 7}}, Extra: []byte("xyz")})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good[headerSize:])
	f.Fuzz(func(t *testing.T, raw []byte) {
		for kind := range typesByKind {
			_, _ = Decode(kind, raw) // errors are expected; only a panic is a failure
		}
	})
}

// A deflated frame must decode like the original. A small frame must not be deflated.
func TestDeflate_RoundTripsThroughRead(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{10, 1 << 20} {
		plain, err := Encode(newMessage{List: make([]newPart, n/16)})
		is.NoErr(err)
		deflated := Deflate(plain)
		is.Equal(len(deflated) < len(plain), n > minDeflateSize)
		h, want, err := ReadBytes(plain)
		is.NoErr(err)
		_, got, err := ReadBytes(deflated)
		is.NoErr(err)
		is.Equal(got, want)
		is.Equal(h.Kind, KindOfFrame(deflated))
		if n > minDeflateSize {
			// A truncated body must cause an error, not a shorter message.
			binary.BigEndian.PutUint32(deflated[lengthOffset:], uint32(len(deflated)/2-headerSize))
			_, _, err = ReadBytes(deflated[:len(deflated)/2])
			is.True(err != nil)
		}
	}
}
