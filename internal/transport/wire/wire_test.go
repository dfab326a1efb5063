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

// Rolling restarts mix versions: a field that a newer peer adds at the end is skipped,
// and one that an older peer lacks is zero.
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

// A message of an unknown kind is no error; the next frame is read as usual.
func TestRead_PassesOverUnknownKinds(t *testing.T) {
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

// A malformed frame is an error, never a panic nor a large allocation.
func TestRead_RejectsMalformedFrames(t *testing.T) {
	good, err := Encode(newMessage{List: []newPart{{"a", 7}}, Extra: []byte("xyz")})
	is.New(t).NoErr(err)
	for name, c := range map[string]struct {
		damage func(frame []byte)
		want   error
	}{
		"too long":        {func(frame []byte) { binary.BigEndian.PutUint32(frame[6:], MaxBodySize+1) }, ErrFrameTooLarge},
		"other magic":     {func(frame []byte) { frame[0] = 0 }, ErrMalformedFrame},
		"version 0":       {func(frame []byte) { frame[2] = 0 }, ErrMalformedFrame},
		"false list size": {func(frame []byte) { binary.BigEndian.PutUint32(frame[headerSize+4:], 0xffffffff) }, ErrBodyTooShort},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			frame := bytes.Clone(good)
			c.damage(frame)
			_, _, err := Read(bytes.NewReader(frame))
			is.True(errors.Is(err, c.want))
		})
	}
	t.Run("cut at any byte", func(t *testing.T) {
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

func TestEncode_RejectsWhatTheFormatLacks(t *testing.T) {
	is := is.New(t)
	_, err := Encode(struct{}{})
	is.True(errors.Is(err, ErrUnregisteredType))
	err = encodeValue(&bytes.Buffer{}, reflect.ValueOf(map[string]string{}))
	is.True(errors.Is(err, ErrUnsupportedType))
}

// A configuration of many thousand items is one frame; a claim of as much costs no
// memory until the bytes arrive.
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

// FuzzDecode gives the decoder of every kind any body: it never panics.
func FuzzDecode(f *testing.F) {
	good, err := Encode(newMessage{List: []newPart{{"a", 7}}, Extra: []byte("xyz")})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good[headerSize:])
	f.Fuzz(func(t *testing.T, raw []byte) {
		for kind := range typesByKind {
			_, _ = Decode(kind, raw) // it must only not panic
		}
	})
}

// A deflated frame is read as the plain one is, and a small one stays plain.
func TestDeflate_ReadsBackAsPlain(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{10, 1 << 20} {
		plain, err := Encode(newMessage{List: make([]newPart, n/16)})
		is.NoErr(err)
		small := Deflate(plain)
		is.Equal(len(small) < len(plain), n > minDeflateSize)
		h, want, err := ReadBytes(plain)
		is.NoErr(err)
		_, got, err := ReadBytes(small)
		is.NoErr(err)
		is.Equal(got, want)
		is.Equal(h.Kind, KindOfFrame(small))
		if n > minDeflateSize {
			// A body that is cut short is an error, not a shorter message.
			binary.BigEndian.PutUint32(small[lengthOffset:], uint32(len(small)/2-headerSize))
			_, _, err = ReadBytes(small[:len(small)/2])
			is.True(err != nil)
		}
	}
}
